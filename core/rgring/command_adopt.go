package rgring

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// Adopt makes rng the current ring if its generation is higher, and returns whether it did.
// All sidecars must then be sealed; departed are those lost within the resubmission window, whose records
// nobody can answer for. After a gap in the generations no id counts as kept, because another entry may have
// been its home in between.
func Adopt(sta *State, rng rgmodel.Ring, sidecars []rgmodel.SidecarKey, departed []rgmodel.Departure) bool {
	if rng.Generation <= sta.Ring.Generation {
		return false
	}
	if rng.Generation != sta.Ring.Generation+1 {
		sta.Kept, sta.Settled = nil, false
	}
	sta.Ring = rng
	sta.Kept = append(sta.Kept, rng)
	sta.Pending = make(map[rgmodel.SidecarKey]bool, len(sidecars))
	for _, key := range sidecars {
		sta.Pending[key] = true
	}
	for _, dep := range departed {
		raiseHorizon(sta, dep.At)
	}
	settle(sta)
	return true
}

// AwaitEntries notes, before rng is adopted, that the other entries of it must confirm that they know it. Until then an
// old home may still refuse an id that has moved, and a sidecar may be known to the others only.
func AwaitEntries(sta *State, rng rgmodel.Ring) {
	if rng.Generation <= sta.Ring.Generation {
		return
	}
	sta.Unconfirmed = make(map[string]bool, len(rng.Entries))
	for _, ent := range rng.Entries {
		if ent != sta.Self {
			sta.Unconfirmed[ent.Incarnation] = true
		}
	}
}

// Confirmed notes that an entry knows the generation. Departed are the sidecars that it has lost.
func Confirmed(sta *State, ent rgmodel.Entry, generation uint64, departed []rgmodel.Departure) {
	if generation < sta.Ring.Generation || !sta.Unconfirmed[ent.Incarnation] {
		return
	}
	for _, dep := range departed {
		raiseHorizon(sta, dep.At)
	}
	delete(sta.Unconfirmed, ent.Incarnation)
	settle(sta)
}

// Await adds a sidecar that has announced itself to those whose seal is pending.
func Await(sta *State, key rgmodel.SidecarKey) {
	if sta.Pending == nil {
		sta.Pending = map[rgmodel.SidecarKey]bool{}
	}
	sta.Pending[key] = true
}

// Sealed merges a sidecar's answer to the seal of a generation; answers of an older generation are ignored,
// because the sidecar may have accepted batches since.
func Sealed(sta *State, key rgmodel.SidecarKey, generation uint64, recs []rgmodel.Record) {
	if generation != sta.Ring.Generation {
		return
	}
	if sta.Records == nil {
		sta.Records = map[rgmodel.SubmissionID][]Sighting{}
	}
	for _, rec := range recs {
		sts := slices.DeleteFunc(sta.Records[rec.ID], func(sig Sighting) bool { return sig.Sidecar == key })
		sta.Records[rec.ID] = append(sts, Sighting{Sidecar: key, Record: rec})
	}
	delete(sta.Pending, key)
	settle(sta)
}

// Lost gives up on a sidecar. If its seal was pending, its records are lost with it and the horizon rises.
func Lost(sta *State, key rgmodel.SidecarKey, now time.Time) {
	if !sta.Pending[key] {
		return
	}
	delete(sta.Pending, key)
	raiseHorizon(sta, now)
	settle(sta)
}

// StartWithoutPeers is for an entry that finds a ring and none of its members alive: sidecars may exist that
// nobody can name, so all ids created so far are uncertain.
func StartWithoutPeers(sta *State, now time.Time) {
	raiseHorizon(sta, now)
}

// Forget drops the records of ids created before the time given.
func Forget(sta *State, before time.Time) {
	for id := range sta.Records {
		if crt, err := id.Created(); err != nil || crt.Before(before) {
			delete(sta.Records, id)
		}
	}
}

func raiseHorizon(sta *State, lost time.Time) {
	hor := lost.Add(rgmodel.ClockSkewLimit)
	if hor.After(sta.Horizon) {
		sta.Horizon = hor
	}
}

// settle ends the takeover once no seal and no confirmation is pending.
func settle(sta *State) {
	if len(sta.Pending) == 0 && len(sta.Unconfirmed) == 0 && sta.Ring.Generation > 0 {
		sta.Kept = []rgmodel.Ring{sta.Ring}
		sta.Settled = true
	}
}
