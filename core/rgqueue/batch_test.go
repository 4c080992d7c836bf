package rgqueue_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// batchTasks is the number of tasks of the batches in TestStartOnce.
const batchTasks = 3

type startOnceCase struct {
	slots int
	// notAcceptedBefore is set if the sidecar has not accepted the batch before.
	notAcceptedBefore bool
	// prepare changes the state of the sidecar after that.
	prepare func(sta *rgqueue.State)
	// changeBatch changes the batch that arrives next.
	changeBatch func(bat *rgmodel.Batch)
	wantReason  rgmodel.Reason
	// wantStarts is the number of tasks that start after the batch has arrived.
	wantStarts int
	// wantFinal holds the reasons of the final outcomes by task index.
	wantFinal map[int]rgmodel.Reason
}

var startOnceCases = map[string]startOnceCase{
	"a duplicate while the tasks are queued": {slots: 8, wantStarts: batchTasks, wantFinal: map[int]rgmodel.Reason{0: "", 1: "", 2: ""}},
	"a duplicate while the tasks run or wait": {
		slots: 2, prepare: func(sta *rgqueue.State) { rgqueue.StartNext(sta, epoch) },
		wantStarts: 1, wantFinal: map[int]rgmodel.Reason{2: ""},
	},
	"a duplicate after the tasks have run": {
		slots: 8, prepare: func(sta *rgqueue.State) { runAll(sta, epoch) },
		wantFinal: map[int]rgmodel.Reason{0: "", 1: "", 2: ""},
	},
	"a duplicate after the tasks have run and a seal": {
		slots: 8,
		prepare: func(sta *rgqueue.State) {
			runAll(sta, epoch)
			rgqueue.Seal(sta, rgmodel.Ring{Generation: 2}, rgmodel.Entry{})
		},
		changeBatch: func(bat *rgmodel.Batch) { bat.Generation = 2 },
		wantFinal:   map[int]rgmodel.Reason{0: "", 1: "", 2: ""},
	},
	"a duplicate after a cancellation": {
		slots: 8, prepare: func(sta *rgqueue.State) { rgqueue.Cancel(sta, []rgmodel.SubmissionID{"job"}, epoch) },
		wantFinal: map[int]rgmodel.Reason{0: rgmodel.ReasonCancelled, 1: rgmodel.ReasonCancelled, 2: rgmodel.ReasonCancelled},
	},
	"a duplicate after the deadline": {
		slots: 8, prepare: func(sta *rgqueue.State) { rgqueue.ExpireQueued(sta, epoch.Add(time.Minute)) },
		wantFinal: map[int]rgmodel.Reason{0: rgmodel.ReasonExpired, 1: rgmodel.ReasonExpired, 2: rgmodel.ReasonExpired},
	},
	"a duplicate after a refusal for a full queue": {
		slots: 8, notAcceptedBefore: true,
		prepare: func(sta *rgqueue.State) {
			sta.MaxQueued = batchTasks - 1
			rgqueue.Accept(sta, batch("job", "k", batchTasks), epoch)
			sta.MaxQueued = 0
		},
		wantFinal: map[int]rgmodel.Reason{0: rgmodel.ReasonQueueFull, 1: rgmodel.ReasonQueueFull, 2: rgmodel.ReasonQueueFull},
	},
	"a duplicate after a refusal before the sidecar was ready": {
		slots: 8, notAcceptedBefore: true,
		prepare: func(sta *rgqueue.State) {
			known := sta.Contacts
			sta.Contacts = nil
			rgqueue.Accept(sta, batch("job", "k", batchTasks), epoch)
			sta.Contacts = known
		},
		wantFinal: map[int]rgmodel.Reason{0: rgmodel.ReasonNotReady, 1: rgmodel.ReasonNotReady, 2: rgmodel.ReasonNotReady},
	},
	"a batch that arrives after its cancellation": {
		slots: 8, notAcceptedBefore: true,
		prepare:   func(sta *rgqueue.State) { rgqueue.Cancel(sta, []rgmodel.SubmissionID{"job"}, epoch) },
		wantFinal: map[int]rgmodel.Reason{0: rgmodel.ReasonCancelled, 1: rgmodel.ReasonCancelled, 2: rgmodel.ReasonCancelled},
	},
	"a batch without remaining time": {
		slots: 8, notAcceptedBefore: true, changeBatch: func(bat *rgmodel.Batch) { bat.Remaining.Duration = 0 },
		wantFinal: map[int]rgmodel.Reason{0: rgmodel.ReasonExpired, 1: rgmodel.ReasonExpired, 2: rgmodel.ReasonExpired},
	},
	"a batch of an older generation": {
		slots: 8, notAcceptedBefore: true,
		prepare:    func(sta *rgqueue.State) { rgqueue.Seal(sta, rgmodel.Ring{Generation: 2}, rgmodel.Entry{}) },
		wantReason: rgmodel.ReasonStaleGeneration, wantFinal: map[int]rgmodel.Reason{},
	},
	"the same id with another digest": {
		slots: 8, changeBatch: func(bat *rgmodel.Batch) { bat.Digest++ },
		wantReason: rgmodel.ReasonDigestMismatch, wantStarts: batchTasks, wantFinal: map[int]rgmodel.Reason{0: "", 1: "", 2: ""},
	},
}

