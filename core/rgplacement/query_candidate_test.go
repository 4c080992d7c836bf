package rgplacement_test

import (
	"testing"
	"time"

	"ragwortgap/core/rgplacement"
)

// TestRecoveryFromDeclaredTimes runs the simulation (seeds 1 to 10, virtual time) and compares the jobs from the tenth
// second on with those of a run whose declared times are right.
func TestRecoveryFromDeclaredTimes(t *testing.T) {
	tests := map[string]struct {
		guards   string
		declared float64
	}{
		"too short": {guards: "declared times that outlast the learned ones", declared: 0.1},
		"too long":  {guards: "sidecars that never learn a kind because its declared time keeps work away", declared: 10},
	}
	median := func(declared float64) float64 {
		var ratios []float64
		for run := range uint64(10) {
			res := simulate(settings{
				policy: rgplacement.EarliestFinish{}, senders: 3, load: 0.7, length: 20 * time.Second, declared: declared,
				reportDelay: 200 * time.Millisecond,
			}, 1+run)
			for i, at := range res.arrivals {
				if at >= 10*time.Second {
					ratios = append(ratios, res.ratios[i])
				}
			}
		}
		return quantile(ratios, 0.5)
	}
	// A fleet without any learned times would make the run with right times slow too, hence the absolute bound.
	limit := min(1.1*median(1), 2.4)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := median(tc.declared); got > limit {
				t.Errorf("median response time %.2f of the ideal, want at most %.2f; guards against: %s", got, limit, tc.guards)
			}
		})
	}
}
