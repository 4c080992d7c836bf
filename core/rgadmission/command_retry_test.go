package rgadmission_test

import (
	"math/rand/v2"
	"testing"

	"ragwortgap/core/rgadmission"
)

// TestRetryBudget guards against retries beyond the budget, and against refusals of retries within it. Each case names the failure
// that it guards against.
func TestRetryBudget(t *testing.T) {
	// step counts first attempts and then takes retries from the budget.
	type step struct {
		batches, retries int
		want             bool
	}
	tests := map[string]struct {
		guards string
		steps  []step
	}{
		"reserve": {
			guards: "an entry that has just started cannot retry at all",
			steps:  []step{{retries: 10, want: true}, {retries: 1, want: false}},
		},
		"earned": {
			guards: "a sum of ten tenths is rounded below one, so ten first attempts earn no retry",
			steps:  []step{{retries: 10, want: true}, {batches: 9, retries: 1, want: false}, {batches: 1, retries: 1, want: true}},
		},
		"all or nothing": {
			guards: "a job that cannot retry all its parts uses up the retries of other jobs",
			steps:  []step{{retries: 11, want: false}, {retries: 10, want: true}},
		},
		"bounded reserve": {
			guards: "a long quiet period allows a retry storm",
			steps:  []step{{batches: 1_000_000, retries: 11, want: false}, {retries: 10, want: true}, {retries: 1, want: false}},
		},
		"nothing to retry": {
			guards: "a request for no retries is refused when the budget is used up",
			steps:  []step{{retries: 10, want: true}, {retries: 0, want: true}},
		},
		"negative": {
			guards: "a negative number of retries refills the budget",
			steps:  []step{{retries: 10, want: true}, {retries: -5, want: false}, {retries: 1, want: false}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var sta rgadmission.State
			for i, stp := range tc.steps {
				for range stp.batches {
					rgadmission.CountBatch(&sta)
				}
				if got := rgadmission.TakeRetries(&sta, stp.retries); got != stp.want {
					t.Fatalf("step %d: got %v, want %v; guards against: %s", i, got, stp.want, tc.guards)
				}
			}
		})
	}
}

// TestRetryBound guards against more retries than a tenth of the first attempts plus the reserve, whatever the order of the calls.
func TestRetryBound(t *testing.T) {
	tests := map[string]struct{ batchChance float64 }{
		"overload": {batchChance: 0.1}, "balanced": {batchChance: 0.5}, "few refusals": {batchChance: 0.95},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(20261204, 1))
			var sta rgadmission.State
			batches, retries := 0, 0
			for range 100_000 {
				if rnd.Float64() < tc.batchChance {
					rgadmission.CountBatch(&sta)
					batches++
				} else if num := rnd.IntN(4); rgadmission.TakeRetries(&sta, num) {
					retries += num
				}
				if bound := rgadmission.RetryReserve + batches/rgadmission.BatchesPerRetry; retries > bound {
					t.Fatalf("%d retries after %d first attempts, want at most %d", retries, batches, bound)
				}
			}
		})
	}
}
