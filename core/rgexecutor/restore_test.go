package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestRestoredDescription guards against a false description of the executor that is saved, and so outlives the sidecar process, and
// against a drain that is forgotten at a restart of the sidecar because of a delayed heartbeat.
func TestRestoredDescription(t *testing.T) {
	tests := map[string]struct {
		service      string
		draining     bool
		sequence     uint64
		wantDraining bool
	}{
		"false service":                  {service: "other", sequence: 2},
		"drain, delayed heartbeat":       {service: "desk", draining: true, sequence: 1, wantDraining: true},
		"drain, later heartbeat without": {service: "desk", draining: true, sequence: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := &harness{now: time.Unix(1000, 0)}
			saved := newExecutor(1)
			saved.Service, saved.Draining = tc.service, tc.draining
			har.efs = RestoreExecutor(&har.sta, har.now, saved)
			har.takeOver(t)
			beat := newExecutor(1)
			beat.Sequence = tc.sequence
			har.announce(beat)
			if got := Description(&har.sta); got.Service != "desk" || got.Draining != tc.wantDraining {
				t.Errorf("described as %+v, want draining: %v", got, tc.wantDraining)
			}
		})
	}
}

// TestQueueAfterRestoredDescription guards against a task that starts on an executor that its job excludes: it was queued by a saved
// description, and the first heartbeat describes the executor otherwise.
func TestQueueAfterRestoredDescription(t *testing.T) {
	tests := map[string]struct {
		change     func(exe *rgmodel.Executor)
		wantQueued int
	}{
		"same description": {change: func(*rgmodel.Executor) {}, wantQueued: 1},
		"other labels":     {change: func(exe *rgmodel.Executor) { exe.Labels = []string{"a"} }},
		"other service":    {change: func(exe *rgmodel.Executor) { exe.Service = "other" }},
		"less memory":      {change: func(exe *rgmodel.Executor) { exe.Capacity.MemoryBytes = 1 }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := &harness{now: time.Unix(1000, 0)}
			Connect(&har.sta, har.now, testConn)
			saved := newExecutor(1)
			saved.Labels = []string{"b"}
			har.efs = RestoreExecutor(&har.sta, har.now, saved)
			har.takeOver(t)
			// Without ejection, the task would be started at once.
			har.sta.Health.EjectedUntil = har.now.Add(time.Hour)
			har.sta.Queue = []AcceptedTask{{
				Task: rgmodel.PlacedTask{Ticket: 1, Key: rgmodel.TaskKey{Job: "job"}}, Conn: testConn, Queued: har.now,
				Requires: rgmodel.Resources{Cores: 1, MemoryBytes: 2}, Deadline: har.now.Add(2 * time.Second),
			}}
			har.takeEffects()
			described := saved
			described.Sequence = 2
			tc.change(&described)
			har.announce(described)
			if len(har.sta.Queue) != tc.wantQueued {
				t.Errorf("%d tasks queued, want %d", len(har.sta.Queue), tc.wantQueued)
			}
			if tc.wantQueued == 0 {
				checkEnd(t, har, rgmodel.EndReturned, 0)
			}
		})
	}
}
