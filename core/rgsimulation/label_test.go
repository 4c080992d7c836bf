package rgsimulation

import (
	"testing"

	"ragwortgap/core/rgmodel"
)

// kinds are the labels of the executors. Each executor has one of them.
var kinds = []string{"a", "b"}

// labelFaults contains faults beside executors that restart as another kind, while all jobs require a kind.
var labelFaults = map[string][]fault{
	"other kind":                             {requireLabels{}, restartAsOtherKind{}},
	"other kind, entry suspended":            {requireLabels{}, restartAsOtherKind{}, suspendEntry{}},
	"other kind, entry slow":                 {requireLabels{}, restartAsOtherKind{}, slowEntry{}},
	"other kind, link cut":                   {requireLabels{}, restartAsOtherKind{}, cutLink{}, cutDirection{}},
	"other kind, sidecar suspended":          {requireLabels{}, restartAsOtherKind{}, suspendSidecar{}, suspendEntry{}},
	"other kind, sidecar killed":             {requireLabels{}, restartAsOtherKind{}, killSidecar{}, suspendEntry{}},
	"other kind, orders lost":                {requireLabels{}, restartAsOtherKind{}, loseOrders{percent: 20}, slowEntry{}},
	"other kind, executor leaves":            {requireLabels{}, restartAsOtherKind{}, deregisterExecutor{}, suspendEntry{}},
	"other kind, overload":                   {requireLabels{}, overload{}, longWaits{}, restartAsOtherKind{}, slowEntry{}},
	"other kind, sidecar slow":               {requireLabels{}, restartAsOtherKind{}, slowSidecar{}},
	"other kind, sidecar throttled":          {requireLabels{}, restartAsOtherKind{}, throttleSidecar{}, suspendEntry{}},
	"other kind, throttled, overload":        {requireLabels{}, overload{}, restartAsOtherKind{}, throttleSidecar{}},
	"other kind, late heartbeats, throttled": {requireLabels{}, delayHeartbeats{percent: 50}, restartAsOtherKind{}, throttleSidecar{}},
	"other kind, connections end":            {requireLabels{}, restartAsOtherKind{}, endOrderConns{}, suspendSidecar{}},
	"order to the last incarnation":          {requireLabels{}, delayHeartbeats{percent: 50}, restartAsOtherKind{}, suspendEntry{}},
}

// TestRequiredLabel guards against a task that starts on an executor without the label that its job requires, because an entry or a sidecar
// goes by the description of an incarnation that has ended.
func TestRequiredLabel(t *testing.T) {
	for name, flts := range labelFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, seedsOf(t, name), func(uint64) []fault { return flts })
		})
	}
}

// otherKind returns the kind that is not the given one.
func otherKind(kind string) string {
	if kind == kinds[0] {
		return kinds[1]
	}
	return kinds[0]
}

// checkLabel checks that a run that starts is on an executor with the label that its job requires. The incarnation is the one that the
// sidecar meant.
func (sim *simulation) checkLabel(started *run, meant rgmodel.ExecutorIncarnation) {
	required := started.attempt.job.requiredKind
	if required == "" || required == started.exe.kind || sim.violation != nil {
		return
	}
	cause := "a task starts on an executor without the required label"
	if meant != started.exe.incarnation {
		cause += ", by an order to an earlier incarnation"
	}
	sim.violation = &violation{cause: cause, text: sim.describe([]*run{started})}
}
