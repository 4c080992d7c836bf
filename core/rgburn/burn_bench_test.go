package rgburn

import (
	"strconv"
	"testing"

	"ragwortgap/core/rgmodel"
)

// BenchmarkCount measures the cost of counting one job.
func BenchmarkCount(b *testing.B) {
	var sta State
	for b.Loop() {
		CountJob(&sta, signUps, Good, baseTime)
	}
}

// BenchmarkReport measures the cost of one report, with the flows of 270 teams of three kinds and with MaxFlows flows.
func BenchmarkReport(b *testing.B) {
	for _, num := range []int{810, MaxFlows} {
		b.Run(strconv.Itoa(num), func(b *testing.B) {
			var sta State
			for i := range num {
				CountJob(&sta, rgmodel.Flow{Team: "team", Kind: strconv.Itoa(i)}, Good, baseTime)
			}
			b.ReportAllocs()
			for b.Loop() {
				Report(&sta, nil, baseTime)
			}
		})
	}
}
