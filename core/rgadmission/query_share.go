package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// QuotaShare is the part of a team's quota that an entry manages, and the demand of the other entries for it.
type QuotaShare struct {
	// Quota is the quota of the entry's bucket: the entry's equal share and the equal shares of the entries whose usage it
	// knows.
	Quota rgmodel.Quota
	// OtherDemand is the demand at the other entries, in tasks per second.
	OtherDemand float64
	// Entries is the number of entries of the ring.
	Entries float64
}

// quotaShare combines the usage that is known of the entries of the ring.
func quotaShare(sta *State, req QuotaRequest, now time.Time) QuotaShare {
	qs := QuotaShare{Entries: float64(max(1, len(req.Ring.Entries)))}
	known := 1.0
	switch sta.SharePolicy.(type) {
	case EqualShare:
	default:
		for _, ent := range req.Ring.Entries {
			pu, ok := sta.Peers[ent.Incarnation]
			if ok && ent.Incarnation != req.Self.Incarnation && now.Sub(pu.ReceivedAt) <= UsageTTL {
				known++
				qs.OtherDemand += pu.Teams[req.Team.Team].Demand
			}
		}
	}
	quo := effectiveQuota(req.Team)
	qs.Quota = rgmodel.Quota{Sustained: quo.Sustained * known / qs.Entries, Burst: quo.Burst * known / qs.Entries}
	return qs
}

// spendableFraction returns the fraction of the bucket that the entry may spend in an interval, above 0 and at most 1.
// The demand is that at this entry, in tasks per second.
func spendableFraction(sta *State, demand float64, qs QuotaShare) float64 {
	switch sta.SharePolicy.(type) {
	case EqualShare:
		// The bucket holds no more than the entry's share.
		return 1
	default:
		if demand+qs.OtherDemand <= 0 {
			return 1 / qs.Entries
		}
		return MinDemandShare/qs.Entries + (1-MinDemandShare)*demand/(demand+qs.OtherDemand)
	}
}

// effectiveQuota returns the team's quota. The default burst is the size of the largest possible job.
func effectiveQuota(tc rgmodel.TeamConfig) rgmodel.Quota {
	quo := tc.Quota
	if quo.Burst <= 0 {
		quo.Burst = rgmodel.MaxTasks
	}
	return quo
}
