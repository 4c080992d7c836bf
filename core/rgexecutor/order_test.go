package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestQueueOrderUnderOverload guards against short tasks that wait behind long ones once they are late, although their end still has a
// value, and against tasks without a value that delay others.
func TestQueueOrderUnderOverload(t *testing.T) {
	type task struct {
		name               string
		priority           int
		run, onTime, value time.Duration
	}
	const ms = time.Millisecond
	onTimeLong := task{name: "long, on time", priority: 2, run: 900 * ms, onTime: 1500 * ms, value: 4500 * ms}
	tests := map[string]struct {
		one, two task
		want     string
	}{
		"late short task before an on-time long one with more slack": {
			one: onTimeLong, two: task{name: "short, late", run: 60 * ms, onTime: 20 * ms, value: 400 * ms}, want: "short, late",
		},
		"on-time task before a late one whose value lasts longer": {
			one: task{name: "short, late", run: 60 * ms, onTime: 20 * ms, value: 900 * ms}, two: onTimeLong, want: "long, on time",
		},
		"task without value after a late one": {
			one:  task{name: "too late", run: 60 * ms, onTime: -400 * ms, value: 20 * ms},
			two:  task{name: "late", priority: 1, run: 200 * ms, onTime: 100 * ms, value: 600 * ms},
			want: "late",
		},
		"late tasks of an entry that states no value last": {
			one:  task{name: "unknown", run: 60 * ms, onTime: 20 * ms},
			two:  onTimeLong,
			want: "long, on time",
		},
		"tasks without value by priority": {
			one:  task{name: "less urgent", priority: 1, run: 60 * ms, onTime: -400 * ms, value: 20 * ms},
			two:  task{name: "urgent", run: 60 * ms, onTime: -300 * ms, value: 20 * ms},
			want: "urgent",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("running", 8)
			for i, tsk := range []task{tc.one, tc.two} {
				har.efs = append(har.efs, Place(&har.sta, har.now, testConn, rgmodel.Placement{
					Issued: rgmodel.SidecarTimeOf(har.now), Deadline: rgmodel.SidecarTimeOf(har.now.Add(10 * time.Second)), Service: "desk",
					TimeToSoftDeadline: tsk.onTime, TimeToLateDeadline: tsk.value, Priority: tsk.priority,
					Requires: rgmodel.Resources{Cores: 1},
					Tasks:    []rgmodel.PlacedTask{{Ticket: rgmodel.Ticket(i + 1), Key: rgmodel.TaskKey{Job: tsk.name}, Estimate: tsk.run}},
				})...)
			}
			if got := har.sta.Queue[0].Task.Key.Job; got != tc.want {
				t.Errorf("%q is first, want %q", got, tc.want)
			}
		})
	}
}

// TestLateTaskKeepsItsPlace guards against a late task that is returned, and starts anew elsewhere, while its end still has a value.
func TestLateTaskKeepsItsPlace(t *testing.T) {
	har := newHarness(t)
	har.place("running", 8)
	har.replyToStarts(har.acceptedReply())
	har.efs = append(har.efs, Place(&har.sta, har.now, testConn, rgmodel.Placement{
		Issued: rgmodel.SidecarTimeOf(har.now), Deadline: rgmodel.SidecarTimeOf(har.now.Add(2 * time.Second)), Service: "desk",
		TimeToSoftDeadline: 50 * time.Millisecond, TimeToLateDeadline: time.Second, Requires: rgmodel.Resources{Cores: 1},
		Tasks: []rgmodel.PlacedTask{{Ticket: 1, Key: rgmodel.TaskKey{Job: "job"}, Estimate: 100 * time.Millisecond}},
	})...)
	har.advance(maxLateQueueTime + 2*TickInterval)
	if len(har.sta.Queue) != 1 {
		t.Errorf("%d tasks queued, want 1", len(har.sta.Queue))
	}
}
