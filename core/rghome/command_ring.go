package rghome

import (
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

// AdoptRing adopts a newer ring and forgets the submissions that have moved to other homes, which it returns.
// After a gap in the generations it forgets all submissions, because any of them may have moved in between.
// Afterwards every known sidecar has to be sealed again. It returns false for a ring that is not newer.
func AdoptRing(sta *State, rng rgmodel.Ring, now time.Time) ([]rgmodel.SubmissionID, bool) {
	gap := rng.Generation != sta.Ring.Ring.Generation+1
	if !rgring.Adopt(&sta.Ring, rng, rgfleet.SidecarKeys(&sta.Fleet), sta.Fleet.Departed, now) {
		return nil, false
	}
	var moved []rgmodel.SubmissionID
	for id := range sta.Submissions.Submissions {
		if gap || !rgring.IsHome(&sta.Ring, id) {
			rgsubmission.Forget(&sta.Submissions, id)
			moved = append(moved, id)
		}
	}
	return moved, true
}

// MergeSnapshot merges the snapshot of another entry, unless this entry knows all sidecars itself.
func MergeSnapshot(sta *State, snp Snapshot, now time.Time) {
	if rgring.KnowsAllSidecars(&sta.Ring) {
		return
	}
	for _, key := range rgfleet.MergeSidecars(&sta.Fleet, snp.Sidecars, snp.Departed, now) {
		rgring.ExpectSeal(&sta.Ring, key)
	}
	rgring.MergeRecordsLostBefore(&sta.Ring, sta.Fleet.Departed, snp.RecordsLostBefore)
	rgring.AddUnconfirmed(&sta.Ring, snp.Unconfirmed, now)
	rgring.RecordSidecarList(&sta.Ring, snp.Ring.Generation, snp.AllSidecarsKnownSince)
}

// Announce records that a sidecar has connected. It returns the incarnation that the sidecar replaces, if any.
func Announce(sta *State, sc rgmodel.Sidecar, now time.Time) (rgmodel.SidecarKey, bool) {
	old, replaced := rgfleet.Announce(&sta.Fleet, sc, now)
	if replaced {
		rgring.RemoveSidecar(&sta.Ring, old, now)
	}
	rgring.ExpectSeal(&sta.Ring, sc.Key())
	return old, replaced
}

// RecordSeal merges a sidecar's reply to the seal of a generation. It returns false if that is not the current one.
func RecordSeal(sta *State, key rgmodel.SidecarKey, generation uint64, recs []rgmodel.Record) bool {
	if generation != sta.Ring.Ring.Generation {
		return false
	}
	rgring.RecordSeal(&sta.Ring, key, generation, recs)
	rgfleet.MarkSealed(&sta.Fleet, key)
	return true
}

// RemoveLostSidecars removes the sidecars that have been disconnected for too long, which it returns, and expired unconfirmed entries.
func RemoveLostSidecars(sta *State, now time.Time) []rgmodel.SidecarKey {
	rgring.ExpireUnconfirmed(&sta.Ring, now)
	lost := rgfleet.RemoveLost(&sta.Fleet, rgmodel.RecordRetention, now)
	for _, key := range lost {
		rgring.RemoveSidecar(&sta.Ring, key, now)
	}
	return lost
}

// ExpireRecords deletes the submissions and records whose retention time has passed.
func ExpireRecords(sta *State, now time.Time) {
	rgsubmission.Expire(&sta.Submissions, now)
	rgring.ExpireRecords(&sta.Ring, now.Add(-rgmodel.RecordRetention))
}
