package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// replyIncompletely replies to the oldest poll in flight with the given runs and a row that could not be decoded.
func (har *harness) replyIncompletely(t *testing.T, running ...rgmodel.RunningRun) {
	t.Helper()
	if len(har.sta.Polls) == 0 {
		t.Fatal("no poll in flight")
	}
	ord := har.pollOrder()
	har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, rgmodel.OrderReply{
		Replied: true, Clock: har.executorClock(), StartedMillis: ord.Incarnation.StartedMillis, Running: running, MalformedRunning: 1,
	})...)
}

// TestRunInIncompleteList guards against two runs of a task at the same time: a row of the executor's list cannot be decoded, and its run,
// which goes on, counts as one that is not listed and so as ended. It also guards against a stopped run that never ends.
func TestRunInIncompleteList(t *testing.T) {
	limit := maxUnrenewedRunTime(&State{})
	tests := map[string]struct {
		stopped bool
		// after is the time between the confirmation of the stop, or the start, and the list.
		after     time.Duration
		malformed bool
		wantEnded bool
	}{
		"running":                          {after: TickInterval, malformed: true},
		"running, complete list":           {after: TickInterval, wantEnded: true},
		"stopped":                          {stopped: true, after: TickInterval, malformed: true},
		"stopped, complete list":           {stopped: true, after: TickInterval, wantEnded: true},
		"stopped for longer than a run":    {stopped: true, after: limit + TickInterval, malformed: true, wantEnded: true},
		"running for longer than a run is": {after: limit + TickInterval, malformed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			if tc.stopped {
				har.efs = append(har.efs, Cancel(&har.sta, har.now, testConn, []rgmodel.Ticket{3000})...)
				har.replyToStops(har.acceptedReply())
			}
			har.now = har.now.Add(tc.after)
			RecordHeartbeat(&har.sta, testConn, har.now)
			har.sta.Polls = []time.Time{har.now}
			if tc.malformed {
				har.replyIncompletely(t)
			} else {
				har.replyToPoll(t, nil, nil)
			}
			if got := len(har.sta.Runs) == 0; got != tc.wantEnded {
				t.Errorf("run has ended: %v, want %v", got, tc.wantEnded)
			}
		})
	}
}

// TestUntrackedRunInIncompleteList guards against a lease that is renewed for a run that the process cannot stop, because a row of the list
// cannot be decoded and the run counts as ended.
func TestUntrackedRunInIncompleteList(t *testing.T) {
	foreign := rgmodel.RunningRun{Task: rgmodel.TaskKey{Job: "foreign"}, Run: 1}
	tests := map[string]struct {
		after time.Duration
		want  int
	}{
		"listed just before":               {after: stopConfirmTimeout, want: 1},
		"listed before its lease ran out":  {after: stopConfirmTimeout + maxUnrenewedRunTime(&State{}), want: 1},
		"listed after its lease must have": {after: stopConfirmTimeout + maxUnrenewedRunTime(&State{}) + time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.sta.Polls = []time.Time{har.now}
			har.replyToPoll(t, []rgmodel.RunningRun{foreign}, nil)
			har.now = har.now.Add(tc.after)
			har.sta.Polls = []time.Time{har.now}
			har.replyIncompletely(t)
			if len(har.sta.UntrackedRuns) != tc.want {
				t.Errorf("%d untracked runs, want %d", len(har.sta.UntrackedRuns), tc.want)
			}
		})
	}
}

// TestTakeoverWithIncompleteList guards against two runs of a task at the same time: a new sidecar process serves, and reports that all
// earlier runs have ended, while a run whose row cannot be decoded goes on. It also guards against a process that never serves because a
// row stays like that.
func TestTakeoverWithIncompleteList(t *testing.T) {
	limit := maxUnrenewedRunTime(&State{})
	tests := map[string]struct {
		// after is the time between the first list and the last one.
		after     time.Duration
		complete  bool
		wantPhase Phase
	}{
		"at once":                        {wantPhase: PhaseFencing},
		"before the leases have run out": {after: limit, wantPhase: PhaseFencing},
		"after the leases have run out":  {after: limit + time.Millisecond, wantPhase: PhaseServing},
		"next list is complete":          {after: TickInterval, complete: true, wantPhase: PhaseServing},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := &harness{now: time.Unix(1000, 0)}
			Connect(&har.sta, har.now, testConn)
			har.announce(newExecutor(1))
			har.replyIncompletely(t)
			// The poll before had no token that excludes late orders of an earlier process.
			har.now = har.now.Add(TickInterval)
			har.replyIncompletely(t)
			har.now = har.now.Add(tc.after)
			if tc.complete {
				har.replyToPoll(t, nil, nil)
			} else {
				har.replyIncompletely(t)
			}
			if har.sta.Phase != tc.wantPhase {
				t.Errorf("phase %d, want %d", har.sta.Phase, tc.wantPhase)
			}
			if got := earlierRunsEnded(&har.sta, har.now, testConn); got != (tc.wantPhase == PhaseServing) {
				t.Errorf("earlier runs are reported as ended: %v", got)
			}
		})
	}
}
