package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestNewIncarnation guards against a task that is reported as lost, and placed elsewhere, while it may still run. This can
// happen because an executor that restarted with the same id carries out orders that were sent to its previous incarnation.
func TestNewIncarnation(t *testing.T) {
	tests := map[string]struct {
		// startConfirmed is set if the previous incarnation has confirmed the start.
		startConfirmed bool
		// newID is the id of the new incarnation.
		newID string
		// announceDelay is the time until the new incarnation is announced. If neverAnnounced is set, it is the time until the
		// check instead.
		announceDelay  time.Duration
		neverAnnounced bool
		// newRuns is set if the new incarnation has carried out the start and runs the task.
		newRuns        bool
		wantLostAtOnce bool
	}{
		"start without a reply, not carried out":  {newID: "i-1"},
		"start carried out by new incarnation":    {newID: "i-1", newRuns: true},
		"start confirmed by previous incarnation": {startConfirmed: true, newID: "i-1", wantLostAtOnce: true},
		"new incarnation with another id":         {newID: "i-2", neverAnnounced: true, announceDelay: 1200 * time.Millisecond},
		"new incarnation is never announced":      {newID: "i-1", neverAnnounced: true, announceDelay: 1200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			if tc.startConfirmed {
				har.replyToStarts(har.acceptedReply())
			}
			var running []rgmodel.RunningRun
			for tsk, run := range har.sta.Runs {
				if tc.newRuns {
					running = append(running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
			}
			har.takeEffects()
			har.replyFromNewIncarnation(tc.newID == "i-1")
			if got := har.takeLossReports(); got != tc.wantLostAtOnce {
				t.Fatalf("reported as lost at once: %v, want %v", got, tc.wantLostAtOnce)
			}
			if tc.wantLostAtOnce {
				return
			}
			har.advance(tc.announceDelay)
			if !tc.neverAnnounced {
				har.announce(rgmodel.Executor{
					Incarnation: rgmodel.ExecutorIncarnation{ID: tc.newID, StartedMillis: 2}, Service: "desk",
					Capacity: rgmodel.Resources{Cores: 8}, Clock: 10,
				})
				har.replyToPoll(t, running, nil)
				if got := har.takeLossReports(); got == tc.newRuns {
					t.Errorf("reported as lost after the first poll: %v, want %v", got, !tc.newRuns)
				}
				if !tc.newRuns {
					return
				}
				har.advance(TickInterval)
				har.replyToPoll(t, nil, nil)
			}
			if !har.takeLossReports() {
				t.Error("task is not reported as lost although it can no longer run")
			}
		})
	}
}

// TestStartConfirmedByUnknownIncarnation guards against a task that is reported as lost, and placed elsewhere, while it runs: the
// executor has restarted under its id, and its new incarnation has carried out the start and confirmed it in a reply without its
// start time.
func TestStartConfirmedByUnknownIncarnation(t *testing.T) {
	tests := map[string]struct {
		clock    rgmodel.ExecutorTime
		wantLost bool
	}{
		"clock has started anew": {clock: 10},
		"clock has gone on":      {clock: 5001, wantLost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(rgmodel.OrderReply{Replied: true, Clock: tc.clock})
			har.takeEffects()
			har.replyFromNewIncarnation(true)
			if got := har.takeLossReports(); got != tc.wantLost {
				t.Errorf("task is reported as lost at once: %v, want %v", got, tc.wantLost)
			}
		})
	}
}

