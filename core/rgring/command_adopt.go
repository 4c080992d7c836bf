package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// skipped stands for the unknown entries of rings that this entry has not seen.
const skipped = "skipped"

// Adopt makes rng the current ring if its generation is higher, and returns whether it did.
// All sidecars must then be sealed; departed are those lost within the resubmission window, whose records
// nobody can answer for. After a gap in the generations no id counts as kept, because another entry may have
// been its home in between.
func Adopt(
	sta *State, rng rgmodel.Ring, sidecars []rgmodel.SidecarKey, departed []rgmodel.Departure, now time.Time,
) bool {
	if rng.Generation <= sta.Ring.Generation {
		return false
	}
	sta.LeaseUntil = time.Time{}
	markUnconfirmed(sta, sta.Ring, now)
	markUnconfirmed(sta, rng, now)
	if rng.Generation != sta.Ring.Generation+1 {
		sta.RingsSinceTakeover, sta.TakenOver = nil, false
		// Entries of rings that were skipped cannot be named.
		sta.Unconfirmed[skipped] = now.Add(rgmodel.RingLeaseTime)
	}
	switch {
	case !member(rng, sta.Self):
		sta.MemberSince = 0
	case rng.Generation == 1:
		// Nobody has taken batches before the first ring.
		sta.MemberSince = 1
	case rng.Generation != sta.Ring.Generation+1 || !member(sta.Ring, sta.Self):
		sta.MemberSince = 0
	}
	sta.Ring = rng
	sta.RingsSinceTakeover = append(sta.RingsSinceTakeover, rng)
	sta.PendingSeals = make(map[rgmodel.SidecarKey]bool, len(sidecars))
	for _, key := range sidecars {
		sta.PendingSeals[key] = true
	}
	MergeHorizon(sta, departed, time.Time{})
	settle(sta)
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

// settle ends the takeover once all sidecars are known and sealed and all entries aware of the ring.
func settle(sta *State) {
	if len(sta.PendingSeals) == 0 && len(sta.Unconfirmed) == 0 && sta.MemberSince > 0 {
		sta.RingsSinceTakeover = []rgmodel.Ring{sta.Ring}
		sta.TakenOver = true
	}
}
