package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// skippedEntries is the key in State.Unconfirmed for the entries of rings that this entry has not seen.
const skippedEntries = "skipped"

// Adopt makes rng the current ring if its generation is higher, and returns whether it did.
// Afterwards every known sidecar has to be sealed again. The departed sidecars are those lost or replaced within
// RecordRetention, whose records cannot be queried. After a gap in the generations, HasTakenOver returns false for all
// ids until a takeover is complete, because another entry may have been their home in between.
func Adopt(
	sta *State, rng rgmodel.Ring, sidecars []rgmodel.SidecarKey, departed []rgmodel.Departure, now time.Time,
) bool {
	if rng.Generation <= sta.Ring.Generation {
		return false
	}
	sta.RingLeaseUntil = time.Time{}
	markUnconfirmed(sta, sta.Ring, now)
	markUnconfirmed(sta, rng, now)
	if rng.Generation != sta.Ring.Generation+1 {
		sta.HomeRings, sta.TakenOver = nil, false
		// The entries of the skipped rings are not known, so their ring leases have to expire.
		sta.Unconfirmed[skippedEntries] = now.Add(rgmodel.RingLeaseTime)
	}
	switch {
	case !isMember(rng, sta.Self):
		sta.AllSidecarsKnownSince = 0
	case rng.Generation == 1:
		// No sidecar has accepted batches before the first ring.
		sta.AllSidecarsKnownSince = 1
	case rng.Generation != sta.Ring.Generation+1 || !isMember(sta.Ring, sta.Self):
		sta.AllSidecarsKnownSince = 0
	}
	sta.Ring = rng
	sta.HomeRings = append(sta.HomeRings, rng)
	sta.PendingSeals = make(map[rgmodel.SidecarKey]bool, len(sidecars))
	for _, key := range sidecars {
		sta.PendingSeals[key] = true
	}
	MergeRecordsLostBefore(sta, departed, time.Time{})
	completeTakeover(sta)
	return true
}

func markUnconfirmed(sta *State, rng rgmodel.Ring, now time.Time) {
	if sta.Unconfirmed == nil {
		sta.Unconfirmed = map[string]time.Time{}
	}
	for _, ent := range rng.Entries {
		if ent != sta.Self {
			sta.Unconfirmed[ent.Incarnation] = now.Add(rgmodel.RingLeaseTime)
		}
	}
}

// completeTakeover completes the takeover once all sidecars are known and sealed and no entry is left unconfirmed.
func completeTakeover(sta *State) {
	if len(sta.PendingSeals) == 0 && len(sta.Unconfirmed) == 0 && sta.AllSidecarsKnownSince > 0 {
		sta.HomeRings = []rgmodel.Ring{sta.Ring}
		sta.TakenOver = true
	}
}
