package rgadmission

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// BenchmarkTakeQuota measures the quota decision for one job at an entry of a ring of 60 entries.
func BenchmarkTakeQuota(b *testing.B) {
	rng := ring(60)
	var sta State
	for _, ent := range rng.Entries[1:] {
		MergeUsage(&sta, ent.Incarnation, []TeamUsage{{Team: "a", Used: 1, Demand: 1}}, at(0))
	}
	team := rgmodel.TeamConfig{Team: "a", Quota: rgmodel.Quota{Sustained: 1000, Burst: 1000}}
	now := at(0)
	for b.Loop() {
		now = now.Add(time.Microsecond)
		TakeQuota(&sta, QuotaRequest{Team: team, Tasks: 1, Ring: rng, Self: rng.Entries[0]}, now)
	}
}
