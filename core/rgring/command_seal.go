package rgring

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// ExpectSeal adds a sidecar that has announced itself to those whose seal is pending.
func ExpectSeal(sta *State, key rgmodel.SidecarKey) {
	if sta.PendingSeals == nil {
		sta.PendingSeals = map[rgmodel.SidecarKey]bool{}
	}
	sta.PendingSeals[key] = true
}

// RecordSeal merges a sidecar's reply to the seal of a generation; replies of an older generation are ignored,
// because the sidecar may have accepted batches since.
func RecordSeal(sta *State, key rgmodel.SidecarKey, generation uint64, recs []rgmodel.Record) {
	if generation != sta.Ring.Generation {
		return
	}
	if sta.Records == nil {
		sta.Records = map[rgmodel.SubmissionID][]SidecarRecord{}
	}
	for _, rec := range recs {
		srs := slices.DeleteFunc(sta.Records[rec.ID], func(sr SidecarRecord) bool { return sr.Sidecar == key })
		sta.Records[rec.ID] = append(srs, SidecarRecord{Sidecar: key, Record: rec})
	}
	delete(sta.PendingSeals, key)
	completeTakeover(sta)
}

// RemoveSidecar removes a lost sidecar. If its seal was pending, its records are lost with it and
// RecordsLostBefore rises.
func RemoveSidecar(sta *State, key rgmodel.SidecarKey, now time.Time) {
	if !sta.PendingSeals[key] {
		return
	}
	delete(sta.PendingSeals, key)
	raiseRecordsLostBefore(sta, now)
	completeTakeover(sta)
}

// ExpireRecords deletes the records of ids created before the given time.
func ExpireRecords(sta *State, before time.Time) {
	for id := range sta.Records {
		if crt, err := id.Created(); err != nil || crt.Before(before) {
			delete(sta.Records, id)
		}
	}
}