// TestStartOnce guards against a task that starts twice or after it was refused, and against wrong "not run" verdicts, when a batch
// arrives again, arrives after its cancellation, or is invalid.
func TestStartOnce(t *testing.T) {
	for name, tc := range startOnceCases {
		t.Run(name, func(t *testing.T) {
			sta := newReadyState(tc.slots)
			if !tc.notAcceptedBefore {
				rgqueue.Accept(sta, batch("job", "k", batchTasks), epoch)
			}
			if tc.prepare != nil {
				tc.prepare(sta)
			}
			bat := batch("job", "k", batchTasks)
			if tc.changeBatch != nil {
				tc.changeBatch(&bat)
			}
			if got := rgqueue.Accept(sta, bat, epoch); got != tc.wantReason {
				t.Errorf("batch refused as %q, want %q", got, tc.wantReason)
			}
			// Tasks that were running before this batch arrived keep their slots. The capacity is increased by their number, so that
			// all queued tasks can start.
			running := sta.Running
			sta.Self.Capacity.Slots += running
			if got := runAll(sta, epoch); got != tc.wantStarts {
				t.Errorf("%d tasks started after the last batch, want %d", got, tc.wantStarts)
			}
			checkOutcomes(t, sta, batchTasks, tc.wantFinal)
		})
	}
}

