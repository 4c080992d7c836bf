package rgentry

import (
	"testing"
	"time"

	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

// TestJobState guards against a state that says "not run" although another entry may have become the home and run the tasks, and
// against one that has no verdicts for a complete job whose results have been dropped from memory.
func TestJobState(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self := rgmodel.Entry{Name: "entry0", Incarnation: "entry0-1"}
	rng := rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{self}}
	jb := rgmodel.Job{ID: "01a24011-e844-72e8-b114-0b66db8c2870", Tasks: []rgmodel.Task{{}, {Index: 1}}}
	sidecars := []rgmodel.SidecarKey{{Name: "sidecar0", Incarnation: "1"}, {Name: "sidecar1", Incarnation: "1"}}
	refused := rgmodel.UniformAnswer(jb, rgmodel.NotRun, rgmodel.ReasonQueueFull, "")
	complete := rgmodel.UniformAnswer(jb, rgmodel.RanOK, "", "")
	tests := map[string]struct {
		answer         rgmodel.Answer
		maxAnswerBytes int
		leaseUntil     time.Time
		want           rgmodel.Outcome
	}{
		"not run, with the ring lease": {
			answer: refused, leaseUntil: now.Add(time.Second),
			want: rgmodel.Outcome{Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonQueueFull},
		},
		"not run, without the ring lease": {
			answer: refused, leaseUntil: now, want: rgmodel.Outcome{Verdict: rgmodel.MayHaveRun, Reason: rgmodel.ReasonQueueFull},
		},
		"complete": {answer: complete, want: rgmodel.Outcome{Verdict: rgmodel.RanOK}},
		"complete, dropped": {
			answer: complete, maxAnswerBytes: 1, want: rgmodel.Outcome{Verdict: rgmodel.RanOK, Reason: rgmodel.ReasonResultDropped},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := &State{Home: rghome.State{
				Ring:        rgring.State{Self: self, Ring: rng, RingLeaseUntil: tc.leaseUntil},
				Submissions: rgsubmission.State{MaxAnswerBytes: tc.maxAnswerBytes},
			}}
			rgsubmission.Register(&sta.Home.Submissions, jb, false, rgmodel.RecordRetention, now)
			rgsubmission.Finish(&sta.Home.Submissions, tc.answer, []rgsubmission.TaskLocation{
				{Sidecar: sidecars[0], Indexes: []int{1}}, {Sidecar: sidecars[1], Indexes: []int{0}},
			})
			rep := jobState(sta, jb.ID, now)
			if !rep.Found || !rep.Final || rep.Answer.ID != jb.ID || len(rep.Answer.Outcomes) != len(jb.Tasks) {
				t.Fatalf("got %+v, want the final answer of %d tasks", rep, len(jb.Tasks))
			}
			for i, out := range rep.Answer.Outcomes {
				if out.Index != i || out.Verdict != tc.want.Verdict || out.Reason != tc.want.Reason {
					t.Errorf("outcome %d is %+v, want index %d, %v and %q", i, out, i, tc.want.Verdict, tc.want.Reason)
				}
			}
		})
	}
}
