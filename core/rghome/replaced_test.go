package rghome

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
)

// TestSnapshotOfReplacedSidecar guards against a second start of a task whose record was lost with the earlier incarnation of a
// sidecar: the entry that sends the snapshot may not have noticed the replacement, and the entry that receives it may know
// only of an earlier departure of that incarnation.
func TestSnapshotOfReplacedSidecar(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self := rgmodel.Entry{Name: "new", Incarnation: "new-1"}
	other := rgmodel.Entry{Name: "other", Incarnation: "other-1"}
	earlier := rgmodel.Sidecar{Name: "sidecar", Incarnation: "1", Capacity: rgmodel.Capacity{Slots: 1}}
	current := rgmodel.Sidecar{Name: "sidecar", Incarnation: "2", Capacity: rgmodel.Capacity{Slots: 1}}
	rng := rgmodel.Ring{Generation: 2, Entries: []rgmodel.Entry{self, other}}
	departed := func(at time.Time) []rgmodel.Departure {
		return []rgmodel.Departure{{Sidecar: earlier.Key(), At: at}}
	}
	tests := map[string]struct {
		// known is what the entry knows before, and merged is in the snapshot.
		known, merged []rgmodel.Departure
		listed        rgmodel.Sidecar
		created       time.Time
		wantLost      bool
	}{
		"earlier incarnation listed, id from before the snapshot": {listed: earlier, created: now.Add(-time.Second), wantLost: true},
		"earlier incarnation listed, later id":                    {listed: earlier, created: now.Add(rgmodel.ClockSkewLimit)},
		"current incarnation listed":                              {listed: current, created: now.Add(-time.Second)},
		"known departure": {
			known: departed(now.Add(-time.Minute)), listed: current, created: now.Add(-time.Second),
		},
		"departed again since the known departure": {
			known: departed(now.Add(-time.Minute)), merged: departed(now), listed: current, created: now.Add(-time.Second), wantLost: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := State{Ring: rgring.State{Self: self}}
			sta.Fleet.Departed = tc.known
			AdoptRing(&sta, rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{other}}, now)
			AdoptRing(&sta, rng, now)
			Announce(&sta, current, now)
			MergeSnapshot(&sta, Snapshot{
				Ring: rng, AllSidecarsKnownSince: 1, Sidecars: []rgmodel.Sidecar{tc.listed}, Departed: tc.merged,
			}, now)
			RecordSeal(&sta, current.Key(), rng.Generation, nil)
			rgring.ConfirmRing(&sta.Ring, other.Incarnation, rng.Generation)

			jb := rgmodel.Job{ID: newIDWithHome(t, rng, self, tc.created), Tasks: []rgmodel.Task{{}}}
			switch dec := Submit(&sta, jb, false, now, rand.New(rand.NewPCG(1, 1))).(type) {
			case StartJob:
				if tc.wantLost {
					t.Errorf("the job starts, although a record of the earlier incarnation may be lost")
				}
			case FinalAnswer:
				if !tc.wantLost || dec.Answer.Outcomes[0].Reason != rgmodel.ReasonRecordLost {
					t.Errorf("outcomes %+v, want lost records: %v", dec.Answer.Outcomes, tc.wantLost)
				}
			default:
				t.Errorf("decision %T", dec)
			}
		})
	}
}

// newIDWithHome returns an id of the given time whose home is the entry.
func newIDWithHome(t *testing.T, rng rgmodel.Ring, ent rgmodel.Entry, created time.Time) rgmodel.SubmissionID {
	t.Helper()
	for seq := range 1000 {
		id := rgmodel.SubmissionID(fmt.Sprintf("%08x-%04x-7000-8000-%012x", created.UnixMilli()>>16, created.UnixMilli()&0xffff, seq))
		if home, ok := rgring.Home(rng, id); ok && home == ent {
			return id
		}
	}
	t.Fatal("no id found")
	return ""
}
