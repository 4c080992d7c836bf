package rgexecutor

import (
	"math"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestClockLead guards against a heartbeat whose clock is far ahead without any trace of it in the logs, also if the difference does not
// fit into a duration.
func TestClockLead(t *testing.T) {
	tests := map[string]struct {
		// clock is relative to the clock of the last reading, which was 400 ms ago.
		clock rgmodel.ExecutorTime
		want  time.Duration
	}{
		"in step":         {clock: 400, want: 0},
		"behind":          {clock: 0, want: -400 * time.Millisecond},
		"an hour ahead":   {clock: 3_600_400, want: time.Hour},
		"largest integer": {clock: math.MaxInt64 - 5000, want: maxClockLead - 400*time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			clk := har.sta.Executor.Clock + tc.clock
			har.now = har.now.Add(400 * time.Millisecond)
			if got := ClockLead(&har.sta, har.now, clk); got != tc.want {
				t.Errorf("lead %v, want %v", got, tc.want)
			}
		})
	}
}

// TestLoggedLease guards against log lines that name a lease of minus an hour after control of an executor without runs is lost.
func TestLoggedLease(t *testing.T) {
	tests := map[string]struct {
		runs int
		want bool
	}{
		"without a run": {},
		"with a run":    {runs: 1, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.sta.LeaseEnd = 0
			har.place("job", tc.runs)
			har.replyToStarts(har.acceptedReply())
			efs := loseReplaced(&har.sta, har.now)
			los, ok := efs[len(efs)-1].(LogLoss)
			if !ok || los.LeaseLeft < 0 || los.LeaseLeft > 0 != tc.want {
				t.Errorf("logged %+v, want a lease: %v", efs, tc.want)
			}
		})
	}
}
