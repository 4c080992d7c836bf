package rgexecutor

import (
	"testing"

	"ragwortgap/core/rgmodel"
)

// lateStartTests contains what has become of a task, whose first start order got no reply, when its executor restarts.
var lateStartTests = map[string]func(t *testing.T, har *harness){
	"next start confirmed": func(t *testing.T, har *harness) {
		har.replyToPoll(t, nil, nil)
		if starts := har.replyToStarts(har.acceptedReply()); starts != 1 {
			t.Fatalf("%d starts after the first one was excluded, want 1", starts)
		}
	},
	"queued again": func(t *testing.T, har *harness) {
		// Without ejection, the task would be started again at once.
		har.sta.Health.EjectedUntil = har.now.Add(refusalEjectionTime)
		har.replyToPoll(t, nil, nil)
		if len(har.sta.Queue) != 1 {
			t.Fatalf("%d tasks queued, want 1", len(har.sta.Queue))
		}
	},
	"queued again, connections refused": func(t *testing.T, har *harness) {
		har.sta.Health.EjectedUntil = har.now.Add(refusalEjectionTime)
		har.replyToPoll(t, nil, nil)
		har.takeEffects()
		for range 2 {
			refused := rgmodel.OrderReply{ConnectionRefused: true}
			har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(), refused)...)
			har.advance(connectionRefusedTimeout)
		}
		if !har.sta.Unreachable || har.takeLossReports() {
			t.Fatalf("unreachable: %v, want that and no report of a lost task", har.sta.Unreachable)
		}
	},
	"next start refused by the connection": func(t *testing.T, har *harness) {
		har.replyToPoll(t, nil, nil)
		if starts := har.replyToStarts(rgmodel.OrderReply{ConnectionRefused: true}); starts != 1 {
			t.Fatalf("%d starts after the first one was excluded, want 1", starts)
		}
		har.advance(TickInterval)
		if har.takeLossReports() {
			t.Fatal("task is reported as lost although nothing listens")
		}
	},
}

// TestLateStartAcrossRestart guards against two runs of a task at the same time: the executor restarts under its id, the sidecar reports
// the task as lost, so that its entry places it elsewhere, and the next incarnation carries out an earlier start order of the task that
// got no reply. The confirmed stop has excluded that order on the last incarnation only.
func TestLateStartAcrossRestart(t *testing.T) {
	for name, prepare := range lateStartTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(rgmodel.OrderReply{})
			har.replyToStops(har.acceptedReply())
			prepare(t, har)
			har.takeEffects()
			har.replyFromNewIncarnation(true)
			if har.takeLossReports() {
				t.Fatal("task is reported as lost although the new incarnation may carry out its first start order")
			}
			late := []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}}
			har.replyToPoll(t, late, nil)
			if har.takeLossReports() {
				t.Fatal("task is reported as lost while the new incarnation runs it")
			}
			har.advance(TickInterval)
			har.replyToPoll(t, nil, nil)
			if !har.takeLossReports() {
				t.Error("task is not reported as lost although it can no longer run")
			}
		})
	}
}

// TestSilenceAfterRefusal guards against placements on an executor that has refused connections, because a poll gets no reply while it
// restarts, and against a pause of the polls until that one has timed out.
func TestSilenceAfterRefusal(t *testing.T) {
	har := newHarness(t)
	har.place("job", 1)
	har.replyToStarts(rgmodel.OrderReply{})
	refused := rgmodel.OrderReply{ConnectionRefused: true}
	for _, rep := range []rgmodel.OrderReply{refused, refused, {}} {
		har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(), rep)...)
		har.now = har.now.Add(connectionRefusedTimeout)
	}
	if Usable(&har.sta, har.now) {
		t.Error("usable without a reply since connections were refused")
	}
	if got := len(har.sta.Polls); got < 2 {
		t.Errorf("%d polls in flight, want more than the one without a reply", got)
	}
}

// TestStartInFlightAtRestart guards against a start order whose late reply is missed because its run has become an orphan: nothing then
// shows that a further incarnation may carry the order out, and an idle executor is not polled.
func TestStartInFlightAtRestart(t *testing.T) {
	har := newHarness(t)
	har.excludeLateStarts()
	har.place("job", 1)
	starts := startOrders(har.takeEffects())
	har.replyFromNewIncarnation(true)
	har.now = har.now.Add(TickInterval)
	for _, ord := range starts {
		har.efs = append(har.efs, HandleStartReply(&har.sta, har.now, ord, rgmodel.OrderReply{})...)
	}
	har.replyToPoll(t, nil, nil)
	if isIdle(&har.sta, har.now) {
		t.Error("the executor is not polled although a start order may be on its way")
	}
}

func startOrders(efs []Effect) []rgmodel.StartOrder {
	var ords []rgmodel.StartOrder
	for _, eff := range efs {
		if snd, ok := eff.(SendOrder); ok {
			if ord, ok := snd.Order.(rgmodel.StartOrder); ok {
				ords = append(ords, ord)
			}
		}
	}
	return ords
}
