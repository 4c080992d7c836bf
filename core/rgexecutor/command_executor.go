package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// UpdateExecutor stores the description that the executor sent of itself, unless a newer one is known.
func UpdateExecutor(sta *State, now time.Time, exe rgmodel.Executor) []Effect {
	cur := sta.Executor.Incarnation
	switch {
	case sta.Phase != PhaseNoExecutor && exe.Incarnation.StartedMillis < cur.StartedMillis:
		return nil
	case sta.Phase != PhaseNoExecutor && exe.Incarnation == cur:
		if exe.Sequence <= sta.Executor.Sequence {
			return nil
		}
		drained := exe.Draining && !sta.Executor.Draining
		if exe.Clock > sta.Executor.Clock {
			sta.ClockReadAt = now
		} else {
			// An answer to an order has overtaken the report.
			exe.Clock = sta.Executor.Clock
		}
		sta.Executor = exe
		if drained {
			return returnQueue(sta, rgmodel.ReasonDraining)
		}
		return proceed(sta, now)
	default:
		var los loss = lossRestarted{}
		if exe.Incarnation.ID != cur.ID {
			los = lossEnded{}
		}
		efs := forget(sta, now, rgmodel.ReasonSidecarLost, los)
		sta.Executor = exe
		sta.ClockReadAt = now
		sta.Slowdown = 0
		sta.Health = Health{}
		return append(efs, fence(sta, now)...)
	}
}

// DeregisterExecutor handles the planned end of an incarnation of the executor.
func DeregisterExecutor(sta *State, now time.Time, id string) []Effect {
	if sta.Phase == PhaseNoExecutor || sta.Executor.Incarnation.ID != id {
		return nil
	}
	return leave(sta, now, rgmodel.ReasonDraining, lossRestarted{})
}

// fence makes orders of earlier processes void and asks for their runs. The executor's own clock gives a fence that is
// higher than that of any earlier process beside the same incarnation.
func fence(sta *State, now time.Time) []Effect {
	sta.Phase = PhaseFencing
	sta.Fence = max(sta.Fence+1, uint64(max(sta.Executor.Clock, 1)))
	sta.AckedSequence = 0
	sta.ForeignRuns = nil
	return poll(sta, now)
}

// leave waits for the next incarnation, because the current one is over.
func leave(sta *State, now time.Time, rsn rgmodel.Reason, los loss) []Effect {
	sta.Phase = PhaseNoExecutor
	return forget(sta, now, rsn, los)
}

// refence takes control of the same incarnation anew, when what runs there is no longer known or goes on no longer.
func refence(sta *State, now time.Time, rsn rgmodel.Reason, los loss) []Effect {
	return append(forget(sta, now, rsn, los), fence(sta, now)...)
}

// forget drops everything that ran or waited on an incarnation that is over. Runs that are doubted are reported later.
func forget(sta *State, now time.Time, rsn rgmodel.Reason, los loss) []Effect {
	efs := returnQueue(sta, rsn)
	for _, run := range sta.Runs {
		if isDoubted(los, run) {
			sta.Orphans = append(sta.Orphans, OrphanedTask{Assignment: run.Assignment, Reason: rsn, EndedBy: now.Add(longestRun(sta))})
			continue
		}
		efs = append(efs, tell(sta, run.Assignment, rgmodel.EndLost, rsn, 0))
	}
	sta.Runs = nil
	sta.ForeignRuns = nil
	sta.Polls = nil
	sta.UnreachableSince = time.Time{}
	sta.Lease = 0
	return efs
}

// resolve reports the doubted tasks that have ended for certain: all of them once the sidecar is in control of the executor
// and nothing that it has not started is left there.
func resolve(sta *State, now time.Time) []Effect {
	var efs []Effect
	controlled := sta.Phase == PhaseServing && len(sta.ForeignRuns) == 0
	kept := sta.Orphans[:0]
	for _, orp := range sta.Orphans {
		if !controlled && now.Before(orp.EndedBy) {
			kept = append(kept, orp)
			continue
		}
		efs = append(efs, tell(sta, orp.Assignment, rgmodel.EndLost, orp.Reason, 0))
	}
	sta.Orphans = kept
	return efs
}

func returnQueue(sta *State, rsn rgmodel.Reason) []Effect {
	efs := make([]Effect, 0, len(sta.Queue))
	for _, asg := range sta.Queue {
		efs = append(efs, tell(sta, asg, rgmodel.EndReturned, rsn, 0))
	}
	sta.Queue = nil
	return efs
}

func tell(sta *State, asg Assignment, sts rgmodel.EndStatus, rsn rgmodel.Reason, took time.Duration) Effect {
	switch sts {
	case rgmodel.EndDone:
		sta.Counts.Done++
	case rgmodel.EndFailed:
		sta.Counts.Failed++
	case rgmodel.EndLost:
		sta.Counts.Lost++
	case rgmodel.EndReturned:
		sta.Counts.Returned++
	}
	return ReportEnd{Conn: asg.Conn, End: rgmodel.TaskEnd{
		Ticket: asg.Task.Ticket, Status: sts, Reason: rsn, Took: took,
	}}
}

// observe takes note of the executor's clock in an answer to an order. It reports whether the answer is from the
// current incarnation.
func observe(sta *State, now time.Time, inc rgmodel.ExecutorIncarnation, rep rgmodel.OrderReply) bool {
	if inc != sta.Executor.Incarnation || rep.StartedMillis != 0 && rep.StartedMillis != inc.StartedMillis {
		return false
	}
	if rep.Clock > sta.Executor.Clock {
		sta.Executor.Clock = rep.Clock
		sta.ClockReadAt = now
	}
	return true
}

// leaseUntil returns the lease that an order of this moment carries.
func leaseUntil(sta *State, now time.Time) rgmodel.ExecutorTime {
	lea := sta.Executor.Clock + rgmodel.ExecutorTime((now.Sub(sta.ClockReadAt) + LeaseTime(sta)).Milliseconds())
	sta.Lease = max(sta.Lease, lea)
	return lea
}
