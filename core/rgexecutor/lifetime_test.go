package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestNewLifetime guards against a task that is reported as lost, and placed elsewhere, while it may be running: an executor
// that has started again under its id carries out orders that were meant for its last lifetime.
func TestNewLifetime(t *testing.T) {
	tests := map[string]struct {
		// confirmed says that the last lifetime has confirmed the start; next is the id of the new one.
		confirmed bool
		next      string
		// waits is how long it takes until the new one has reported; runs says that it has carried out the start.
		waits    time.Duration
		silent   bool
		runs     bool
		wantSoon bool
	}{
		"start without an answer, not carried out": {next: "i-1"},
		"start carried out by the new lifetime":    {next: "i-1", runs: true},
		"start confirmed by the last lifetime":     {confirmed: true, next: "i-1", wantSoon: true},
		"new lifetime under another id":            {next: "i-2", wantSoon: true},
		"new lifetime does not report":             {next: "i-1", silent: true, waits: 1200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			bnc.place("job", 1)
			if tc.confirmed {
				bnc.starts(bnc.accepted())
			}
			var running []rgmodel.RunningRun
			for tsk, run := range bnc.sta.Runs {
				if tc.runs {
					running = append(running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
			}
			bnc.take()
			bnc.refuse(tc.next == "i-1")
			if got := bnc.lost(); got != tc.wantSoon {
				t.Fatalf("reported as lost at once: %v, want %v", got, tc.wantSoon)
			}
			if tc.wantSoon {
				return
			}
			bnc.wait(tc.waits)
			if !tc.silent {
				bnc.announce(rgmodel.Executor{
					Incarnation: rgmodel.ExecutorIncarnation{ID: tc.next, StartedMillis: 2}, Service: "desk",
					Capacity: rgmodel.Resources{Cores: 8}, Clock: 10,
				})
				bnc.look(t, running, nil)
				if got := bnc.lost(); got == tc.runs {
					t.Errorf("reported as lost after the first look: %v, want %v", got, !tc.runs)
				}
				if !tc.runs {
					return
				}
				bnc.wait(TickInterval)
				bnc.look(t, nil, nil)
			}
			if !bnc.lost() {
				t.Error("not reported as lost once that is certain")
			}
		})
	}
}