func checkOutcomes(t *testing.T, sta *rgqueue.State, tasks int, want map[int]rgmodel.Reason) {
	t.Helper()
	got := map[int]rgmodel.Reason{}
	for idx, out := range finalOutcomes(sta, "job", tasks) {
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
	if !countersMatch(sta) {
		t.Errorf("%d queued and %d running tasks are counted, which does not match the records and the flows", sta.Queued, sta.Running)
	}
}

// runAll starts and finishes tasks until none can start, and returns the number of starts.
func runAll(sta *rgqueue.State, now time.Time) int {
	starts := 0
	for {
		stts := rgqueue.StartNext(sta, now).Started
		if len(stts) == 0 {
			return starts
		}
		starts += len(stts)
		for _, stt := range stts {
			rgqueue.Finish(sta, stt, succeeded(stt), 100*time.Millisecond)
		}
	}
}

// TestRemoval guards against a cancellation, expiry or drain that removes running tasks, tasks of other submissions, or the wrong
// number of queued tasks.
func TestRemoval(t *testing.T) {
	const remaining = 5 * time.Second
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
			remove: func(sta *rgqueue.State) []rgmodel.SubmissionID {
				return rgqueue.ExpireQueued(sta, epoch.Add(remaining-1))
			},
			wantQueued: 18, wantRunning: 2, want: map[rgmodel.Reason]int{},
		},
		"expiry removes the queued tasks past their deadline": {
			remove: func(sta *rgqueue.State) []rgmodel.SubmissionID {
				return rgqueue.ExpireQueued(sta, epoch.Add(remaining))
			},
			wantQueued: 10, wantRunning: 2, want: map[rgmodel.Reason]int{rgmodel.ReasonExpired: 8},
		},
		"a start drops tasks past their deadline and starts the others": {
			remove: func(sta *rgqueue.State) []rgmodel.SubmissionID {
				sta.Self.Capacity.Slots = 20
				return rgqueue.StartNext(sta, epoch.Add(remaining)).Expired
			},
			wantQueued: 0, wantRunning: 12, want: map[rgmodel.Reason]int{rgmodel.ReasonExpired: 8},
		},
		"drain keeps the tasks that finish within the timeout": {
			// Each flow has one slot and 200 ms per task, so four queued tasks finish within 1.1 s.
			remove:     func(sta *rgqueue.State) []rgmodel.SubmissionID { return rgqueue.Drain(sta, 1100*time.Millisecond) },
			wantQueued: 8, wantRunning: 2, want: map[rgmodel.Reason]int{rgmodel.ReasonDraining: 4},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := newReadyState(2)
			bat := batch("job", "k", 10)
			bat.Remaining.Duration = remaining
			rgqueue.Accept(sta, bat, epoch)
			rgqueue.StartNext(sta, epoch)
			rgqueue.Accept(sta, batch("other", "l", 10), epoch)
			ids := tc.remove(sta)
			if len(tc.want) > 0 && !slices.Contains(ids, "job") {
				t.Errorf("removed submissions are %v, want job among them", ids)
			}
			got := map[rgmodel.Reason]int{}
			for _, out := range finalOutcomes(sta, "job", 10) {
				got[out.Reason]++
				if out.Verdict != rgmodel.NotRun {
					t.Errorf("task %d has verdict %s, want notRun", out.Index, out.Verdict)
				}
			}
			if !maps.Equal(got, tc.want) {
				t.Errorf("final tasks by reason: got %v, want %v", got, tc.want)
			}
			if sta.Queued != tc.wantQueued || sta.Running != tc.wantRunning || !countersMatch(sta) {
				t.Errorf("%d queued, %d running, want %d and %d, or sums are wrong", sta.Queued, sta.Running, tc.wantQueued, tc.wantRunning)
			}
		})
	}
}

// TestDrain guards against a draining sidecar that accepts new tasks or does not run the accepted ones.
func TestDrain(t *testing.T) {
	sta := newReadyState(2)
	rgqueue.Accept(sta, batch("job", "k", 4), epoch)
	startedBefore := rgqueue.StartNext(sta, epoch).Started
	rgqueue.Drain(sta, time.Minute)
	rgqueue.Accept(sta, batch("new", "k", 1), epoch)
	if out := finalOutcomes(sta, "new", 1)[0]; out.Verdict != rgmodel.NotRun || out.Reason != rgmodel.ReasonDraining {
		t.Errorf("batch during the drain has verdict %s and reason %q, want notRun and draining", out.Verdict, out.Reason)
	}
	for _, stt := range startedBefore {
		rgqueue.Finish(sta, stt, succeeded(stt), time.Millisecond)
	}
	runAll(sta, epoch)
	for idx, out := range finalOutcomes(sta, "job", 4) {
		if out.Verdict != rgmodel.RanOK {
			t.Errorf("task %d, accepted before the drain, has verdict %s, want ranOK", idx, out.Verdict)
		}
	}
	if len(finalOutcomes(sta, "job", 4)) != 4 || !rgqueue.NewReport(sta).Draining {
		t.Error("accepted tasks have no final outcome, or the report does not show the drain")
	}
}
