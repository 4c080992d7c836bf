package rgfleet_test

import (
	"testing"
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
)

// TestFlowLoad guards against a flood that makes the sidecar with the shortest queue attract all tasks of another flow.
func TestFlowLoad(t *testing.T) {
	own, oth := rgmodel.Flow{Kind: "own"}, rgmodel.Flow{Kind: "other"}
	tests := map[string]struct {
		queued, running int
		ownQueued       int
		ownSent, sent   int
		want            int
	}{
		"idle":                                {},
		"running tasks count":                 {running: 5, want: 5},
		"another flow's queue does not count": {queued: 500, running: 8, want: 8},
		"the own queue counts":                {queued: 500, ownQueued: 30, running: 8, want: 38},
		"sent tasks fill the slots":           {running: 3, sent: 2, want: 5},
		"own sent tasks count":                {queued: 500, running: 8, ownSent: 4, sent: 4, want: 12},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			mem := &rgfleet.Member{
				Sidecar: rgmodel.Sidecar{Capacity: rgmodel.Capacity{Slots: 8}},
				Report: rgmodel.Report{Queued: tc.queued, Running: tc.running, Flows: []rgmodel.FlowLoad{
					{Flow: oth, Queued: tc.queued - tc.ownQueued, Running: tc.running}, {Flow: own, Queued: tc.ownQueued},
				}},
				SentSince: tc.sent, SentFlows: map[rgmodel.Flow]int{own: tc.ownSent},
			}
			if got := rgfleet.FlowLoad(mem, own); got != tc.want {
				t.Errorf("load %d, want %d", got, tc.want)
			}
		})
	}
}

// TestMeanTime guards against a declared time that keeps tasks away from a sidecar that has not learned the kind.
func TestMeanTime(t *testing.T) {
	tests := map[string]struct {
		learned []time.Duration
		want    time.Duration
	}{
		"nothing learned":   {want: 4 * time.Second},
		"learned elsewhere": {learned: []time.Duration{300 * time.Millisecond, 500 * time.Millisecond}, want: 400 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			mems := []*rgfleet.Member{{}}
			for _, tim := range tc.learned {
				mem := &rgfleet.Member{}
				mem.Report.Times = []rgmodel.KindTime{{Kind: "k", Mean: rgmodel.Duration{Duration: tim}}}
				mems = append(mems, mem)
			}
			if got := rgfleet.MeanTime(mems, "k", 4*time.Second); got != tc.want {
				t.Errorf("mean %s, want %s", got, tc.want)
			}
		})
	}
}
