package rgentry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"ragwortgap/core/rgburn"
	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
)

// TestCountAnswer guards against error budgets that count callers' errors, count a job twice, or ignore the caller's wait
// limit.
func TestCountAnswer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	flow := rgmodel.Flow{Team: "kitapDostu", Kind: "signUps"}
	jb := rgmodel.Job{ID: "id", Flow: flow, Tasks: make([]rgmodel.Task, 2)}
	complete := rgmodel.Answer{Outcomes: []rgmodel.Outcome{{Verdict: rgmodel.RanOK}}}
	ended := func(rn JobRun) func(*Process, *State) {
		return func(pro *Process, sta *State) {
			sta.Runs = map[uint64]*JobRun{1: &rn}
			pro.endJob(sta, JobEnded{RunID: 1, Answer: complete})
		}
	}
	refused := func(vd rgmodel.Verdict, rsn rgmodel.Reason) func(*Process, *State) {
		return func(pro *Process, sta *State) {
			pro.countRefusal(sta, Submitted{Job: jb}, rgmodel.UniformAnswer(jb, vd, rsn, ""), now)
		}
	}
	tests := map[string]struct {
		event       func(*Process, *State)
		want        rgburn.Counts
		wantVerdict string
	}{
		"complete in time":    {ended(JobRun{Flow: flow, Began: time.Now()}), rgburn.Counts{Good: 1}, "ranOK"},
		"complete too late":   {ended(JobRun{Flow: flow, Began: time.Now().Add(-time.Hour)}), rgburn.Counts{Late: 1}, "ranOK"},
		"already final":       {ended(JobRun{Flow: flow, Began: time.Now(), AlreadyFinal: true}), rgburn.Counts{}, ""},
		"moved to other home": {ended(JobRun{Flow: flow, Began: time.Now(), Moved: true}), rgburn.Counts{}, ""},
		"over quota":          {refused(rgmodel.NotRun, rgmodel.ReasonQuota), rgburn.Counts{Refused: 1}, "notRun"},
		"records lost":        {refused(rgmodel.MayHaveRun, rgmodel.ReasonRecordLost), rgburn.Counts{MayHaveRun: 1}, "mayHaveRun"},
		"never runnable":      {refused(rgmodel.NotRun, rgmodel.ReasonNeverRunnable), rgburn.Counts{}, "notRun"},
		"id of another body":  {refused(rgmodel.NotRun, rgmodel.ReasonDigestMismatch), rgburn.Counts{}, "notRun"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sco := tally.NewTestScope("", nil)
			sta := &State{Home: rghome.State{Teams: map[string]rgmodel.TeamConfig{flow.Team: {Kinds: []rgmodel.KindConfig{
				{Kind: flow.Kind, CallerWait: rgmodel.Duration{Duration: time.Minute}},
			}}}}}
			tc.event(&Process{scope: sco}, sta)
			var got rgburn.Counts
			for _, flo := range sta.Burn.Flows {
				for _, bkt := range flo.Buckets {
					if bkt.Counts != (rgburn.Counts{}) {
						got = bkt.Counts
					}
				}
			}
			if got != tc.want {
				t.Errorf("counted %+v, want %+v", got, tc.want)
			}
			verdict := ""
			for _, cnt := range sco.Snapshot().Counters() {
				if cnt.Name() == "jobs" {
					verdict = cnt.Tags()["verdict"]
				}
			}
			if verdict != tc.wantVerdict {
				t.Errorf("job counted as %q, want %q", verdict, tc.wantVerdict)
			}
		})
	}
}
