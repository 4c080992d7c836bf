package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestStretch guards against an executor that a few ends seen late, or wrong estimates, make look slow for good: entries
// would place nothing there any more, so that nothing would correct it.
func TestStretch(t *testing.T) {
	tests := map[string]struct {
		took  []time.Duration
		idle  time.Duration
		least float64
		most  float64
	}{
		"one end seen 2 s late":           {took: []time.Duration{2 * time.Second}, least: 1, most: 1.3},
		"three times slower learned":      {took: repeat(300*time.Millisecond, 40), least: 2.5, most: 3.1},
		"twice as fast learned":           {took: repeat(50*time.Millisecond, 40), least: 0.5, most: 0.6},
		"forgotten when nothing runs":     {took: repeat(time.Second, 40), idle: 10 * time.Second, least: 0.9, most: 1.2},
		"a fast one is not forgotten":     {took: repeat(50*time.Millisecond, 40), idle: 10 * time.Second, least: 0.5, most: 0.6},
		"wrong estimates even out":        {took: mixed(100), least: 0.8, most: 1.25},
		"a late end among many good ones": {took: append(repeat(100*time.Millisecond, 20), 5*time.Second), least: 1, most: 1.3},
		"several late ends in a row of ten": {
			took:  append(repeat(100*time.Millisecond, 20), repeat(time.Second, 2)...),
			least: 1,
			most:  1.5,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			for _, took := range tc.took {
				bnc.place("a", 1)
				bnc.starts(bnc.accepted())
				bnc.now = bnc.now.Add(took)
				RecordHeartbeat(&bnc.sta, benchLink, bnc.now)
				bnc.end(t, rgmodel.EndDone)
			}
			bnc.wait(tc.idle)
			if got := bnc.sta.Slowdown; got < tc.least || got > tc.most {
				t.Errorf("stretch %.2f, want %.2f to %.2f", got, tc.least, tc.most)
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

// mixed returns run times that are as often half as twice the estimate.
func mixed(count int) []time.Duration {
	durs := repeat(50*time.Millisecond, count)
	for i := 0; i < count; i += 2 {
		durs[i] = 200 * time.Millisecond
	}
	return durs
}
