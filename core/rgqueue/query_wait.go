package rgqueue

import (
	"math"
	"time"

	"ragwortgap/core/rgmodel"
)

// ExpectedWait estimates how long a new task of the flow waits for a slot, on the assumption that all flows with queued
// tasks stay backlogged.
func ExpectedWait(sta *State, key rgmodel.Flow) time.Duration {
	slots := sta.Self.Capacity.Slots
	if slots == 0 {
		return math.MaxInt64
	}
	if sta.Queued == 0 && sta.Running < slots {
		return 0
	}
	work := time.Duration(0)
	if flo := sta.Flows[key]; flo != nil {
		work = queuedWork(sta, key, flo)
	}
	// The residual service time of a running task is half a service time on average.
	residual := float64(serviceTime(sta, key.Kind, 0)) / 2 / float64(slots)
	return time.Duration(float64(work)/slotShare(sta, key) + residual)
}

// Outcomes returns the outcomes of the tasks and whether all of them are final.
// A task without a record gets ReasonRecordLost, because it may have run before its record expired.
func Outcomes(sta *State, id rgmodel.SubmissionID, indexes []int) ([]rgmodel.Outcome, bool) {
	rec := sta.Records[id]
	outs := make([]rgmodel.Outcome, 0, len(indexes))
	for _, idx := range indexes {
		if rec == nil || rec.Tasks[idx] == nil {
			outs = append(outs, rgmodel.Outcome{Index: idx, Reason: rgmodel.ReasonRecordLost})
			continue
		}
		tsk := rec.Tasks[idx]
		if tsk.State != rgmodel.TaskFinal {
			return nil, false
		}
		outs = append(outs, tsk.Outcome)
	}
	return outs, true
}

// refusalReason returns the reason to refuse the batch, or an empty one to accept it.
func refusalReason(sta *State, bat rgmodel.Batch, tasks int, now time.Time) rgmodel.Reason {
	limit := sta.MaxQueued
	if limit == 0 {
		limit = DefaultMaxQueued
	}
	switch {
	case !InContact(sta, now):
		return rgmodel.ReasonNotReady
	case now.Before(sta.Cancelled[bat.ID]):
		return rgmodel.ReasonCancelled
	case sta.Draining:
		return rgmodel.ReasonDraining
	case bat.Remaining.Duration <= 0:
		return rgmodel.ReasonExpired
	case sta.Queued+tasks > limit:
		return rgmodel.ReasonQueueFull
	case ExpectedWait(sta, bat.Flow) > bat.Remaining.Duration:
		return rgmodel.ReasonQueueFull
	default:
		return ""
	}
}

// InContact reports whether every entry of the ring has replied to this sidecar within IsolationLimit. If so, each of them
// can tell a new entry about the sidecar, and none has declared it lost. An entry that has ended does not count as in
// contact: it may have told another entry about this sidecar, and that entry may have declared the sidecar lost since.
func InContact(sta *State, now time.Time) bool {
	for _, ent := range sta.Ring.Entries {
		if now.Sub(sta.Contacts[ent.Incarnation]) > rgmodel.IsolationLimit {
			return false
		}
	}
	return len(sta.Ring.Entries) > 0
}

// nextFlow returns the flow with queued tasks whose next task has the lowest start tag, which equals the flow's FinishTag.
// Ties go to the flow whose first queued task arrived first, so that the choice does not depend on map order.
// It returns false if every flow with queued tasks is throttled.
func nextFlow(sta *State, throttled map[rgmodel.Flow]bool) (rgmodel.Flow, bool) {
	var best rgmodel.Flow
	var bestFlow *FlowState
	for key, flo := range sta.Flows {
		if len(flo.Queue) == 0 || throttled[key] {
			continue
		}
		if bestFlow == nil || startsBefore(flo, bestFlow) {
			best, bestFlow = key, flo
		}
	}
	return best, bestFlow != nil
}

func startsBefore(fst, snd *FlowState) bool {
	if fst.FinishTag != snd.FinishTag {
		return fst.FinishTag < snd.FinishTag
	}
	return fst.Queue[0].Arrival < snd.Queue[0].Arrival
}

func serviceTime(sta *State, kind string, declared time.Duration) time.Duration {
	if tim, ok := sta.ServiceTimes[kind]; ok {
		return tim
	}
	if declared > 0 {
		return declared
	}
	return rgmodel.DefaultServiceTime
}

func queuedWork(sta *State, key rgmodel.Flow, flo *FlowState) time.Duration {
	work := time.Duration(0)
	if len(flo.Queue) > 0 {
		work = time.Duration(len(flo.Queue)) * serviceTime(sta, key.Kind, flo.Queue[0].RunTime)
	}
	return work
}

// slotShare returns the number of slots that the flow gets while it and all other flows with queued tasks stay
// backlogged.
func slotShare(sta *State, key rgmodel.Flow) float64 {
	own := max(1, sta.Weights[key])
	total := own
	for other, flo := range sta.Flows {
		if other != key && len(flo.Queue) > 0 {
			total += flo.Weight
		}
	}
	return float64(sta.Self.Capacity.Slots) * float64(own) / float64(total)
}
