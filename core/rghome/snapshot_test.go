package rghome

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestSnapshotBeforeRing guards against an entry that loses parts of a snapshot or panics because it has not adopted a ring yet.
// An entry that starts while the store is down receives snapshots in this state.
func TestSnapshotBeforeRing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]Snapshot{
		"empty":               {},
		"unconfirmed entries": {Unconfirmed: []string{"other-1"}},
		"sidecars":            {Sidecars: []rgmodel.Sidecar{{Name: "sidecar", Incarnation: "sidecar-1"}}},
		"departures":          {Departed: []rgmodel.Departure{{Sidecar: rgmodel.SidecarKey{Name: "sidecar"}, At: now}}},
		"lost records":        {RecordsLostBefore: now},
	}
	for name, snp := range tests {
		t.Run(name, func(t *testing.T) {
			var sta State
			MergeSnapshot(&sta, snp, now)
			got := TakeSnapshot(&sta)
			if len(got.Unconfirmed) != len(snp.Unconfirmed) || len(got.Sidecars) != len(snp.Sidecars) ||
				len(got.Departed) != len(snp.Departed) {
				t.Errorf("got %+v, want %+v", got, snp)
			}
			if got.RecordsLostBefore.Before(snp.RecordsLostBefore) {
				t.Errorf("records lost before %v, want at least %v", got.RecordsLostBefore, snp.RecordsLostBefore)
			}
		})
	}
}
