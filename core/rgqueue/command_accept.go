package rgqueue

import (
	"container/heap"
	"time"

	"ragwortgap/core/rgmodel"
)

// Accept records every task of the batch that is not yet in a record, either as queued or as refused.
// A batch is accepted or refused as a whole. Tasks that already have a record keep it: a batch that arrives
// twice starts nothing twice, and a refused task stays refused when a copy of its batch arrives later.
// The only batches that leave no record are those with a generation below the fence or another digest.
func Accept(sta *State, bat rgmodel.Batch, now time.Time) rgmodel.Reason {
	if bat.Generation < sta.Fence {
		return rgmodel.ReasonStaleGeneration
	}
	rec := sta.Records[bat.ID]
	if rec != nil && rec.Digest != bat.Digest {
		return rgmodel.ReasonDigestMismatch
	}
	if rec == nil {
		rec = addRecord(sta, bat)
	}
	rec.Expires = later(rec.Expires, now.Add(rgmodel.RecordWindow+bat.Remaining.Duration))
	fresh := unrecorded(rec, bat.Tasks)
	if len(fresh) == 0 {
		return ""
	}
	if rsn := refusal(sta, bat, len(fresh), now); rsn != "" {
		for _, tsk := range fresh {
			rec.Tasks[tsk.Index] = &Task{
				State:   rgmodel.TaskFinal,
				Outcome: rgmodel.Outcome{Index: tsk.Index, Verdict: rgmodel.NotRun, Reason: rsn},
			}
		}
		return ""
	}
	enqueue(sta, rec, bat, fresh, now)
	return ""
}

func addRecord(sta *State, bat rgmodel.Batch) *Record {
	if sta.Records == nil {
		sta.Records = map[rgmodel.SubmissionID]*Record{}
	}
	rec := &Record{Digest: bat.Digest, Flow: bat.Flow, Tasks: map[int]*Task{}}
	sta.Records[bat.ID] = rec
	return rec
}

func unrecorded(rec *Record, tasks []rgmodel.Task) []rgmodel.Task {
	var fresh []rgmodel.Task
	for _, tsk := range tasks {
		if rec.Tasks[tsk.Index] == nil {
			fresh = append(fresh, tsk)
		}
	}
	return fresh
}

func enqueue(sta *State, rec *Record, bat rgmodel.Batch, tasks []rgmodel.Task, now time.Time) {
	flo := openFlow(sta, bat.Flow)
	if len(flo.Waiting) == 0 {
		// A flow that had nothing to wait for gets no credit. One that has work keeps its position, even when a
		// corrected charge puts it behind the virtual time: otherwise it would lose what was charged in excess.
		flo.FinishTag = max(flo.FinishTag, sta.VirtualTime)
	}
	for _, tsk := range tasks {
		sta.Arrivals++
		heap.Push((*waitingHeap)(&flo.Waiting), QueuedTask{
			ID:       bat.ID,
			Task:     tsk,
			Urgency:  bat.Urgency,
			Deadline: now.Add(bat.Remaining.Duration),
			Arrival:  sta.Arrivals,
			RunTime:  bat.RunTime.Duration,
		})
		rec.Tasks[tsk.Index] = &Task{Outcome: rgmodel.Outcome{Index: tsk.Index}}
	}
	sta.Queued += len(tasks)
	rec.Pending += len(tasks)
}

func openFlow(sta *State, key rgmodel.Flow) *Flow {
	flo := sta.Flows[key]
	if flo != nil {
		return flo
	}
	if sta.Flows == nil {
		sta.Flows = map[rgmodel.Flow]*Flow{}
	}
	flo = &Flow{Weight: max(1, sta.Weights[key])}
	sta.Flows[key] = flo
	return flo
}

func later(fst, snd time.Time) time.Time {
	if snd.After(fst) {
		return snd
	}
	return fst
}
