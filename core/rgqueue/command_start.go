package rgqueue

import (
	"container/heap"
	"math"
	"time"

	"ragwortgap/core/rgmodel"
)

// StartNext starts queued tasks in the free slots and drops the tasks past their deadline that it finds on the way.
func StartNext(sta *State, now time.Time) StartResult {
	var res StartResult
	decayUsage(sta, now)
	for sta.Running < sta.Self.Capacity.Slots && sta.Queued > 0 {
		throttled := throttledFlows(sta)
		for key := range throttled {
			// A throttled flow gets no credit for the slots that it may not take.
			sta.Flows[key].FinishTag = max(sta.Flows[key].FinishTag, sta.VirtualTime)
		}
		key, ok := nextFlow(sta, throttled)
		if !ok {
			break
		}
		qt := heap.Pop((*taskHeap)(&sta.Flows[key].Queue)).(QueuedTask)
		sta.Queued--
		if !now.Before(qt.Deadline) {
			finalize(sta, qt.ID, rgmodel.Outcome{Index: qt.Task.Index, Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonExpired})
			res.Expired = append(res.Expired, qt.ID)
			continue
		}
		res.Started = append(res.Started, start(sta, key, qt))
	}
	return res
}

func start(sta *State, key rgmodel.Flow, qt QueuedTask) StartedTask {
	flo := sta.Flows[key]
	cost := serviceTime(sta, key.Kind, qt.RunTime)
	sta.VirtualTime = max(sta.VirtualTime, flo.FinishTag)
	flo.FinishTag += float64(cost) / float64(flo.Weight)
	flo.Running++
	sta.Running++
	sta.Records[qt.ID].Tasks[qt.Task.Index].State = rgmodel.TaskRunning
	return StartedTask{ID: qt.ID, Flow: key, Task: qt.Task, Deadline: qt.Deadline, Cost: cost}
}

// decayUsage applies the exponential decay to the usage of all flows.
func decayUsage(sta *State, now time.Time) {
	dur := now.Sub(sta.UsageUpdatedAt)
	if dur <= 0 {
		return
	}
	sta.UsageUpdatedAt = now
	for _, flo := range sta.Flows {
		flo.Usage *= math.Exp(-dur.Seconds() / usageTimeConstant.Seconds())
	}
}

// Finish records the outcome of a started task and frees its slot.
// The flow is charged or refunded the difference between the actual service time and the expected one.
func Finish(sta *State, stt StartedTask, out rgmodel.Outcome, took time.Duration) {
	flo := sta.Flows[stt.Flow]
	flo.Running--
	flo.Usage += took.Seconds() / usageTimeConstant.Seconds()
	flo.FinishTag += float64(took-stt.Cost) / float64(flo.Weight)
	sta.Running--
	switch {
	case out.Verdict == rgmodel.RanOK:
		sta.Succeeded++
		updateServiceTime(sta, stt.Flow.Kind, took)
	case out.Reason != rgmodel.ReasonCancelled && out.Reason != rgmodel.ReasonUpstreamRefused:
		// Cancelled tasks and tasks that the upstream rejects as invalid do not count as failures of the upstream.
		// Otherwise many cancellations or the invalid payloads of one team would eject it.
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
		sta.FinalizedCount++
		rec.LastFinalized = sta.FinalizedCount
		sta.Finalized = append(sta.Finalized, FinalizedSubmission{ID: id, Sequence: rec.LastFinalized})
	}
	trimResults(sta)
}

// updateServiceTime is called for successful tasks only, because an upstream that fails fast must not look fast.
func updateServiceTime(sta *State, kind string, took time.Duration) {
	if sta.ServiceTimes == nil {
		sta.ServiceTimes = map[string]time.Duration{}
	}
	old, ok := sta.ServiceTimes[kind]
	if !ok {
		sta.ServiceTimes[kind] = took
		return
	}
	sta.ServiceTimes[kind] = old + time.Duration(smoothingFactor*float64(took-old))
}
