package rgburn

import (
	"strconv"
	"testing"

	"ragwortgap/core/rgmodel"
)

// BenchmarkCount is the cost for each job; BenchmarkReport that of each publication, by the number of flows.
func BenchmarkCount(b *testing.B) {
	var sta State
	for b.Loop() {
		CountJob(&sta, seats, Good, epoch)
	}
}

// BenchmarkReport covers 270 teams with three kinds each, and the limit of flows.
func BenchmarkReport(b *testing.B) {
	for _, num := range []int{810, MaxFlows} {
		b.Run(strconv.Itoa(num), func(b *testing.B) {
			var sta State
			for i := range num {
				CountJob(&sta, rgmodel.Flow{Team: "team", Kind: strconv.Itoa(i)}, Good, epoch)
			}
			b.ReportAllocs()
			for b.Loop() {
				Report(&sta, nil, epoch)
			}
		})
	}
}
