package rgring

import (
	"slices"
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
	sta.CertainUntil = time.Time{}
	markUnaware(sta, sta.Ring, now)
	markUnaware(sta, rng, now)
	if rng.Generation != sta.Ring.Generation+1 {
		sta.Kept, sta.Settled = nil, false
		// Entries of rings that were skipped cannot be named.
		sta.Unaware[skipped] = now.Add(rgmodel.CertainTime)
	}
	switch {
	case !member(rng, sta.Self):
		sta.Since = 0
	case rng.Generation == 1:
		// Nobody has taken batches before the first ring.
		sta.Since = 1
	case rng.Generation != sta.Ring.Generation+1 || !member(sta.Ring, sta.Self):
		sta.Since = 0
	}
	sta.Ring = rng
	sta.Kept = append(sta.Kept, rng)
	sta.Pending = make(map[rgmodel.SidecarKey]bool, len(sidecars))
	for _, key := range sidecars {
		sta.Pending[key] = true
	}
	Inherit(sta, departed, time.Time{})
	settle(sta)
	return true
}

func markUnaware(sta *State, rng rgmodel.Ring, now time.Time) {
	if sta.Unaware == nil {
		sta.Unaware = map[string]time.Time{}
	}
	for _, ent := range rng.Entries {
		if ent != sta.Self {
			sta.Unaware[ent.Incarnation] = now.Add(rgmodel.CertainTime)
		}
	}
}

// Inherit raises the horizon for sidecars that have departed, and to the horizon of another entry.
func Inherit(sta *State, departed []rgmodel.Departure, horizon time.Time) {
	for _, dep := range departed {
		raiseHorizon(sta, dep.At)
	}
	if horizon.After(sta.Horizon) {
		sta.Horizon = horizon
	}
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

// Confirmed notes that another entry has adopted the ring of the generation given.
func Confirmed(sta *State, incarnation string, generation uint64) {
	if generation < sta.Ring.Generation {
		return
	}
	delete(sta.Unaware, incarnation)
	settle(sta)
}

// Ended notes that the process of another entry has ended, so that it no longer believes anything.
func Ended(sta *State, incarnation string) {
	delete(sta.Unaware, incarnation)
	settle(sta)
}

// Suspect adds entries that another entry still waits for.
func Suspect(sta *State, incarnations []string, now time.Time) {
	if sta.Unaware == nil {
		sta.Unaware = map[string]time.Time{}
	}
	for _, inc := range incarnations {
		if inc != sta.Self.Incarnation {
			sta.Unaware[inc] = now.Add(rgmodel.CertainTime)
		}
	}
}

// Elapse drops the entries that can no longer be certain.
func Elapse(sta *State, now time.Time) {
	for inc, until := range sta.Unaware {
		if now.After(until) {
			delete(sta.Unaware, inc)
		}
	}
	settle(sta)
}

// Checked notes that a read of the ring from the store, sent at the time given, returned the generation given.
func Checked(sta *State, generation uint64, sent time.Time) {
	if generation == sta.Ring.Generation {
		sta.CertainUntil = sent.Add(rgmodel.CertainTime)
	}
}

// Learned notes that another entry has named its sidecars, after it had adopted the ring of the generation given and
// as a member since the generation given. It returns false if that entry may not know all sidecars that took batches
// under earlier rings: it must have been a member of the ring before the current one, and have adopted the current
// one, because from then on it passes that ring on to every sidecar in contact with it.
func Learned(sta *State, generation, since uint64) bool {
	if since == 0 || since >= sta.Ring.Generation || generation < sta.Ring.Generation {
		return false
	}
	sta.Since, sta.Unaccounted = sta.Ring.Generation, nil
	settle(sta)
	return true
}

// Alone is for an entry that finds no other entry that could name all sidecars: ids created until the time given are
// uncertain. It is called again and again, with a later time, until no entry is unaccounted for.
func Alone(sta *State, until time.Time, unaccounted []rgmodel.Entry) {
	raiseHorizon(sta, until)
	sta.Unaccounted = unaccounted
	if sta.Since == 0 && member(sta.Ring, sta.Self) {
		sta.Since = sta.Ring.Generation
		settle(sta)
	}
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

// settle ends the takeover once all sidecars are known and sealed and all entries aware of the ring.
func settle(sta *State) {
	if len(sta.Pending) == 0 && len(sta.Unaware) == 0 && sta.Since > 0 {
		sta.Kept = []rgmodel.Ring{sta.Ring}
		sta.Settled = true
	}
}
