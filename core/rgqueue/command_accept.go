package rgqueue

import (
	"container/heap"
	"time"

	"ragwortgap/core/rgmodel"
)

// Accept records every task of the batch that has no record yet, either as queued or as refused.
// The new tasks of a batch are accepted or refused together. Tasks that already have a record keep it: a duplicate batch
// starts no task twice, and a refused task stays refused when a duplicate of its batch arrives later.
// Only batches with a generation below MinGeneration or with a different digest leave no record. Accept returns the
// reason why a batch leaves none.
func Accept(sta *State, bat rgmodel.Batch, now time.Time) rgmodel.Reason {
	if bat.Generation < sta.MinGeneration {
		return rgmodel.ReasonStaleGeneration
	}
	rec := sta.Records[bat.ID]
	if rec != nil && rec.Digest != bat.Digest {
		return rgmodel.ReasonDigestMismatch
	}
	if rec == nil {
		rec = addRecord(sta, bat)
	}
	rec.Expires = later(rec.Expires, now.Add(rgmodel.RecordRetention+bat.Remaining.Duration))
	added := unrecorded(rec, bat.Tasks)
	if len(added) == 0 {
		return ""
	}
	if rsn := refusalReason(sta, bat, len(added), now); rsn != "" {
		for _, tsk := range added {
			rec.Tasks[tsk.Index] = &TaskStatus{
				State:   rgmodel.TaskFinal,
				Outcome: rgmodel.Outcome{Index: tsk.Index, Verdict: rgmodel.NotRun, Reason: rsn},
			}
		}
		return ""
	}
	enqueue(sta, rec, bat, added, now)
	return ""
}

func addRecord(sta *State, bat rgmodel.Batch) *SubmissionRecord {
	if sta.Records == nil {
		sta.Records = map[rgmodel.SubmissionID]*SubmissionRecord{}
	}
	rec := &SubmissionRecord{Digest: bat.Digest, Flow: bat.Flow, Tasks: map[int]*TaskStatus{}}
	sta.Records[bat.ID] = rec
	return rec
}

func unrecorded(rec *SubmissionRecord, tasks []rgmodel.Task) []rgmodel.Task {
	var added []rgmodel.Task
	for _, tsk := range tasks {
		if rec.Tasks[tsk.Index] == nil {
			added = append(added, tsk)
		}
	}
	return added
}

func enqueue(sta *State, rec *SubmissionRecord, bat rgmodel.Batch, tasks []rgmodel.Task, now time.Time) {
	flo := ensureFlow(sta, bat.Flow)
	if len(flo.Queue) == 0 {
		// A flow without queued tasks gets no credit for the past. A flow with queued tasks keeps its finish tag, even
		// when the correction in Finish has moved it behind the virtual time: otherwise the flow would lose the refund.
		flo.FinishTag = max(flo.FinishTag, sta.VirtualTime)
	}
	for _, tsk := range tasks {
		sta.Arrivals++
		heap.Push((*taskHeap)(&flo.Queue), QueuedTask{
			ID:       bat.ID,
			Task:     tsk,
			Urgency:  bat.Urgency,
			Deadline: now.Add(bat.Remaining.Duration),
			Arrival:  sta.Arrivals,
			RunTime:  bat.RunTime.Duration,
		})
		rec.Tasks[tsk.Index] = &TaskStatus{Outcome: rgmodel.Outcome{Index: tsk.Index}}
	}
	sta.Queued += len(tasks)
	rec.Pending += len(tasks)
}

func ensureFlow(sta *State, key rgmodel.Flow) *FlowState {
	flo := sta.Flows[key]
	if flo != nil {
		return flo
	}
	if sta.Flows == nil {
		sta.Flows = map[rgmodel.Flow]*FlowState{}
	}
	flo = &FlowState{Weight: max(1, sta.Weights[key])}
	sta.Flows[key] = flo
	return flo
}

func later(fst, snd time.Time) time.Time {
	if snd.After(fst) {
		return snd
	}
	return fst
}
