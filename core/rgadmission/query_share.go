package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Part returns the part of the bucket that the entry may spend in an interval, above 0 and at most 1.
func Part(sta *State, quo Quota, now time.Time) float64 {
	switch sta.Shares.(type) {
	case EqualShare:
		// The bucket itself holds no more than the entry's part.
		return 1
	default:
		return demandPart(sta, quo, now)
	}
}

func demandPart(sta *State, quo Quota, now time.Time) float64 {
	num := float64(max(1, len(quo.Ring.Entries)))
	own := 0.0
	if buc := sta.Buckets[quo.Team.Team]; buc != nil {
		own = buc.Demand
	}
	all := own
	for _, ent := range quo.Ring.Entries {
		if pus, ok := sta.Peers[ent.Incarnation]; ok && now.Sub(pus.At) <= UsageTTL {
			all += pus.Teams[quo.Team.Team].Demand
		}
	}
	if all <= 0 {
		return 1 / num
	}
	return DemandFloor/num + (1-DemandFloor)*own/all
}

// bound returns the part of the quota that this entry's bucket holds: its own equal part, and the parts of the entries
// whose use it knows.
func bound(sta *State, quo Quota, lim rgmodel.Quota, now time.Time) rgmodel.Quota {
	num := float64(max(1, len(quo.Ring.Entries)))
	known := 1.0
	switch sta.Shares.(type) {
	case EqualShare:
	default:
		for _, ent := range quo.Ring.Entries {
			if pus, ok := sta.Peers[ent.Incarnation]; ok && ent.Incarnation != quo.Self.Incarnation && now.Sub(pus.At) <= UsageTTL {
				known++
			}
		}
	}
	return rgmodel.Quota{Sustained: lim.Sustained * known / num, Burst: lim.Burst * known / num}
}

// limit returns the team's quota with its default burst of one largest job.
func limit(tc rgmodel.TeamConfig) rgmodel.Quota {
	lim := tc.Quota
	if lim.Burst <= 0 {
		lim.Burst = rgmodel.MaxTasks
	}
	return lim
}