// TestStartConfirmedByClock guards against a start of a new incarnation that counts as confirmed by the last one because its clock is
// ahead of an old reading, and against a confirmation that names its incarnation and is ignored because another reply has overtaken it.
func TestStartConfirmedByClock(t *testing.T) {
	tests := map[string]struct {
		// sinceReading is the time between the last reading of the clock and the start.
		sinceReading time.Duration
		reply        rgmodel.OrderReply
		want         bool
	}{
		"clock ahead of a reading 2 s ago, behind what it must show": {
			sinceReading: 2 * time.Second, reply: rgmodel.OrderReply{Replied: true, Clock: 5001},
		},
		"overtaken reply that names its incarnation": {
			reply: rgmodel.OrderReply{Replied: true, Clock: 4999, StartedMillis: 1}, want: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.now = har.now.Add(tc.sinceReading)
			RecordHeartbeat(&har.sta, testConn, har.now)
			har.place("job", 1)
			har.replyToStarts(tc.reply)
			if got := har.sta.Runs[rgmodel.TaskKey{Job: "job"}].StartConfirmed; got != tc.want {
				t.Errorf("start confirmed: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestFollowRestart guards against an executor that restarts under its id and carries out start orders that were sent to its previous
// incarnation until its next heartbeat: the sidecar must raise the fencing token with the first order after any reply of the new
// incarnation, and must place nothing there before it knows its capacity.
func TestFollowRestart(t *testing.T) {
	next := rgmodel.OrderReply{Replied: true, Clock: 10, StartedMillis: 2}
	tests := map[string]func(har *harness) []Effect{
		"reply to a poll": func(har *harness) []Effect { return HandlePollReply(&har.sta, har.now, har.pollOrder(), next) },
		"reply to a start": func(har *harness) []Effect {
			ord := rgmodel.StartOrder{Incarnation: har.sta.Executor.Incarnation, FenceToken: har.sta.FenceToken}
			return HandleStartReply(&har.sta, har.now, ord, next)
		},
		"reply to a stop": func(har *harness) []Effect {
			ord := rgmodel.StopOrder{Incarnation: har.sta.Executor.Incarnation, FenceToken: har.sta.FenceToken}
			return HandleStopReply(&har.sta, har.now, ord, next)
		},
	}
	for name, reply := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			har.takeEffects()
			token := har.sta.FenceToken
			har.efs = reply(har)
			if inc := har.sta.Executor.Incarnation; len(har.sta.Polls) == 0 || har.sta.FenceToken <= token || inc.StartedMillis != 2 {
				t.Fatalf("%d polls, token %d after %d, incarnation %+v", len(har.sta.Polls), har.sta.FenceToken, token, inc)
			}
			har.replyToPoll(t, nil, nil)
			if Usable(&har.sta, har.now) {
				t.Error("executor is usable before it has described its new incarnation")
			}
			exe := newExecutor(2)
			exe.Sequence = 0
			har.announce(exe)
			if !Usable(&har.sta, har.now) {
				t.Error("executor is not usable after its heartbeat")
			}
		})
	}
}

// TestPollAfterUnansweredStart guards against a restart of the executor that stays unnoticed until its next heartbeat, so that the next
// incarnation carries out a start order that is still on its way.
func TestPollAfterUnansweredStart(t *testing.T) {
	har := newHarness(t)
	har.place("job", 1)
	har.replyToStarts(rgmodel.OrderReply{})
	har.replyToStops(har.acceptedReply())
	har.sta.Runs, har.sta.Queue, har.sta.Polls = nil, nil, nil
	har.advance(TickInterval)
	if len(har.sta.Polls) == 0 {
		t.Error("no poll of an idle executor while a start order may be on its way")
	}
	if len(har.sta.Polls) > 0 && newPoll(&har.sta, har.now).LeaseEnd != 0 {
		t.Error("the lease of an idle executor is renewed")
	}
	har.sta.Polls = nil
	har.advance(maxOrderDelay)
	har.sta.Polls = nil
	har.advance(TickInterval)
	if len(har.sta.Polls) > 0 {
		t.Error("an idle executor is polled although no start order can be on its way")
	}
}

// TestPollAfterTakeover guards against a start order of an earlier sidecar process that crosses a restart of the executor, because
// only the process that sent it would poll an idle executor.
func TestPollAfterTakeover(t *testing.T) {
	har := newHarness(t)
	har.advance(TickInterval)
	if len(har.sta.Polls) == 0 {
		t.Error("no poll of an idle executor after a takeover")
	}
}

// TestEarlierStartTime guards against an idle executor whose heartbeats are ignored, and which stays in use by its old description, because
// its machine's clock was set back before it restarted.
func TestEarlierStartTime(t *testing.T) {
	tests := map[string]string{"same id": "i-1", "another id": "i-2"}
	for name, id := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarnessOf(t, newExecutor(100))
			har.advance(maxOrderDelay + TickInterval)
			har.sta.Polls = nil
			exe := newExecutor(50)
			exe.Incarnation.ID, exe.Draining = id, true
			har.announce(exe)
			if len(har.sta.Polls) == 0 {
				t.Error("executor is not polled after a heartbeat with an earlier start time")
			}
		})
	}
}

// TestHeartbeatOfEndedIncarnation guards against two runs of a task at the same time: a clock was set back before a restart, and
// a delayed heartbeat of the last incarnation, with a later start time, counts as the next restart, which ends all confirmed runs.
func TestHeartbeatOfEndedIncarnation(t *testing.T) {
	har := newHarnessOf(t, newExecutor(100))
	har.announce(newExecutor(50))
	har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(),
		rgmodel.OrderReply{Replied: true, Clock: 1, StartedMillis: 50})...)
	har.replyToPoll(t, nil, nil)
	har.place("job", 1)
	har.replyToStarts(rgmodel.OrderReply{Replied: true, Clock: 9000, StartedMillis: 50})
	har.takeEffects()
	exe := newExecutor(100)
	exe.Sequence = 2
	har.announce(exe)
	if har.takeLossReports() || har.sta.Executor.Incarnation.StartedMillis != 50 {
		t.Errorf("the delayed heartbeat counts as a restart: %+v", har.sta.Executor)
	}
}
