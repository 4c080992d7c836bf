package rgqueue_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// tasks is the size of the batches of TestStartOnce.
const tasks = 3

type startOnceCase struct {
	slots int
	// before runs on a sidecar that has accepted the batch or, if late is set, has not.
	late   bool
	before func(sta *rgqueue.State)
	// change alters the copy of the batch that arrives next.
	change     func(bat *rgmodel.Batch)
	wantReason rgmodel.Reason
	wantStarts int
	want       map[int]rgmodel.Reason
}

var startOnceCases = map[string]startOnceCase{
	"a copy while the tasks are queued": {slots: 8, wantStarts: tasks, want: map[int]rgmodel.Reason{0: "", 1: "", 2: ""}},
	"a copy while the tasks run or wait": {
		slots: 2, before: func(sta *rgqueue.State) { rgqueue.StartNext(sta, epoch) },
		wantStarts: 1, want: map[int]rgmodel.Reason{2: ""},
	},
	"a copy after the tasks have run": {
		slots: 8, before: func(sta *rgqueue.State) { runAll(sta, epoch) },
		want: map[int]rgmodel.Reason{0: "", 1: "", 2: ""},
	},
	"a copy after the tasks have run and a seal": {
		slots: 8,
		before: func(sta *rgqueue.State) {
			runAll(sta, epoch)
			rgqueue.Seal(sta, rgmodel.Ring{Generation: 2}, rgmodel.Entry{})
		},
		change: func(bat *rgmodel.Batch) { bat.Generation = 2 },
		want:   map[int]rgmodel.Reason{0: "", 1: "", 2: ""},
	},
	"a copy after a cancellation": {
		slots: 8, before: func(sta *rgqueue.State) { rgqueue.Cancel(sta, []rgmodel.SubmissionID{"job"}, epoch) },
		want: map[int]rgmodel.Reason{0: rgmodel.ReasonCancelled, 1: rgmodel.ReasonCancelled, 2: rgmodel.ReasonCancelled},
	},
	"a copy after the deadline": {
		slots: 8, before: func(sta *rgqueue.State) { rgqueue.ExpireQueued(sta, epoch.Add(time.Minute)) },
		want: map[int]rgmodel.Reason{0: rgmodel.ReasonExpired, 1: rgmodel.ReasonExpired, 2: rgmodel.ReasonExpired},
	},
	"a copy after a refusal for a full queue": {
		slots: 8, late: true,
		before: func(sta *rgqueue.State) {
			sta.MaxQueued = tasks - 1
			rgqueue.Accept(sta, batch("job", "k", tasks), epoch)
			sta.MaxQueued = 0
		},
		want: map[int]rgmodel.Reason{0: rgmodel.ReasonQueueFull, 1: rgmodel.ReasonQueueFull, 2: rgmodel.ReasonQueueFull},
	},
	"a copy after a refusal before the sidecar was ready": {
		slots: 8, late: true,
		before: func(sta *rgqueue.State) {
			known := sta.Contacts
			sta.Contacts = nil
			rgqueue.Accept(sta, batch("job", "k", tasks), epoch)
			sta.Contacts = known
		},
		want: map[int]rgmodel.Reason{0: rgmodel.ReasonNotReady, 1: rgmodel.ReasonNotReady, 2: rgmodel.ReasonNotReady},
	},
	"a batch that its cancellation has overtaken": {
		slots: 8, late: true,
		before: func(sta *rgqueue.State) { rgqueue.Cancel(sta, []rgmodel.SubmissionID{"job"}, epoch) },
		want:   map[int]rgmodel.Reason{0: rgmodel.ReasonCancelled, 1: rgmodel.ReasonCancelled, 2: rgmodel.ReasonCancelled},
	},
	"a batch without time left": {
		slots: 8, late: true, change: func(bat *rgmodel.Batch) { bat.Remaining.Duration = 0 },
		want: map[int]rgmodel.Reason{0: rgmodel.ReasonExpired, 1: rgmodel.ReasonExpired, 2: rgmodel.ReasonExpired},
	},
	"a batch of an older generation": {
		slots: 8, late: true,
		before:     func(sta *rgqueue.State) { rgqueue.Seal(sta, rgmodel.Ring{Generation: 2}, rgmodel.Entry{}) },
		wantReason: rgmodel.ReasonStaleGeneration, want: map[int]rgmodel.Reason{},
	},
	"the same id with another body": {
		slots: 8, change: func(bat *rgmodel.Batch) { bat.Digest++ },
		wantReason: rgmodel.ReasonDigestMismatch, wantStarts: tasks, want: map[int]rgmodel.Reason{0: "", 1: "", 2: ""},
	},
}

