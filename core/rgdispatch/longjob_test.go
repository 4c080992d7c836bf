package rgdispatch

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestLongRunLost guards against a long run whose loss ends a job that has time for another attempt, against a task that is placed again
// although it cannot end in time, and against a caller that waits for the deadline of a job that is given up.
func TestLongRunLost(t *testing.T) {
	const estimate, callerWait = 12 * time.Second, 31 * time.Second
	// lose lets the task be reported as lost, as after a drain of its executor or its sidecar.
	lose := func(har *harness, tks map[SidecarConnID][]rgmodel.Ticket) { har.endAll(tks, rgmodel.EndLost) }
	disconnect := func(har *harness, tks map[SidecarConnID][]rgmodel.Ticket) {
		for con := range tks {
			har.efs = append(har.efs, Disconnect(&har.sta, har.now, con)...)
		}
	}
	tests := map[string]struct {
		after time.Duration
		lost  func(har *harness, tks map[SidecarConnID][]rgmodel.Ticket)
		// again is the number of tasks that are placed again within wait.
		again int
		wait  time.Duration
		want  string
	}{
		"executor drains, time left":      {after: 10 * time.Second, lost: lose, again: 1},
		"executor drains, no time left":   {after: 27 * time.Second, lost: lose, want: "1:mayHaveRun: "},
		"sidecar restarts, time left":     {after: 10 * time.Second, lost: disconnect, again: 1, wait: 2 * time.Second},
		"sidecar restarts, no time left":  {after: 24 * time.Second, lost: disconnect, want: "1:mayHaveRun:sidecarLost "},
		"sidecar restarts, runs not over": {after: 10 * time.Second, lost: disconnect, wait: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.connectSidecar("one", 1)
			har.connectSidecar("two", 1)
			req := newRequest("job", 1, estimate)
			req.CallerWait = callerWait
			har.submit(1, req)
			tks := har.takePlaced()
			har.advance(tc.after)
			tc.lost(har, tks)
			har.advance(tc.wait)
			placed := har.takePlaced()
			if len(placed) != tc.again {
				t.Errorf("placed again on %d sidecars, want %d", len(placed), tc.again)
			}
			for con := range placed {
				if _, same := tks[con]; same {
					t.Error("placed again on the same sidecar")
				}
			}
			checkAnswers(t, har, tc.want)
		})
	}
}

// TestDeadlineOfLongJob guards against a job whose caller waits as long as any, and which is ended too early, or not at its deadline
// although its sidecar reports nothing, or which leaves tickets behind that count as load for ever.
func TestDeadlineOfLongJob(t *testing.T) {
	const callerWait = 31 * time.Second
	tests := map[string]struct {
		after time.Duration
		end   bool
		want  string
	}{
		"before its deadline": {after: callerWait - TickInterval},
		"ends in time":        {after: callerWait - TickInterval, end: true, want: "1:ranOK: "},
		"at its deadline":     {after: callerWait, want: "1:mayHaveRun:deadlineExceeded "},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			con := har.connectSidecar("one", 1)
			req := newRequest("job", 1, 12*time.Second)
			req.CallerWait = callerWait
			har.submit(1, req)
			if got := har.lastPlaced(); got.Estimate != 12*time.Second {
				t.Fatalf("placed %+v", got)
			}
			tks := har.takePlaced()
			har.report(con, har.sta.Sidecars[con].Report)
			har.advance(tc.after)
			if tc.end {
				har.endAll(tks, rgmodel.EndSucceeded)
			}
			checkAnswers(t, har, tc.want)
			sc, over := har.sta.Sidecars[con], tc.want != ""
			if got := len(sc.Placed) == 0 && len(har.sta.Jobs) == 0; got != over || len(sc.Unreported) > 0 {
				t.Errorf("%d placed, %d not reported, %d jobs; over: %v", len(sc.Placed), len(sc.Unreported), len(har.sta.Jobs), over)
			}
		})
	}
}
