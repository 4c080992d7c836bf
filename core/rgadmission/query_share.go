package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Holding is what an entry may dispose of.
type Holding struct {
	// quota is the part of the team's quota that the entry's bucket holds: its own equal part, and the parts of the
	// entries whose use it knows.
	Quota rgmodel.Quota
	// demand is that of the other entries, in tasks per second.
	Demand float64
	// entries is the number of entries of the ring.
	Entries float64
}

// hold looks through the entries of the ring for what is known of them.
func hold(sta *State, quo QuotaRequest, now time.Time) Holding {
	hol := Holding{Entries: float64(max(1, len(quo.Ring.Entries)))}
	known := 1.0
	switch sta.Shares.(type) {
	case EqualShare:
	default:
		for _, ent := range quo.Ring.Entries {
			pus, ok := sta.Peers[ent.Incarnation]
			if ok && ent.Incarnation != quo.Self.Incarnation && now.Sub(pus.At) <= UsageTTL {
				known++
				hol.Demand += pus.Teams[quo.Team.Team].Demand
			}
		}
	}
	lim := limit(quo.Team)
	hol.Quota = rgmodel.Quota{Sustained: lim.Sustained * known / hol.Entries, Burst: lim.Burst * known / hol.Entries}
	return hol
}

// part returns the part of the bucket that the entry may spend in an interval, above 0 and at most 1.
func part(sta *State, own float64, hol Holding) float64 {
	switch sta.Shares.(type) {
	case EqualShare:
		// The bucket itself holds no more than the entry's part.
		return 1
	default:
		if own+hol.Demand <= 0 {
			return 1 / hol.Entries
		}
		return DemandFloor/hol.Entries + (1-DemandFloor)*own/(own+hol.Demand)
	}
}

// limit returns the team's quota with its default burst of one largest job.
func limit(tc rgmodel.TeamConfig) rgmodel.Quota {
	lim := tc.Quota
	if lim.Burst <= 0 {
		lim.Burst = rgmodel.MaxTasks
	}
	return lim
}