// TestStartOnce guards against a task that starts twice or after it was refused, and against untrue "not run" verdicts.
func TestStartOnce(t *testing.T) {
	for name, tc := range startOnceCases {
		t.Run(name, func(t *testing.T) {
			sta := ready(tc.slots)
			if !tc.late {
				rgqueue.Accept(sta, batch("job", "k", tasks), epoch)
			}
			if tc.before != nil {
				tc.before(sta)
			}
			bat := batch("job", "k", tasks)
			if tc.change != nil {
				tc.change(&bat)
			}
			if got := rgqueue.Accept(sta, bat, epoch); got != tc.wantReason {
				t.Errorf("batch refused as %q, want %q", got, tc.wantReason)
			}
			// Tasks that ran before the copy are not finished here, so that all starts counted are of the copy.
			running := sta.Running
			sta.Self.Capacity.Slots += running
			if got := runAll(sta, epoch); got != tc.wantStarts {
				t.Errorf("%d tasks started after the copy, want %d", got, tc.wantStarts)
			}
			checkOutcomes(t, sta, tasks, tc.want)
		})
	}
}

func checkOutcomes(t *testing.T, sta *rgqueue.State, tasks int, want map[int]rgmodel.Reason) {
	t.Helper()
	got := map[int]rgmodel.Reason{}
	for idx, out := range verdicts(sta, "job", tasks) {
		if out.Reason == rgmodel.ReasonRecordLost {
			continue
		}
		got[idx] = out.Reason
		if (out.Verdict == rgmodel.NotRun) != (out.Reason != "") {
			t.Errorf("task %d: verdict %s with reason %q", idx, out.Verdict, out.Reason)
		}
	}
	if !maps.Equal(got, want) {
		t.Errorf("reasons of final tasks: got %v, want %v", got, want)
	}
	if !checkSums(sta) {
		t.Errorf("counters of queued and running tasks are wrong: %d, %d", sta.Queued, sta.Running)
	}
}

// runAll starts and finishes tasks until nothing is queued, and returns the number of starts.
func runAll(sta *rgqueue.State, now time.Time) int {
	starts := 0
	for {
		stts := rgqueue.StartNext(sta, now).Starts
		if len(stts) == 0 {
			return starts
		}
		starts += len(stts)
		for _, stt := range stts {
			rgqueue.Finish(sta, stt, ok(stt), 100*time.Millisecond)
		}
	}
}

