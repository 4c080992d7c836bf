package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// QuotaShare is what an entry may dispose of.
type QuotaShare struct {
	// Quota is the part of the team's quota that the entry's bucket holds: its own equal part, and the parts of the
	// entries whose use it knows.
	Quota rgmodel.Quota
	// OtherDemand is that of the other entries, in tasks per second.
	OtherDemand float64
	// Entries is the number of entries of the ring.
	Entries float64
}

// hold looks through the entries of the ring for what is known of them.
func hold(sta *State, quo QuotaRequest, now time.Time) QuotaShare {
	hol := QuotaShare{Entries: float64(max(1, len(quo.Ring.Entries)))}
	known := 1.0
	switch sta.SharePolicy.(type) {
	case EqualShare:
	default:
		for _, ent := range quo.Ring.Entries {
			pus, ok := sta.Peers[ent.Incarnation]
			if ok && ent.Incarnation != quo.Self.Incarnation && now.Sub(pus.ReceivedAt) <= UsageTTL {
				known++
				hol.OtherDemand += pus.Teams[quo.Team.Team].Demand
			}
		}
	}
	lim := limit(quo.Team)
	hol.Quota = rgmodel.Quota{Sustained: lim.Sustained * known / hol.Entries, Burst: lim.Burst * known / hol.Entries}
	return hol
}

// part returns the part of the bucket that the entry may spend in an interval, above 0 and at most 1.
func part(sta *State, own float64, hol QuotaShare) float64 {
	switch sta.SharePolicy.(type) {
	case EqualShare:
		// The bucket itself holds no more than the entry's part.
		return 1
	default:
		if own+hol.OtherDemand <= 0 {
			return 1 / hol.Entries
		}
		return MinDemandShare/hol.Entries + (1-MinDemandShare)*own/(own+hol.OtherDemand)
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
