package rghome

import (
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

// TestConflictVerdict guards against "not run" for an id that has been used with another body, whether this home has accepted it
// or the records of a sidecar show it.
func TestConflictVerdict(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self := rgmodel.Entry{Name: "entry", Incarnation: "entry-1"}
	rng := rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{self}}
	jb := rgmodel.Job{ID: newIDWithHome(t, rng, self, now), Digest: 2, Tasks: []rgmodel.Task{{}}}
	earlier := rgmodel.Job{ID: jb.ID, Digest: 1, Tasks: jb.Tasks}
	key := rgmodel.SidecarKey{Name: "sidecar", Incarnation: "1"}
	tests := map[string]func(sta *State){
		"accepted here": func(sta *State) {
			rgsubmission.Register(&sta.Submissions, earlier, false, rgmodel.RecordRetention, now)
		},
		"recorded by a sidecar": func(sta *State) {
			rgring.ExpectSeal(&sta.Ring, key)
			rgring.RecordSeal(&sta.Ring, key, rng.Generation, []rgmodel.Record{
				{ID: earlier.ID, Digest: earlier.Digest, Tasks: []rgmodel.TaskRecord{{State: rgmodel.TaskRunning}}},
			})
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			sta := State{Ring: rgring.State{Self: self}}
			AdoptRing(&sta, rng, now)
			sta.Ring.RingLeaseUntil = now.Add(time.Second)
			prepare(&sta)
			dec := Submit(&sta, jb, false, now, rand.New(rand.NewPCG(1, 1)))
			fin, ok := dec.(FinalAnswer)
			if !ok {
				t.Fatalf("decision %T %+v", dec, dec)
			}
			if out := fin.Answer.Outcomes[0]; out.Verdict != rgmodel.MayHaveRun || out.Reason != rgmodel.ReasonDigestMismatch {
				t.Errorf("outcome %+v, want mayHaveRun and digestMismatch", out)
			}
		})
	}
}
