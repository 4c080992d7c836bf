package rgexecutor

import (
	"testing"
)

// TestDeregisteredExecutor guards against an executor that has left and is used again, because a heartbeat that it sent before
// arrives late, and against one that is never used again although it has restarted under its id.
func TestDeregisteredExecutor(t *testing.T) {
	tests := map[string]struct {
		started   int64
		wantPhase Phase
	}{
		"late heartbeat":                       {started: 1, wantPhase: PhaseNoExecutor},
		"restarted under its id":               {started: 2, wantPhase: PhaseFencing},
		"start time unknown, may be a new one": {started: 0, wantPhase: PhaseFencing},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			exe := har.sta.Executor
			if tc.started == 0 {
				exe.Incarnation.StartedMillis = 0
				har.sta.Executor = exe
			}
			har.efs = append(har.efs, DeregisterExecutor(&har.sta, har.now, exe.Incarnation.ID)...)
			if !har.sta.Executor.Draining {
				t.Error("the description to be saved says that the executor takes tasks")
			}
			exe.Incarnation.StartedMillis = tc.started
			exe.Sequence++
			har.announce(exe)
			if har.sta.Phase != tc.wantPhase {
				t.Errorf("phase %d after the heartbeat, want %d", har.sta.Phase, tc.wantPhase)
			}
		})
	}
}
