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
		// confirmed is set if the previous incarnation has confirmed the start.
		confirmed bool
		// next is the id of the new incarnation.
		next string
		// waits is the time until the new incarnation is announced, which never happens if silent is set.
		waits  time.Duration
		silent bool
		// runs is set if the new incarnation has carried out the start.
		runs       bool
		wantAtOnce bool
	}{
		"start without a reply, not carried out":  {next: "i-1"},
		"start carried out by new incarnation":    {next: "i-1", runs: true},
		"start confirmed by previous incarnation": {confirmed: true, next: "i-1", wantAtOnce: true},
		"new incarnation with another id":         {next: "i-2", wantAtOnce: true},
		"new incarnation is never announced":      {next: "i-1", silent: true, waits: 1200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			if tc.confirmed {
				har.replyToStarts(har.acceptedReply())
			}
			var running []rgmodel.RunningRun
			for tsk, run := range har.sta.Runs {
				if tc.runs {
					running = append(running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
			}
			har.takeEffects()
			har.replyFromNewIncarnation(tc.next == "i-1")
			if got := har.lossReported(); got != tc.wantAtOnce {
				t.Fatalf("reported as lost at once: %v, want %v", got, tc.wantAtOnce)
			}
			if tc.wantAtOnce {
				return
			}
			har.advance(tc.waits)
			if !tc.silent {
				har.announce(rgmodel.Executor{
					Incarnation: rgmodel.ExecutorIncarnation{ID: tc.next, StartedMillis: 2}, Service: "desk",
					Capacity: rgmodel.Resources{Cores: 8}, Clock: 10,
				})
				har.replyToPoll(t, running, nil)
				if got := har.lossReported(); got == tc.runs {
					t.Errorf("reported as lost after the first poll: %v, want %v", got, !tc.runs)
				}
				if !tc.runs {
					return
				}
				har.advance(TickInterval)
				har.replyToPoll(t, nil, nil)
			}
			if !har.lossReported() {
				t.Error("not reported as lost after its end is certain")
			}
		})
	}
}
