package rgexecutor

import (
	"testing"

	"ragwortgap/core/rgmodel"
)

// TestDeregisteredExecutor guards against an executor that has left and gets work, because a heartbeat that it sent before arrives late,
// against one that is never used again although it has restarted under its id, and against one that is not used until its next restart
// because the deregistration of the incarnation before was handled late.
func TestDeregisteredExecutor(t *testing.T) {
	heartbeat := func(started int64, seq uint64) func(*testing.T, *harness) {
		return func(_ *testing.T, har *harness) {
			exe := newExecutor(started)
			exe.Sequence = seq
			har.announce(exe)
		}
	}
	restart := func(t *testing.T, har *harness) {
		har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, newPoll(&har.sta, har.now),
			rgmodel.OrderReply{Replied: true, Clock: 1, StartedMillis: 2})...)
		har.takeOver(t)
	}
	deregister := func(_ *testing.T, har *harness) {
		har.efs = append(har.efs, DeregisterExecutor(&har.sta, "i-1")...)
	}
	tests := map[string]struct {
		steps      []func(t *testing.T, har *harness)
		wantUsable bool
	}{
		"leaves":                 {steps: []func(*testing.T, *harness){deregister}},
		"leaves, late heartbeat": {steps: []func(*testing.T, *harness){deregister, heartbeat(1, 1)}},
		"leaves, restarts":       {steps: []func(*testing.T, *harness){deregister, heartbeat(2, 1), restart}, wantUsable: true},
		"restarts before it is described": {
			steps: []func(*testing.T, *harness){deregister, restart, heartbeat(2, 1)}, wantUsable: true,
		},
		"late, after the restart": {
			steps: []func(*testing.T, *harness){heartbeat(2, 1), restart, deregister, heartbeat(2, 2)}, wantUsable: true,
		},
		"late, after the announcement of the restart": {
			steps: []func(*testing.T, *harness){heartbeat(2, 1), deregister, restart, heartbeat(2, 2)}, wantUsable: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			for _, step := range tc.steps {
				step(t, har)
			}
			if got := Usable(&har.sta, har.now); got != tc.wantUsable {
				t.Errorf("usable: %v, want %v", got, tc.wantUsable)
			}
			if !tc.wantUsable && !har.sta.Executor.Draining {
				t.Error("the description to be saved says that the executor takes tasks")
			}
		})
	}
}

// TestRunAfterDeregistration guards against lost work: an executor that has deregistered goes on running tasks until it ends, and the
// sidecar reports a task as lost whose result it could have got.
func TestRunAfterDeregistration(t *testing.T) {
	har := newHarness(t)
	har.place("job", 1)
	har.replyToStarts(har.acceptedReply())
	har.takeEffects()
	har.efs = append(har.efs, DeregisterExecutor(&har.sta, "i-1")...)
	if len(har.sta.Polls) == 0 {
		t.Fatal("executor is not polled after its deregistration")
	}
	har.now = har.now.Add(pollWait)
	RecordHeartbeat(&har.sta, testConn, har.now)
	har.endRuns(t, rgmodel.EndSucceeded)
	if har.sta.Counts.Succeeded != 1 || har.takeLossReports() {
		t.Errorf("counts %+v, want one task that has succeeded", har.sta.Counts)
	}
}
