package rgsimulation

import (
	"math"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// maxHeartbeatDelay is the longest delay of a late heartbeat.
	maxHeartbeatDelay = 5 * time.Second
	// maxSetBack is how far the clock of a machine is set back at most, and maxForgedAge the longest difference of a forged start time.
	maxSetBack   = 10 * time.Second
	maxForgedAge = 10 * time.Second
	// forgedClockLead is how far a forged clock is ahead.
	forgedClockLead = time.Hour
)

type (
	// delayHeartbeats delays a share of the heartbeats of the executors, in percent.
	delayHeartbeats struct{ percent int }
	// setClockBack sets the clock of a machine back, so that an executor that restarts has an earlier start time.
	setClockBack struct{}

	// forgeStartTime lets another writer send a heartbeat with the executor's id and another start time, mostly a later one.
	forgeStartTime struct{}
	// forgeID lets another writer send a heartbeat with another id.
	forgeID struct{}
	// forgeClock lets another writer send a heartbeat with a clock that is an hour ahead or shows the largest integer.
	forgeClock struct{}
	// forgeSequence lets another writer send a heartbeat with the largest sequence.
	forgeSequence struct{}
)

func (delayHeartbeats) isFault() {}
func (setClockBack) isFault()    {}
func (forgeStartTime) isFault()  {}
func (forgeID) isFault()         {}
func (forgeClock) isFault()      {}
func (forgeSequence) isFault()   {}

// heartbeatFaults contains faults of heartbeats, by themselves and around restarts.
var heartbeatFaults = map[string][]fault{
	"late":                             {delayHeartbeats{percent: 30}},
	"start time forged":                {forgeStartTime{}},
	"id forged":                        {forgeID{}},
	"clock forged":                     {forgeClock{}},
	"sequence forged":                  {forgeSequence{}},
	"clock set back":                   {setClockBack{}, restartExecutor{}},
	"late, executor restarted":         {delayHeartbeats{percent: 50}, restartExecutor{}, setClockBack{}},
	"late, both restarted":             {delayHeartbeats{percent: 50}, restartExecutor{}, setClockBack{}, killSidecar{}},
	"late, executor leaves":            {delayHeartbeats{percent: 50}, deregisterExecutor{}, setClockBack{}, killSidecar{}},
	"start time forged, both restart":  {forgeStartTime{}, restartExecutor{}, killSidecar{}},
	"id forged, executor replaced":     {forgeID{}, replaceExecutor{}, restartExecutor{}},
	"clock forged, sidecar killed":     {forgeClock{}, killSidecar{}, killEntry{}, loseOrders{percent: 20}},
	"clock forged, orders late":        {forgeClock{}, delayOrders{percent: 8, minDelay: maxOrderLatency}, killEntry{}, cutLink{}},
	"clock forged, long tasks":         {longTasks{}, forgeClock{}, loseEntry{}, slowSidecar{}, loseOrders{percent: 30}},
	"sequence forged, executor leaves": {forgeSequence{}, deregisterExecutor{}},
	"all forged, orders late": {
		forgeStartTime{}, forgeID{}, forgeClock{}, forgeSequence{}, delayOrders{percent: 8, minDelay: maxOrderLatency}, restartExecutor{},
		killSidecar{}, killEntry{},
	},
}

// TestNoConcurrentRunsWithFalseHeartbeats guards against a task that has two runs at the same time because a heartbeat that is delayed or
// comes from another writer counts as evidence about the executor.
func TestNoConcurrentRunsWithFalseHeartbeats(t *testing.T) {
	for name, flts := range heartbeatFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, seedsOf(t, name), func(uint64) []fault { return flts })
		})
	}
}

// deliverHeartbeat passes a heartbeat to the sidecar process that listens when it arrives.
func (sim *simulation) deliverHeartbeat(sc *sidecar, exe rgmodel.Executor, dly time.Duration) {
	sim.after(dly, func() { sc.post(nil, func() { sc.handle(func() { sc.updateExecutor(exe) }) }) })
}

// disturbHeartbeats causes a fault of heartbeats or of the clock of a machine.
func (sim *simulation) disturbHeartbeats(sc *sidecar, flt fault) {
	exe := sc.listening.describe()
	switch flt.(type) {
	case setClockBack:
		sc.setBack += between(sim.faultRnd, 0, maxSetBack)
		sim.note(sc.name, "clock is set back by %v in all", sc.setBack)
		return
	case forgeStartTime:
		exe.Incarnation.StartedMillis += between(sim.faultRnd, -maxForgedAge/4, maxForgedAge).Milliseconds()
	case forgeID:
		exe.Incarnation.ID = sim.newExecutorID()
	case forgeClock:
		exe.Clock += rgmodel.ExecutorTime(forgedClockLead.Milliseconds())
		if sim.faultRnd.IntN(4) == 0 {
			exe.Clock = math.MaxInt64
		}
	case forgeSequence:
		exe.Sequence, exe.Draining = math.MaxUint64, false
	}
	// Another writer does not know the sequence, and its heartbeats take effect only with a later one.
	exe.Sequence = max(exe.Sequence, sc.listening.heartbeats+1)
	sim.note(sc.name, "heartbeat of another writer: %v, clock %d, sequence %d", exe.Incarnation, exe.Clock, exe.Sequence)
	sim.deliverHeartbeat(sc, exe, between(sim.faultRnd, minLatency, maxLatency))
}
