package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// returnTests contains the ways in which a queued task leaves its sidecar without a result.
var returnTests = map[string]func(t *testing.T, har *harness){
	"queued for too long": func(_ *testing.T, har *harness) {
		har.advance(returnTestSlack + maxLateQueueTime + TickInterval)
	},
	"too late for its deadline": func(_ *testing.T, har *harness) {
		for i := range har.sta.Queue {
			har.sta.Queue[i].Deadline = har.now
		}
		har.advance(TickInterval)
	},
	"sidecar drains": func(_ *testing.T, har *harness) {
		har.efs = append(har.efs, Drain(&har.sta)...)
	},
	"executor drains": func(_ *testing.T, har *harness) {
		exe := newExecutor(1)
		exe.Sequence, exe.Draining = 2, true
		har.announce(exe)
	},
	"entry is silent": func(_ *testing.T, har *harness) {
		har.now = har.now.Add(MaxSilence(&har.sta) + TickInterval)
		har.efs = append(har.efs, Tick(&har.sta, har.now)...)
	},
	"executor has left": func(_ *testing.T, har *harness) {
		har.efs = append(har.efs, DeregisterExecutor(&har.sta, "i-1")...)
	},
	"executor has restarted": func(t *testing.T, har *harness) {
		har.announce(newExecutor(2))
		har.replyFromNewIncarnation(true)
		har.replyToPoll(t, nil, nil)
	},
	"executor is ejected": func(_ *testing.T, har *harness) {
		failed := rgmodel.TaskKey{Job: "failed"}
		har.sta.Health.Recovering = true
		har.sta.Runs = map[rgmodel.TaskKey]*Run{failed: {
			AcceptedTask: AcceptedTask{Task: rgmodel.PlacedTask{Ticket: 2, Key: failed}, Conn: testConn}, Number: 1, State: RunRunning,
		}}
		har.efs = append(har.efs, handleEnds(&har.sta, har.now, []rgmodel.EndedRun{
			{Sequence: 1, Task: failed, Run: 1, Status: rgmodel.EndFailed},
		})...)
	},
	"next start is refused": func(t *testing.T, har *harness) {
		har.sta.Health.EjectedUntil = time.Time{}
		har.advance(TickInterval)
		har.replyToPoll(t, nil, nil)
		if starts := har.replyToStarts(rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalNoCapacity}); starts != 1 {
			t.Fatalf("%d starts, want 1", starts)
		}
	},
}

// returnTestSlack is the time to the soft deadline of a task in the tests of returned tasks.
const returnTestSlack = 500 * time.Millisecond

// TestReturnAfterUnansweredStart guards against a caller that is promised that its job has not run although a start order of a task
// got no reply: the task is queued again and then reported as returned, which means that it was never started.
func TestReturnAfterUnansweredStart(t *testing.T) {
	carriedOut := map[string]bool{"start carried out": true, "start not carried out": false}
	for name, leave := range returnTests {
		for started, listed := range carriedOut {
			t.Run(name+", "+started, func(t *testing.T) {
				har := newHarness(t)
				har.placeOne(returnTestSlack, 0)
				har.replyToStarts(rgmodel.OrderReply{})
				har.replyToStops(har.acceptedReply())
				// Without ejection, the task would be started again at once.
				har.sta.Health.EjectedUntil = har.now.Add(time.Hour)
				if listed {
					har.endRuns(t, rgmodel.EndLost)
				} else {
					har.replyToPoll(t, nil, nil)
				}
				if len(har.sta.Queue) != 1 {
					t.Fatalf("%d tasks queued after the unanswered start, want 1", len(har.sta.Queue))
				}
				har.takeEffects()
				leave(t, har)
				checkEnd(t, har, rgmodel.EndLost, 1)
			})
		}
	}
}

// TestReturnBeforeStart guards against a task that is reported as lost although no start order for it was sent or the executor has
// refused each of them: its caller would have to assume that the job has run.
func TestReturnBeforeStart(t *testing.T) {
	for name, leave := range returnTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.sta.Queue = []AcceptedTask{{
				Task: rgmodel.PlacedTask{Ticket: 1, Key: rgmodel.TaskKey{Job: "job"}, Estimate: 100 * time.Millisecond}, Conn: testConn,
				Queued: har.now, Requires: rgmodel.Resources{Cores: 1}, Deadline: har.now.Add(2 * time.Second),
				SoftDeadline: har.now.Add(returnTestSlack),
			}}
			har.sta.Health.EjectedUntil = har.now.Add(time.Hour)
			leave(t, har)
			checkEnd(t, har, rgmodel.EndReturned, 0)
		})
	}
}

// TestRefusedStartIsReturned guards against a task that is reported as lost, or held as an orphan, although each of its start orders was
// certainly not carried out: its caller would have to assume that the job has run.
func TestRefusedStartIsReturned(t *testing.T) {
	refused := func(ref rgmodel.OrderRefusal) rgmodel.OrderReply {
		return rgmodel.OrderReply{Replied: true, Refusal: ref}
	}
	tests := map[string][]rgmodel.OrderReply{
		"wrong incarnation":          {refused(rgmodel.RefusalWrongIncarnation)},
		"wrong incarnation, named":   {{Replied: true, Refusal: rgmodel.RefusalWrongIncarnation, StartedMillis: 2}},
		"outdated fencing token":     {refused(rgmodel.RefusalFenced)},
		"run number was used before": {refused(rgmodel.RefusalStaleRun), refused(rgmodel.RefusalNoCapacity)},
		"lease had expired":          {refused(rgmodel.RefusalLeaseExpired), refused(rgmodel.RefusalNoCapacity)},
		"nothing listens":            {{ConnectionRefused: true}},
	}
	for name, reps := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.placeOne(returnTestSlack, 0)
			for i, rep := range reps {
				if starts := har.replyToStarts(rep); starts != 1 {
					t.Fatalf("%d starts in attempt %d, want 1", starts, i)
				}
			}
			for har.sta.Phase == PhaseServing && len(har.sta.Runs) > 0 {
				// The process of the executor has ended.
				har.now = har.now.Add(connectionRefusedTimeout)
				har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, newPoll(&har.sta, har.now),
					rgmodel.OrderReply{ConnectionRefused: true})...)
			}
			checkEnd(t, har, rgmodel.EndReturned, 0)
		})
	}
}

// checkEnd checks that exactly one end of the task with ticket 1 was reported since the last effects were taken.
func checkEnd(t *testing.T, har *harness, sts rgmodel.EndStatus, unrefusedStarts int) {
	t.Helper()
	var ends []rgmodel.TaskEnd
	for _, eff := range har.takeEffects() {
		if rpe, ok := eff.(ReportEnd); ok && rpe.End.Ticket == 1 {
			ends = append(ends, rpe.End)
		}
	}
	if len(ends) != 1 || ends[0].Status != sts || ends[0].UnrefusedStarts != unrefusedStarts {
		t.Errorf("ends %+v, want one %v with %d unrefused starts", ends, sts, unrefusedStarts)
	}
}
