package rghome

import (
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

// AdoptRing takes in a newer ring and forgets the submissions that have moved to other homes, which it returns.
// After a gap in the generations all may have moved in between.
// All sidecars must then be sealed. It returns false for a ring that is not newer.
func AdoptRing(sta *State, rng rgmodel.Ring, now time.Time) ([]rgmodel.SubmissionID, bool) {
	gap := rng.Generation != sta.Ring.Ring.Generation+1
	if !rgring.Adopt(&sta.Ring, rng, rgfleet.Keys(&sta.Fleet), sta.Fleet.Departed, now) {
		return nil, false
	}
	var moved []rgmodel.SubmissionID
	for id := range sta.Submissions.Submissions {
		if gap || !rgring.Owns(&sta.Ring, id) {
			rgsubmission.Forget(&sta.Submissions, id)
			moved = append(moved, id)
		}
	}
	return moved, true
}

// Learn takes in what another entry knows, unless this entry knows all sidecars itself.
func Learn(sta *State, kno Knowledge, now time.Time) {
	if rgring.Complete(&sta.Ring) {
		return
	}
	for _, key := range rgfleet.Learn(&sta.Fleet, kno.Sidecars, kno.Departed, now) {
		rgring.Await(&sta.Ring, key)
	}
	rgring.Inherit(&sta.Ring, sta.Fleet.Departed, kno.Horizon)
	rgring.Suspect(&sta.Ring, kno.Suspects, now)
	rgring.Learned(&sta.Ring, kno.Ring.Generation, kno.Since)
}

// Announce takes in a sidecar's connection. It returns the incarnation that the sidecar replaces, if any.
func Announce(sta *State, sc rgmodel.Sidecar, now time.Time) (rgmodel.SidecarKey, bool) {
	old, replaced := rgfleet.Announce(&sta.Fleet, sc, now)
	if replaced {
		rgring.Lost(&sta.Ring, old, now)
	}
	rgring.Await(&sta.Ring, sc.Key())
	return old, replaced
}

// Sealed takes in a sidecar's answer to the seal of a generation, and returns false if that is not the current one.
func Sealed(sta *State, key rgmodel.SidecarKey, generation uint64, recs []rgmodel.Record) bool {
	if generation != sta.Ring.Ring.Generation {
		return false
	}
	rgring.Sealed(&sta.Ring, key, generation, recs)
	rgfleet.Seal(&sta.Fleet, key)
	return true
}

// Sweep gives up the sidecars that have been disconnected for too long and returns them.
func Sweep(sta *State, now time.Time) []rgmodel.SidecarKey {
	rgring.Elapse(&sta.Ring, now)
	lost := rgfleet.Sweep(&sta.Fleet, rgmodel.RecordWindow, now)
	for _, key := range lost {
		rgring.Lost(&sta.Ring, key, now)
	}
	return lost
}

// Expire forgets submissions and records past their window.
func Expire(sta *State, now time.Time) {
	rgsubmission.Expire(&sta.Submissions, now)
	rgring.Forget(&sta.Ring, now.Add(-rgmodel.RecordWindow))
}
