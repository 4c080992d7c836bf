package rgexecutor

import (
	"testing"
	"time"
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
