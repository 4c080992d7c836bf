package rgqueue

import (
	"container/heap"
	"maps"
	"sort"
	"time"

	"ragwortgap/core/rgmodel"
)

// Cancel removes the queued tasks of the submissions, with the verdict that they were not run. A batch that the
// cancellation has overtaken on its way is refused. Running tasks are not touched: their upstream request is for the
// caller to stop.
func Cancel(sta *State, ids []rgmodel.SubmissionID, now time.Time) {
	if sta.Cancelled == nil {
		sta.Cancelled = map[rgmodel.SubmissionID]time.Time{}
	}
	drop := make(map[rgmodel.SubmissionID]bool, len(ids))
	for _, id := range ids {
		drop[id] = true
		sta.Cancelled[id] = now.Add(cancelMemory)
	}
	removeQueued(sta, rgmodel.ReasonCancelled, func(que QueuedTask) bool { return drop[que.ID] })
}

// ExpireQueued drops queued tasks past their deadline and returns their submissions.
func ExpireQueued(sta *State, now time.Time) []rgmodel.SubmissionID {
	if sta.Queued == 0 {
		return nil
	}
	return removeQueued(sta, rgmodel.ReasonExpired, func(que QueuedTask) bool { return !now.Before(que.Deadline) })
}

// ExpireRecords forgets settled records past their window, and flows without work or debt.
func ExpireRecords(sta *State, now time.Time) {
	for id, rec := range sta.Records {
		if now.After(rec.Expires) && rec.Pending == 0 {
			sta.ResultBytes -= resultBytes(rec)
			delete(sta.Records, id)
		}
	}
	maps.DeleteFunc(sta.Cancelled, func(_ rgmodel.SubmissionID, until time.Time) bool { return now.After(until) })
	forgetSettled(sta)
	if sta.Queued == 0 && sta.Running == 0 {
		// The end of a busy period settles all debts, so that no flow is kept for its debt alone.
		for _, flo := range sta.Flows {
			sta.VirtualTime = max(sta.VirtualTime, flo.FinishTag)
		}
	}
	for key, flo := range sta.Flows {
		if len(flo.Waiting) == 0 && flo.Running == 0 && flo.FinishTag <= sta.VirtualTime && flo.Usage < minUsage {
			delete(sta.Flows, key)
		}
	}
}

// Drain refuses all batches from now on and drops the queued tasks that would not finish within the bound if all
// flows with work keep their shares. It returns the submissions of the dropped tasks.
func Drain(sta *State, bound time.Duration) []rgmodel.SubmissionID {
	sta.Draining = true
	drop := map[uint64]bool{}
	for key, flo := range sta.Flows {
		// A sorted slice is also a heap.
		sort.Sort(waitingHeap(flo.Waiting))
		for i, que := range flo.Waiting {
			tim := serviceTime(sta, key.Kind, que.RunTime)
			wait := time.Duration(float64(tim) * float64(i+1) / slotShare(sta, key))
			if wait+tim > bound {
				drop[que.Arrival] = true
			}
		}
	}
	return removeQueued(sta, rgmodel.ReasonDraining, func(que QueuedTask) bool { return drop[que.Arrival] })
}

func removeQueued(sta *State, rsn rgmodel.Reason, drop func(QueuedTask) bool) []rgmodel.SubmissionID {
	var ids []rgmodel.SubmissionID
	for _, flo := range sta.Flows {
		kept := flo.Waiting[:0]
		for _, que := range flo.Waiting {
			if !drop(que) {
				kept = append(kept, que)
				continue
			}
			finalize(sta, que.ID, rgmodel.Outcome{Index: que.Task.Index, Verdict: rgmodel.NotRun, Reason: rsn})
			ids = append(ids, que.ID)
			sta.Queued--
		}
		clear(flo.Waiting[len(kept):])
		flo.Waiting = kept
		heap.Init((*waitingHeap)(&flo.Waiting))
	}
	return ids
}
