package rgplacement_test

import (
	"testing"
	"time"

	"ragwortgap/core/rgplacement"
)

// TestRecoveryFromDeclaredTimes guards against wrong declared times that still slow jobs down after the first ten seconds.
// It runs the simulation in virtual time with seeds 1 to 10 and compares with runs whose declared times are correct.
func TestRecoveryFromDeclaredTimes(t *testing.T) {
	tests := map[string]struct {
		guards   string
		declared float64
	}{
		"too short": {guards: "declared times that outlast the learned ones", declared: 0.1},
		"too long":  {guards: "sidecars that never learn a kind because its declared time prevents placements", declared: 10},
	}
	median := func(declared float64) float64 {
		var ratios []float64
		for run := range uint64(10) {
			res := simulate(settings{
				policy: rgplacement.EarliestFinish{}, entryCount: 3, load: 0.7, duration: 20 * time.Second, declared: declared,
				reportDelay: 200 * time.Millisecond,
			}, 1+run)
			for i, at := range res.arrivals {
				if at >= 10*time.Second {
					ratios = append(ratios, res.responseRatios[i])
				}
			}
		}
		return quantile(ratios, 0.5)
	}
	// The absolute bound guards against a fleet that learns no times at all, which would slow down the reference run too.
	limit := min(1.1*median(1), 2.4)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := median(tc.declared); got > limit {
				t.Errorf("median response time %.2f of the ideal, want at most %.2f; guards against: %s", got, limit, tc.guards)
			}
		})
	}
}
