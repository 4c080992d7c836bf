package rgqueue_test

import (
	"maps"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// TestResultBound guards against results that exceed the byte bound, and against a dropped result that counts as a complete
// answer or as not run, or makes the task run again.
func TestResultBound(t *testing.T) {
	const dropped = rgmodel.ReasonResultDropped
	tests := map[string]struct {
		maxBytes int
		// order lists the arguments of runOne, which runs one submission after the other.
		order []string
		// pending is set if a second task of submission a runs until the end of the test.
		pending   bool
		want      map[string]rgmodel.Reason
		wantBytes int
	}{
		"all results within the bound": {
			maxBytes: 300, order: []string{"a", "b", "c"},
			want: map[string]rgmodel.Reason{"a": "", "b": "", "c": ""}, wantBytes: 300,
		},
		"the oldest results are dropped first": {
			maxBytes: 250, order: []string{"a", "b", "c"},
			want: map[string]rgmodel.Reason{"a": dropped, "b": "", "c": ""}, wantBytes: 200,
		},
		"the newest results are kept above the bound": {
			maxBytes: 50, order: []string{"a", "b", "c"},
			want: map[string]rgmodel.Reason{"a": dropped, "b": dropped, "c": ""}, wantBytes: 100,
		},
		"the age of a submission counts from its last batch": {
			maxBytes: 300, order: []string{"a", "b", "a2", "c"},
			want: map[string]rgmodel.Reason{"a": "", "b": dropped, "c": ""}, wantBytes: 300,
		},
		"results of a submission with pending tasks are kept": {
			maxBytes: 150, order: []string{"a", "b", "c"}, pending: true,
			want: map[string]rgmodel.Reason{"a": "", "b": dropped, "c": ""}, wantBytes: 200,
		},
		"results of a submission with a running second batch are kept": {
			maxBytes: 250, order: []string{"a", "a2 runs", "b", "c"},
			want: map[string]rgmodel.Reason{"a": "", "b": dropped, "c": ""}, wantBytes: 200,
		},
		"zero means the default bound": {
			order: []string{"a", "b"},
			want:  map[string]rgmodel.Reason{"a": "", "b": ""}, wantBytes: 200,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := newReadyState(2)
			var unfinished []rgqueue.StartedTask
			sta.MaxResultBytes = tc.maxBytes
			for _, id := range tc.order {
				unfinished = append(unfinished, runOne(sta, id, tc.pending && id == "a")...)
			}
			got := map[string]rgmodel.Reason{}
			for id := range tc.want {
				got[id] = resultReason(t, sta, id)
				rgqueue.Accept(sta, batch(id, "k", 1), epoch)
			}
			if !maps.Equal(got, tc.want) || sta.ResultBytes != tc.wantBytes {
				t.Errorf("reasons %v and %d bytes, want %v and %d bytes", got, sta.ResultBytes, tc.want, tc.wantBytes)
			}
			for _, stt := range unfinished {
				rgqueue.Finish(sta, stt, succeeded(stt), time.Millisecond)
			}
			if restarted := runAll(sta, epoch); restarted != 0 {
				t.Errorf("%d tasks ran again", restarted)
			}
			rgqueue.ExpireRecords(sta, epoch.Add(time.Hour))
			if sta.ResultBytes != 0 || len(sta.Finalized) != 0 {
				t.Errorf("after the records expired, %d bytes and %d finalized submissions are left", sta.ResultBytes, len(sta.Finalized))
			}
		})
	}
}

func resultReason(t *testing.T, sta *rgqueue.State, id string) rgmodel.Reason {
	t.Helper()
	outs, _ := rgqueue.Outcomes(sta, rgmodel.SubmissionID(id), []int{0})
	ans := rgmodel.Answer{Outcomes: outs}
	if outs[0].Verdict != rgmodel.RanOK || ans.Complete() != (len(outs[0].Result) > 0) {
		t.Errorf("%s: verdict %s, complete %t, result of %d bytes", id, outs[0].Verdict, ans.Complete(), len(outs[0].Result))
	}
	return outs[0].Reason
}

// runOne runs one task with a result of 100 bytes and returns the tasks that are still running.
// The ids "a2" and "a2 runs" stand for a second batch with a second task of submission a.
func runOne(sta *rgqueue.State, id string, pending bool) []rgqueue.StartedTask {
	bat := batch(id, "k", 1)
	switch {
	case id == "a2", id == "a2 runs":
		bat = batch("a", "k", 2)
	case pending:
		bat = batch(id, "k", 2)
	}
	rgqueue.Accept(sta, bat, epoch)
	stts := rgqueue.StartNext(sta, epoch).Started
	if id == "a2 runs" {
		return stts
	}
	out := succeeded(stts[0])
	out.Result = make(rgmodel.Payload, 100)
	rgqueue.Finish(sta, stts[0], out, time.Millisecond)
	return stts[1:]
}
