package rgplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
)

// TestFloodedQueues guards against a placement that sends all tasks of a flow to the sidecar with the shortest queue of
// another flow. Fair queueing serves the flow before the flood, so the length of the flood's queues does not matter.
func TestFloodedQueues(t *testing.T) {
	own, flood := rgmodel.Flow{Team: "team", Kind: "own"}, rgmodel.Flow{Team: "team", Kind: "flood"}
	tests := map[string]struct {
		queued  map[string]int
		wantMin int
	}{
		"no flood":             {queued: map[string]int{"s0": 0, "s1": 0}, wantMin: 8},
		"floods of equal size": {queued: map[string]int{"s0": 500, "s1": 500}, wantMin: 8},
		"one flood is larger":  {queued: map[string]int{"s0": 500, "s1": 300}, wantMin: 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			var flt rgfleet.State
			var cans []rgplacement.Candidate
			for _, sc := range []string{"s0", "s1"} {
				rgfleet.Announce(&flt, rgmodel.Sidecar{Name: sc, Capacity: rgmodel.Capacity{Slots: 8}}, now)
				rgfleet.RecordReport(&flt, rgmodel.LoadReport{
					Sidecar: sc, Sequence: 1, Queued: tc.queued[sc], Running: 8, Succeeded: 1,
					Flows: []rgmodel.FlowLoad{{Flow: flood, Queued: tc.queued[sc], Running: 8}},
					ServiceTimes: []rgmodel.KindServiceTime{
						{Kind: "own", Mean: rgmodel.Duration{Duration: time.Second}},
						{Kind: "flood", Mean: rgmodel.Duration{Duration: time.Second}},
					},
				}, now)
				inf := rgplacement.JobInfo{Flow: own, Entries: 1}
				cans = append(cans, rgplacement.NewCandidate(&flt, flt.Members[sc], inf, now))
			}
			plc := rgplacement.Distribute(rgplacement.EarliestFinish{}, cans, 32, rand.New(rand.NewPCG(1, 1)))
			for _, sc := range []string{"s0", "s1"} {
				got := 0
				for _, asg := range plc.Assignments {
					if asg.Sidecar.Name == sc {
						got = asg.Tasks
					}
				}
				if got < tc.wantMin {
					t.Errorf("sidecar %s gets %d of 32 tasks, want at least %d", sc, got, tc.wantMin)
				}
			}
		})
	}
}
