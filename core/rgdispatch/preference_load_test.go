package rgdispatch

import (
	"testing"
	"time"
)

// TestHotRack guards against tasks that run far from their data although most executors of their rack are free, against a hot rack that
// holds work back while other executors are idle, and against jobs that fail because a task has waited for the rack in vain. A task that
// runs elsewhere would be late with the higher factor, so that overflow pays only with the lower one. Logged figures are means of one
// seed; the bounds leave room for others.
func TestHotRack(t *testing.T) {
	tests := map[string]struct {
		load, factor float64
		bursts       bool
		// wantLocal is the least part of the tasks that run in the rack, and wantOnTime that of all jobs that are on time.
		wantLocal, wantOnTime float64
		// longestWait bounds the 99th percentile of the waits until the start.
		longestWait time.Duration
	}{
		"light load, short way":         {load: 0.3, factor: 1.5, wantLocal: 0.9, wantOnTime: 0.8, longestWait: 60 * ms},
		"light load, long way":          {load: 0.3, factor: 3, wantLocal: 0.9, wantOnTime: 0.8, longestWait: 90 * ms},
		"medium load, hot rack":         {load: 0.6, factor: 1.5, wantLocal: 0.5, wantOnTime: 0.77, longestWait: 80 * ms},
		"medium load, bursts, hot rack": {load: 0.6, factor: 1.5, bursts: true, wantLocal: 0.4, wantOnTime: 0.75, longestWait: 120 * ms},
		"high load, rack overflows":     {load: 0.8, factor: 1.5, wantLocal: 0.3, wantOnTime: 0.68, longestWait: 150 * ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := runSimulation(simLoad{
				entries: 10, sidecars: 61, zones: 4, load: tc.load, duration: 3 * time.Second,
				rack: simRack{remoteFactor: tc.factor, share: 0.6, bursts: tc.bursts},
			})
			t.Logf("%s", sim)
			fig := sim.rackFigures()
			t.Logf("%s", fig)
			if fig.local < tc.wantLocal {
				t.Errorf("%.3f of the tasks in the rack, want at least %.3f", fig.local, tc.wantLocal)
			}
			if sim.onTimePart() < tc.wantOnTime {
				t.Errorf("%.3f of the jobs on time, want at least %.3f", sim.onTimePart(), tc.wantOnTime)
			}
			if fig.waits[1] > tc.longestWait {
				t.Errorf("one of a hundred tasks waits %v, want at most %v", fig.waits[1], tc.longestWait)
			}
		})
	}
}