// TestRemoval guards against a removal of running tasks, of other submissions, or of more tasks than needed.
func TestRemoval(t *testing.T) {
	const late = 5 * time.Second
	tests := map[string]struct {
		remove      func(sta *rgqueue.State) []rgmodel.SubmissionID
		wantQueued  int
		wantRunning int
		// want counts the final tasks of the submission by reason.
		want map[rgmodel.Reason]int
	}{
		"cancel removes the queued tasks of the submission": {
			remove: func(sta *rgqueue.State) []rgmodel.SubmissionID {
				rgqueue.Cancel(sta, []rgmodel.SubmissionID{"job"}, epoch)
				return []rgmodel.SubmissionID{"job"}
			},
			wantQueued: 10, wantRunning: 2, want: map[rgmodel.Reason]int{rgmodel.ReasonCancelled: 8},
		},
		"expiry before the deadline removes nothing": {
			remove:     func(sta *rgqueue.State) []rgmodel.SubmissionID { return rgqueue.ExpireQueued(sta, epoch.Add(late-1)) },
			wantQueued: 18, wantRunning: 2, want: map[rgmodel.Reason]int{},
		},
		"expiry removes the queued tasks past their deadline": {
			remove:     func(sta *rgqueue.State) []rgmodel.SubmissionID { return rgqueue.ExpireQueued(sta, epoch.Add(late)) },
			wantQueued: 10, wantRunning: 2, want: map[rgmodel.Reason]int{rgmodel.ReasonExpired: 8},
		},
		"a start drops tasks past their deadline and goes on with the others": {
			remove: func(sta *rgqueue.State) []rgmodel.SubmissionID {
				sta.Self.Capacity.Slots = 20
				return rgqueue.StartNext(sta, epoch.Add(late)).Expired
			},
			wantQueued: 0, wantRunning: 12, want: map[rgmodel.Reason]int{rgmodel.ReasonExpired: 8},
		},
		"drain keeps what finishes within the bound": {
			// Each flow has one slot and 200 ms a task: in 1.1 s, four tasks that wait have time to finish.
			remove:     func(sta *rgqueue.State) []rgmodel.SubmissionID { return rgqueue.Drain(sta, 1100*time.Millisecond) },
			wantQueued: 8, wantRunning: 2, want: map[rgmodel.Reason]int{rgmodel.ReasonDraining: 4},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := ready(2)
			bat := batch("job", "k", 10)
			bat.Remaining.Duration = late
			rgqueue.Accept(sta, bat, epoch)
			rgqueue.StartNext(sta, epoch)
			rgqueue.Accept(sta, batch("other", "l", 10), epoch)
			ids := tc.remove(sta)
			if len(tc.want) > 0 && !slices.Contains(ids, "job") {
				t.Errorf("removed submissions are %v, want job among them", ids)
			}
			got := map[rgmodel.Reason]int{}
			for _, out := range verdicts(sta, "job", 10) {
				got[out.Reason]++
				if out.Verdict != rgmodel.NotRun {
					t.Errorf("task %d has verdict %s, want notRun", out.Index, out.Verdict)
				}
			}
			if !maps.Equal(got, tc.want) {
				t.Errorf("final tasks by reason: got %v, want %v", got, tc.want)
			}
			if sta.Queued != tc.wantQueued || sta.Running != tc.wantRunning || !checkSums(sta) {
				t.Errorf("%d queued, %d running, want %d and %d, or sums are wrong", sta.Queued, sta.Running, tc.wantQueued, tc.wantRunning)
			}
		})
	}
}

// TestDrain guards against a drain that takes new work or leaves accepted work undone.
func TestDrain(t *testing.T) {
	sta := ready(2)
	rgqueue.Accept(sta, batch("job", "k", 4), epoch)
	first := rgqueue.StartNext(sta, epoch).Starts
	rgqueue.Drain(sta, time.Minute)
	rgqueue.Accept(sta, batch("new", "k", 1), epoch)
	if out := verdicts(sta, "new", 1)[0]; out.Verdict != rgmodel.NotRun || out.Reason != rgmodel.ReasonDraining {
		t.Errorf("batch during the drain: %s, %q", out.Verdict, out.Reason)
	}
	for _, stt := range first {
		rgqueue.Finish(sta, stt, ok(stt), time.Millisecond)
	}
	runAll(sta, epoch)
	for idx, out := range verdicts(sta, "job", 4) {
		if out.Verdict != rgmodel.RanOK {
			t.Errorf("task %d accepted before the drain: %s", idx, out.Verdict)
		}
	}
	if len(verdicts(sta, "job", 4)) != 4 || !rgqueue.Report(sta).Draining {
		t.Error("the drain left tasks undone or is not reported")
	}
}
