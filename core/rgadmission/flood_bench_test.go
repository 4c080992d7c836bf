package rgadmission_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var (
	baseLoads = []kindLoad{
		{name: "stockChecks", urgency: rgmodel.UrgencyLow, weight: 1, mean: 100 * time.Millisecond, tasks: 6, fraction: 0.12},
		{name: "menuConfirmations", weight: 1, mean: 200 * time.Millisecond, tasks: 6, fraction: 0.12},
		{name: "allocations", urgency: rgmodel.UrgencyHigh, weight: 1, mean: 400 * time.Millisecond, tasks: 6, fraction: 0.12},
	}
	policies = map[string]policy{
		"fifo":          {},
		"fair":          {fair: true},
		"fairAdmission": {fair: true, admission: true},
	}
	variants = map[string]func([]kindLoad, string) []kindLoad{
		"short":    func(loads []kindLoad, _ string) []kindLoad { return loads },
		"long":     withLong,
		"weighted": withWeights,
	}
	floods = map[string]flood{
		"leastUrgent3x":  {kind: "stockChecks", factor: 3},
		"leastUrgent10x": {kind: "stockChecks", factor: 10},
		"mostUrgent3x":   {kind: "allocations", factor: 3},
		"mostUrgent10x":  {kind: "allocations", factor: 10},
	}
)

// BenchmarkFlood measures the effect of a flood of one kind on the other kinds: the lowest throughput and the highest p99
// response time of any of them, relative to a run without the flood. A job without a complete answer counts in the p99 with
// its deadline. It also reports the fraction of slot time used by jobs without a complete answer, and the fraction of
// batches that sidecars refused.
func BenchmarkFlood(b *testing.B) {
	for polName, pol := range policies {
		for varName, variant := range variants {
			for fldName, fld := range floods {
				loads := variant(baseLoads, fld.kind)
				b.Run(polName+"/"+fldName+"/"+varName, func(b *testing.B) {
					for range b.N {
						report(b, simulate(pol, loads, flood{}), simulate(pol, loads, fld), fld.kind)
					}
				})
			}
		}
	}
}

// withLong sets the mean run time of the flooding kind to 2 s.
func withLong(loads []kindLoad, kind string) []kindLoad {
	changed := slices.Clone(loads)
	for i := range changed {
		if changed[i].name == kind {
			changed[i].mean = 2 * time.Second
		}
	}
	return changed
}

// withWeights gives the more urgent kinds larger weights: 1, 2 and 4.
func withWeights(loads []kindLoad, _ string) []kindLoad {
	changed := slices.Clone(loads)
	for i := range changed {
		changed[i].weight = 1 << i
	}
	return changed
}

// report computes the metrics of BenchmarkFlood for a flood of the given kind.
func report(b *testing.B, baseline, flooded *floodRun, kind string) {
	minThroughput, maxP99 := math.Inf(1), 0.0
	for name, without := range baseline.results {
		if name == kind {
			continue
		}
		with := flooded.results[name]
		minThroughput = min(minThroughput, float64(with.complete)/float64(without.complete))
		maxP99 = max(maxP99, float64(with.response.ValueAtQuantile(99))/float64(without.response.ValueAtQuantile(99)))
	}
	b.ReportMetric(minThroughput, "minThroughput")
	b.ReportMetric(maxP99, "maxP99")
	b.ReportMetric(flooded.usedSlotTime.Seconds()/(measureEnd-measureStart).Seconds()/sidecars/slots, "usedSlotTime")
	b.ReportMetric(flooded.wastedFraction(), "wastedSlotTime")
	b.ReportMetric(float64(flooded.refusedBatches)/float64(max(1, flooded.batches)), "bouncedBatches")
}
