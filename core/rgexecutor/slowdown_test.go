package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestSlowdown guards against an executor that keeps a high slowdown because of a few ends that were noticed with a delay or wrong
// estimates. Entries would place no more tasks there, so no run would correct the value.
func TestSlowdown(t *testing.T) {
	tests := map[string]struct {
		took  []time.Duration
		idle  time.Duration
		least float64
		most  float64
	}{
		"one end noticed after 2 s":          {took: []time.Duration{2 * time.Second}, least: 1, most: 1.3},
		"three times slower learned":         {took: repeat(300*time.Millisecond, 40), least: 2.5, most: 3.1},
		"twice as fast learned":              {took: repeat(50*time.Millisecond, 40), least: 0.5, most: 0.6},
		"slowdown decays when idle":          {took: repeat(time.Second, 40), idle: 10 * time.Second, least: 0.9, most: 1.2},
		"speedup does not decay":             {took: repeat(50*time.Millisecond, 40), idle: 10 * time.Second, least: 0.5, most: 0.6},
		"wrong estimates average out":        {took: alternating(100), least: 0.8, most: 1.25},
		"a delayed end among many good ones": {took: append(repeat(100*time.Millisecond, 20), 5*time.Second), least: 1, most: 1.3},
		"several delayed ends in a row of ten": {
			took:  append(repeat(100*time.Millisecond, 20), repeat(time.Second, 2)...),
			least: 1,
			most:  1.5,
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
			har.advance(tc.idle)
			if got := har.sta.Slowdown; got < tc.least || got > tc.most {
				t.Errorf("slowdown %.2f, want %.2f to %.2f", got, tc.least, tc.most)
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

// alternating returns run times that are half the estimate as often as twice the estimate.
func alternating(count int) []time.Duration {
	durs := repeat(50*time.Millisecond, count)
	for i := 0; i < count; i += 2 {
		durs[i] = 200 * time.Millisecond
	}
	return durs
}
