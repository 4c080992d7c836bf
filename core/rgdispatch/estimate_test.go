package rgdispatch

import (
	"testing"
	"time"
)

// TestEstimate guards against estimates that are believed alone: half of them are off by a factor of 1.5 or more, and
// long jobs were placed on slow executors for that.
func TestEstimate(t *testing.T) {
	wrk := Work{Route: "desk"}
	tests := map[string]struct {
		took     []time.Duration
		stretch  float64
		declared time.Duration
		want     time.Duration
	}{
		"nothing known":                    {want: defaultEstimate},
		"nothing learned":                  {declared: 400 * time.Millisecond, want: 400 * time.Millisecond},
		"nothing declared":                 {took: []time.Duration{100 * time.Millisecond}, want: 100 * time.Millisecond},
		"declared at a quarter":            {took: []time.Duration{time.Second, time.Second}, declared: 250 * time.Millisecond, want: 500 * time.Millisecond},
		"learned on a slow executor":       {took: []time.Duration{time.Second}, stretch: 2, declared: 500 * time.Millisecond, want: 500 * time.Millisecond},
		"half and twice even out":          {took: []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}, want: 200 * time.Millisecond},
		"an end seen late counts up to 4x": {took: []time.Duration{100 * time.Millisecond, 10 * time.Second}, want: 200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var sta State
			mem := &Member{}
			mem.Report.Stretch = tc.stretch
			for _, took := range tc.took {
				learn(&sta, wrk, mem, took)
			}
			got := estimate(&sta, wrk, tc.declared)
			if dif := got - tc.want; dif < -time.Millisecond || dif > time.Millisecond {
				t.Errorf("estimate %s, want %s", got, tc.want)
			}
		})
	}
}
