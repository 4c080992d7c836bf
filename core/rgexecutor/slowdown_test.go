package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestSlowdown guards against an executor that keeps a high slowdown because of wrong estimates or a few ends that were noticed
// with a delay. Entries would place no more tasks there, so no run would correct the value.
func TestSlowdown(t *testing.T) {
	tests := map[string]struct {
		took     []time.Duration
		idleTime time.Duration
		wantMin  float64
		wantMax  float64
	}{
		"one end noticed after 2 s":   {took: []time.Duration{2 * time.Second}, wantMin: 1, wantMax: 1.3},
		"three times slower learned":  {took: repeat(300*time.Millisecond, 40), wantMin: 2.5, wantMax: 3.1},
		"twice as fast learned":       {took: repeat(50*time.Millisecond, 40), wantMin: 0.5, wantMax: 0.6},
		"slowdown decays when idle":   {took: repeat(time.Second, 40), idleTime: 10 * time.Second, wantMin: 0.9, wantMax: 1.2},
		"speedup does not decay":      {took: repeat(50*time.Millisecond, 40), idleTime: 10 * time.Second, wantMin: 0.5, wantMax: 0.6},
		"wrong estimates average out": {took: alternating(100), wantMin: 0.8, wantMax: 1.25},
		"one delayed end after twenty on time": {
			took: append(repeat(100*time.Millisecond, 20), 5*time.Second), wantMin: 1, wantMax: 1.3,
		},
		"two delayed ends after twenty on time": {
			took:    append(repeat(100*time.Millisecond, 20), repeat(time.Second, 2)...),
			wantMin: 1,
			wantMax: 1.5,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			for _, took := range tc.took {
				har.place("a", 1)
				har.replyToStarts(har.acceptedReply())
				har.now = har.now.Add(took)
				RecordHeartbeat(&har.sta, testConn, har.now)
				har.endRuns(t, rgmodel.EndSucceeded)
			}
			har.advance(tc.idleTime)
			if got := har.sta.Slowdown; got < tc.wantMin || got > tc.wantMax {
				t.Errorf("slowdown %.2f, want %.2f to %.2f", got, tc.wantMin, tc.wantMax)
			}
		})
	}
}

func repeat(dur time.Duration, count int) []time.Duration {
	durs := make([]time.Duration, count)
	for i := range durs {
		durs[i] = dur
	}
	return durs
}

// alternating returns run times that are alternately twice and half the estimate of 100 ms.
func alternating(count int) []time.Duration {
	durs := repeat(50*time.Millisecond, count)
	for i := 0; i < count; i += 2 {
		durs[i] = 200 * time.Millisecond
	}
	return durs
}
