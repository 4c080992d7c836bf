package rgsidecar

import (
	"context"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

// acceptBatch accepts or refuses a batch. It first parks a batch for up to maxContactWait if an entry of the ring has not
// been in contact yet, because a new entry has to be dialed after each change of the ring.
func (pro *Process) acceptBatch(sta *State, evt BatchArrived, now time.Time) {
	if evt.Arrived.IsZero() {
		evt.Arrived = now
		pro.scope.Counter("batches").Inc(1)
	}
	if !rgqueue.InContact(&sta.Queue, now) && now.Sub(evt.Arrived) < maxContactWait {
		sta.Parked = append(sta.Parked, evt)
		return
	}
	bat := evt.Batch
	bat.Remaining.Duration -= now.Sub(evt.Arrived)
	if rsn := rgqueue.Accept(&sta.Queue, bat, now); rsn != "" {
		pro.scope.Tagged(map[string]string{"reason": string(rsn)}).Counter("batchesRefused").Inc(1)
		evt.Reply <- rgwire.BatchReply{Refused: rsn}
		return
	}
	idxs := make([]int, len(evt.Batch.Tasks))
	for i, tsk := range evt.Batch.Tasks {
		idxs[i] = tsk.Index
	}
	sta.ChangedSinceReport = true
	pro.replyWhenFinal(sta, evt.Batch.ID, Waiter{Indexes: idxs, Reply: evt.Reply})
}

// unpark decides again on the batches that wait for contact with an entry of the ring.
func (pro *Process) unpark(sta *State, now time.Time) {
	evts := sta.Parked
	sta.Parked = nil
	for _, evt := range evts {
		pro.acceptBatch(sta, evt, now)
	}
}

// replyWhenFinal replies to the waiter if its tasks are final, and otherwise keeps it until they are.
func (pro *Process) replyWhenFinal(sta *State, id rgmodel.SubmissionID, wtr Waiter) {
	if outs, final := rgqueue.Outcomes(&sta.Queue, id, wtr.Indexes); final {
		wtr.Reply <- rgwire.BatchReply{Outcomes: outs}
		return
	}
	sta.Waiters[id] = append(sta.Waiters[id], wtr)
}

// replyToWaiters checks the waiters of submissions whose tasks may have become final.
func (pro *Process) replyToWaiters(sta *State, ids []rgmodel.SubmissionID) {
	for _, id := range ids {
		wtrs := sta.Waiters[id]
		delete(sta.Waiters, id)
		for _, wtr := range wtrs {
			pro.replyWhenFinal(sta, id, wtr)
		}
	}
}

func (pro *Process) cancelSubmissions(sta *State, ids []rgmodel.SubmissionID) {
	rgqueue.Cancel(&sta.Queue, ids, time.Now())
	for key, stop := range sta.Running {
		for _, id := range ids {
			if key.ID == id {
				stop()
			}
		}
	}
	sta.ChangedSinceReport = true
	pro.replyToWaiters(sta, ids)
}

func (pro *Process) finishTask(sta *State, evt TaskFinished) {
	key := TaskID{ID: evt.Task.ID, Index: evt.Task.Task.Index}
	if stop := sta.Running[key]; stop != nil {
		stop()
	}
	delete(sta.Running, key)
	rgqueue.Finish(&sta.Queue, evt.Task, evt.Outcome, evt.Took)
	pro.scope.Tagged(map[string]string{"verdict": evt.Outcome.Verdict.String()}).Counter("tasks").Inc(1)
	pro.scope.Timer("taskTime").Record(evt.Took)
	sta.ChangedSinceReport = true
	pro.replyToWaiters(sta, []rgmodel.SubmissionID{evt.Task.ID})
}

// startNext starts queued tasks in free slots.
func (pro *Process) startNext(workCtx context.Context, sta *State) {
	res := rgqueue.StartNext(&sta.Queue, time.Now())
	pro.replyToWaiters(sta, res.Expired)
	for _, stt := range res.Started {
		ctx, stop := context.WithDeadline(workCtx, stt.Deadline)
		sta.Running[TaskID{ID: stt.ID, Index: stt.Task.Index}] = stop
		pro.taskRunners.Go(func() { pro.runTask(ctx, workCtx, stt) })
	}
}
