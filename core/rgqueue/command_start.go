package rgqueue

import (
	"container/heap"
	"math"
	"time"

	"ragwortgap/core/rgmodel"
)

// StartNext fills the free slots and drops the tasks that it meets past their deadline.
func StartNext(sta *State, now time.Time) StartResult {
	var prg StartResult
	decayUsage(sta, now)
	for sta.Running < sta.Self.Capacity.Slots && sta.Queued > 0 {
		held := heldFlows(sta)
		for key := range held {
			// A flow gets no credit for slots that it may not take.
			sta.Flows[key].FinishTag = max(sta.Flows[key].FinishTag, sta.VirtualTime)
		}
		key, ok := nextFlow(sta, held)
		if !ok {
			break
		}
		que := heap.Pop((*waitingHeap)(&sta.Flows[key].Waiting)).(QueuedTask)
		sta.Queued--
		if !now.Before(que.Deadline) {
			finalize(sta, que.ID, rgmodel.Outcome{Index: que.Task.Index, Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonExpired})
			prg.Expired = append(prg.Expired, que.ID)
			continue
		}
		prg.Starts = append(prg.Starts, start(sta, key, que))
	}
	return prg
}

func start(sta *State, key rgmodel.Flow, que QueuedTask) Start {
	flo := sta.Flows[key]
	cost := serviceTime(sta, key.Kind, que.RunTime)
	sta.VirtualTime = max(sta.VirtualTime, flo.FinishTag)
	flo.FinishTag += float64(cost) / float64(flo.Weight)
	flo.Running++
	sta.Running++
	sta.Records[que.ID].Tasks[que.Task.Index].State = rgmodel.TaskRunning
	return Start{ID: que.ID, Flow: key, Task: que.Task, Deadline: que.Deadline, Cost: cost}
}

// decayUsage forgets what the flows have used in the past.
func decayUsage(sta *State, now time.Time) {
	dur := now.Sub(sta.UsageUpdatedAt)
	if dur <= 0 {
		return
	}
	sta.UsageUpdatedAt = now
	for _, flo := range sta.Flows {
		flo.Usage *= math.Exp(-dur.Seconds() / usageTime.Seconds())
	}
}

// Finish records the outcome of a started task and frees its slot.
// The flow is charged the difference between the service time that was assumed at the start and took.
func Finish(sta *State, stt Start, out rgmodel.Outcome, took time.Duration) {
	flo := sta.Flows[stt.Flow]
	flo.Running--
	flo.Usage += took.Seconds() / usageTime.Seconds()
	flo.FinishTag += float64(took-stt.Cost) / float64(flo.Weight)
	sta.Running--
	switch {
	case out.Verdict == rgmodel.RanOK:
		sta.Succeeded++
		learn(sta, stt.Flow.Kind, took)
	case out.Reason != rgmodel.ReasonCancelled && out.Reason != rgmodel.ReasonUpstreamRefused:
		// Tasks that were cancelled, or that the upstream finds wrong, are not its failures: a wave of cancellations
		// or one team's bad payloads must not eject it.
		sta.Failed++
	}
	finalize(sta, stt.ID, out)
}

func finalize(sta *State, id rgmodel.SubmissionID, out rgmodel.Outcome) {
	rec := sta.Records[id]
	tsk := rec.Tasks[out.Index]
	tsk.State = rgmodel.TaskFinal
	tsk.Outcome = out
	rec.Pending--
	sta.ResultBytes += len(out.Result)
	if rec.Pending == 0 && resultBytes(rec) > 0 {
		sta.CompletionCount++
		rec.LastCompletion = sta.CompletionCount
		sta.Completions = append(sta.Completions, Completion{ID: id, Sequence: rec.LastCompletion})
	}
	trimResults(sta)
}

// learn uses successes only: an upstream that fails fast must not look fast.
func learn(sta *State, kind string, took time.Duration) {
	if sta.ServiceTimes == nil {
		sta.ServiceTimes = map[string]time.Duration{}
	}
	old, ok := sta.ServiceTimes[kind]
	if !ok {
		sta.ServiceTimes[kind] = took
		return
	}
	sta.ServiceTimes[kind] = old + time.Duration(learnRate*float64(took-old))
}
