package rgqueue

import (
	"container/heap"
	"maps"
	"sort"
	"time"

	"ragwortgap/core/rgmodel"
)

// Cancel removes the queued tasks of the submissions, with the verdict that they were not run. Batches of the submissions
// that arrive after the cancellation are refused. Running tasks are left alone: the caller cancels their upstream
// requests.
func Cancel(sta *State, ids []rgmodel.SubmissionID, now time.Time) {
	if sta.Cancelled == nil {
		sta.Cancelled = map[rgmodel.SubmissionID]time.Time{}
	}
	drop := make(map[rgmodel.SubmissionID]bool, len(ids))
	for _, id := range ids {
		drop[id] = true
		sta.Cancelled[id] = now.Add(cancellationTTL)
	}
	removeQueued(sta, rgmodel.ReasonCancelled, func(qt QueuedTask) bool { return drop[qt.ID] })
}

// ExpireQueued drops the queued tasks past their deadline and returns their submissions.
func ExpireQueued(sta *State, now time.Time) []rgmodel.SubmissionID {
	if sta.Queued == 0 {
		return nil
	}
	return removeQueued(sta, rgmodel.ReasonExpired, func(qt QueuedTask) bool { return !now.Before(qt.Deadline) })
}

// ExpireRecords deletes expired records without pending tasks, expired cancellations, and inactive flows whose finish tag
// is not ahead of the virtual time.
func ExpireRecords(sta *State, now time.Time) {
	for id, rec := range sta.Records {
		if now.After(rec.Expires) && rec.Pending == 0 {
			sta.ResultBytes -= resultBytes(rec)
			delete(sta.Records, id)
		}
	}
	maps.DeleteFunc(sta.Cancelled, func(_ rgmodel.SubmissionID, until time.Time) bool { return now.After(until) })
	pruneFinalized(sta)
	if sta.Queued == 0 && sta.Running == 0 {
		// The end of a busy period clears all charges, so no flow is kept only because its finish tag is ahead.
		for _, flo := range sta.Flows {
			sta.VirtualTime = max(sta.VirtualTime, flo.FinishTag)
		}
	}
	for key, flo := range sta.Flows {
		if len(flo.Queue) == 0 && flo.Running == 0 && flo.FinishTag <= sta.VirtualTime && flo.Usage < minUsage {
			delete(sta.Flows, key)
		}
	}
}

// Drain makes the sidecar refuse new tasks and drops the queued tasks that would not finish within the timeout if all
// flows with queued tasks kept their shares. It returns the submissions of the dropped tasks.
func Drain(sta *State, timeout time.Duration) []rgmodel.SubmissionID {
	sta.Draining = true
	drop := map[uint64]bool{}
	for key, flo := range sta.Flows {
		// A sorted slice is also a heap.
		sort.Sort(taskHeap(flo.Queue))
		for i, qt := range flo.Queue {
			tim := serviceTime(sta, key.Kind, qt.RunTime)
			wait := time.Duration(float64(tim) * float64(i+1) / slotShare(sta, key))
			if wait+tim > timeout {
				drop[qt.Arrival] = true
			}
		}
	}
	return removeQueued(sta, rgmodel.ReasonDraining, func(qt QueuedTask) bool { return drop[qt.Arrival] })
}

func removeQueued(sta *State, rsn rgmodel.Reason, drop func(QueuedTask) bool) []rgmodel.SubmissionID {
	var ids []rgmodel.SubmissionID
	for _, flo := range sta.Flows {
		kept := flo.Queue[:0]
		for _, qt := range flo.Queue {
			if !drop(qt) {
				kept = append(kept, qt)
				continue
			}
			finalize(sta, qt.ID, rgmodel.Outcome{Index: qt.Task.Index, Verdict: rgmodel.NotRun, Reason: rsn})
			ids = append(ids, qt.ID)
			sta.Queued--
		}
		clear(flo.Queue[len(kept):])
		flo.Queue = kept
		heap.Init((*taskHeap)(&flo.Queue))
	}
	return ids
}
