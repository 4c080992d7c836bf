package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// UpdateExecutor stores the description that an executor reported, unless a newer one is known.
func UpdateExecutor(sta *State, now time.Time, exe rgmodel.Executor) []Effect {
	cur := sta.Executor.Incarnation
	switch {
	case exe.Incarnation.StartedMillis != 0 && exe.Incarnation == sta.Deregistered:
		// The heartbeat was sent before the deregistration and delayed.
		return nil
	case exe.Incarnation.StartedMillis != 0 && slices.Contains(sta.Restarted, exe.Incarnation):
		// Its start time may be later than that of the current incarnation, if the machine's clock was set back.
		return nil
	case sta.Phase != PhaseNoExecutor && exe.Incarnation.StartedMillis < cur.StartedMillis:
		// It is delayed, or the machine's clock was set back before a restart. Polls show which of the two.
		sta.LateStartPossibleAt = now
		return sendPolls(sta, now)
	case sta.Phase != PhaseNoExecutor && exe.Incarnation == cur:
		if exe.Sequence <= sta.Executor.Sequence && !sta.Undescribed {
			return nil
		}
		sta.Undescribed = false
		drained := exe.Draining && !sta.Executor.Draining
		if exe.Clock > sta.Executor.Clock {
			sta.ClockReadAt = now
		} else {
			// A reply to an order arrived before this report and has a newer reading of the clock.
			exe.Clock = sta.Executor.Clock
		}
		sta.Executor = exe
		if drained {
			return returnQueue(sta, rgmodel.ReasonDraining)
		}
		return startQueued(sta, now)
	default:
		var los lossCause = lossRestarted{}
		if exe.Incarnation.ID != cur.ID {
			los = lossReplaced{}
		}
		efs := abandonIncarnation(sta, now, rgmodel.ReasonSidecarLost, los)
		sta.Undescribed = false
		return append(efs, adoptIncarnation(sta, now, exe)...)
	}
}

// followRestart takes control of the next incarnation with the same id as soon as it replies to an order. Until it has seen a higher
// fencing token, it carries out start orders that were sent to the previous one, and its first heartbeat may be a second away.
func followRestart(sta *State, now time.Time, rep rgmodel.OrderReply) []Effect {
	efs := abandonIncarnation(sta, now, rgmodel.ReasonSidecarLost, lossRestarted{})
	exe := sta.Executor
	exe.Incarnation.StartedMillis, exe.Clock, exe.Sequence = rep.StartedMillis, rep.Clock, 0
	sta.Undescribed = true
	return append(efs, adoptIncarnation(sta, now, exe)...)
}

// adoptIncarnation begins to take control of a new incarnation of the executor.
func adoptIncarnation(sta *State, now time.Time, exe rgmodel.Executor) []Effect {
	sta.Executor = exe
	sta.ClockReadAt = now
	sta.Slowdown = 0
	sta.Health = Health{}
	return takeControl(sta, now)
}

// DeregisterExecutor handles the graceful shutdown of an incarnation of the executor.
func DeregisterExecutor(sta *State, now time.Time, id string) []Effect {
	if sta.Phase == PhaseNoExecutor || sta.Executor.Incarnation.ID != id {
		return nil
	}
	sta.Executor.Draining = true
	sta.Deregistered = sta.Executor.Incarnation
	return loseExecutor(sta, now, rgmodel.ReasonDraining, lossDeregistered{})
}

// takeControl raises the fencing token, so that orders of earlier sidecar processes are refused, and polls for the runs that
// they started. The token is taken from the executor's clock, which makes it higher than that of an earlier process. If that
// process came from an incarnation whose clock was further on, its token may be higher: see retakeControl.
func takeControl(sta *State, now time.Time) []Effect {
	sta.Phase = PhaseFencing
	if !sta.HadControl {
		// An earlier process may have sent a start order that is still on its way.
		sta.LateStartPossibleAt = now
	}
	sta.FenceToken = max(sta.FenceToken+1, uint64(max(sta.Executor.Clock, 1)))
	sta.AckedSequence = 0
	sta.UntrackedRuns = nil
	return sendPolls(sta, now)
}

// loseExecutor abandons the current incarnation, which has ended or is about to end, and waits for the next one.
func loseExecutor(sta *State, now time.Time, rsn rgmodel.Reason, los lossCause) []Effect {
	efs := abandonIncarnation(sta, now, rsn, los)
	sta.Phase = PhaseNoExecutor
	return efs
}

// retakeControl takes control of the same incarnation again after its runs have ended or their state has become unknown.
func retakeControl(sta *State, now time.Time, rsn rgmodel.Reason, los lossCause) []Effect {
	if _, fenced := los.(lossFenced); fenced && sta.FenceToken < maxDoubledToken {
		// Doubling exceeds the token that the executor has seen after few orders.
		sta.FenceToken *= 2
	}
	return append(abandonIncarnation(sta, now, rsn, los), takeControl(sta, now)...)
}

// abandonIncarnation drops all runs and queued tasks of an incarnation. Runs that may still go on become orphans, whose end
// is reported later.
func abandonIncarnation(sta *State, now time.Time, rsn rgmodel.Reason, los lossCause) []Effect {
	log := LogLoss{Cause: lossName(los), Incarnation: sta.Executor.Incarnation, Queued: len(sta.Queue), LeaseLeft: leaseLeft(sta, now)}
	controlled := sta.Phase != PhaseNoExecutor
	efs := abandonQueue(sta, now, rsn, los)
	for _, run := range sta.Runs {
		if run.StartConfirmed {
			log.Confirmed++
		} else {
			log.Unconfirmed++
		}
		if run.AcceptedTask.UnrefusedStarts == 0 {
			efs = append(efs, returnTask(sta, run.AcceptedTask, rsn))
			continue
		}
		if mayStillRun(los, run) {
			addOrphan(sta, run.AcceptedTask, rsn, now.Add(maxTimeLeft(sta, now, los, run)))
			continue
		}
		efs = append(efs, reportEnd(sta, run.AcceptedTask, rgmodel.EndLost, rsn, 0))
	}
	recordEndOf(sta, now, los)
	sta.Runs = nil
	sta.UntrackedRuns = nil
	sta.Polls = nil
	_, fenced := los.(lossFenced)
	sta.PollUnanswered, sta.LastUrgentPoll = !fenced, time.Time{}
	sta.ConnectionRefusedSince, sta.Unreachable = time.Time{}, false
	sta.LeaseEnd = 0
	if controlled {
		efs = append(efs, log)
	}
	return efs
}

// abandonQueue returns the queued tasks of an incarnation that is abandoned. After a restart, tasks become orphans if a start order of
// them got no reply, because the new incarnation may carry it out until it is under control.
func abandonQueue(sta *State, now time.Time, rsn rgmodel.Reason, los lossCause) []Effect {
	if _, restarted := los.(lossRestarted); restarted {
		kept := sta.Queue[:0]
		for _, act := range sta.Queue {
			if act.UnrefusedStarts > 0 {
				addOrphan(sta, act, rsn, now.Add(maxUnrenewedRunTime(sta)))
				continue
			}
			kept = append(kept, act)
		}
		sta.Queue = kept
	}
	return returnQueue(sta, rsn)
}

// addOrphan keeps a task that may run on an abandoned incarnation, or the next one with its id, until the time at the latest.
func addOrphan(sta *State, act AcceptedTask, rsn rgmodel.Reason, endedBy time.Time) {
	sta.Orphans = append(sta.Orphans, OrphanedTask{
		AcceptedTask: act, Reason: rsn, ExecutorID: sta.Executor.Incarnation.ID, EndedBy: endedBy,
	})
}

// recordEndOf records what is left of an incarnation that is abandoned.
func recordEndOf(sta *State, now time.Time, los lossCause) {
	switch los.(type) {
	case lossRestarted:
		sta.Restarted = append(sta.Restarted, sta.Executor.Incarnation)
		if len(sta.Restarted) > maxRestarted {
			sta.Restarted = sta.Restarted[1:]
		}
	case lossDeregistered, lossReplaced:
		if len(sta.UntrackedRuns) > 0 {
			// Another process may have renewed the lease of these runs last.
			sta.UntrackedUntil = now.Add(maxUnrenewedRunTime(sta))
		}
	}
}

// reportEndedOrphans reports the orphaned tasks that have certainly ended. These are all tasks of an executor once the sidecar controls
// an incarnation with its id and no untracked run is left there.
func reportEndedOrphans(sta *State, now time.Time) []Effect {
	var efs []Effect
	controlled := sta.Phase == PhaseServing && len(sta.UntrackedRuns) == 0
	kept := sta.Orphans[:0]
	for _, orp := range sta.Orphans {
		if now.Before(orp.EndedBy) && (!controlled || orp.ExecutorID != sta.Executor.Incarnation.ID) {
			kept = append(kept, orp)
			continue
		}
		efs = append(efs, reportEnd(sta, orp.AcceptedTask, rgmodel.EndLost, orp.Reason, 0))
	}
	sta.Orphans = kept
	return efs
}

func returnQueue(sta *State, rsn rgmodel.Reason) []Effect {
	efs := make([]Effect, 0, len(sta.Queue))
	for _, act := range sta.Queue {
		efs = append(efs, returnTask(sta, act, rsn))
	}
	sta.Queue = nil
	return efs
}

// returnTask reports that a task leaves the sidecar without a result. It counts as lost if a start order of it was confirmed or
// got no reply, because an order without a reply may have been carried out.
func returnTask(sta *State, act AcceptedTask, rsn rgmodel.Reason) Effect {
	sts := rgmodel.EndReturned
	if act.UnrefusedStarts > 0 {
		sts = rgmodel.EndLost
	}
	return reportEnd(sta, act, sts, rsn, 0)
}

func reportEnd(sta *State, act AcceptedTask, sts rgmodel.EndStatus, rsn rgmodel.Reason, took time.Duration) Effect {
	end := rgmodel.TaskEnd{Ticket: act.Task.Ticket, Status: sts, Reason: rsn, Took: took}
	switch sts {
	case rgmodel.EndSucceeded:
		sta.Counts.Succeeded++
	case rgmodel.EndFailed:
		sta.Counts.Failed++
	case rgmodel.EndLost:
		sta.Counts.Lost++
		end.UnrefusedStarts = act.UnrefusedStarts
	case rgmodel.EndReturned:
		sta.Counts.Returned++
	}
	return ReportEnd{Conn: act.Conn, End: end}
}

// repliedByNext reports whether the reply to an order to the current incarnation is from the next one with the same id.
func repliedByNext(sta *State, inc rgmodel.ExecutorIncarnation, rep rgmodel.OrderReply) bool {
	return inc == sta.Executor.Incarnation && sta.Phase != PhaseNoExecutor && rep.Refusal != rgmodel.RefusalWrongIncarnation &&
		rep.StartedMillis != 0 && rep.StartedMillis != inc.StartedMillis
}

// recordClock stores the executor's clock from the reply to an order. It reports whether the reply is from the current
// incarnation.
func recordClock(sta *State, now time.Time, inc rgmodel.ExecutorIncarnation, rep rgmodel.OrderReply) bool {
	if inc != sta.Executor.Incarnation || rep.StartedMillis != 0 && rep.StartedMillis != inc.StartedMillis {
		return false
	}
	if rep.Clock > sta.Executor.Clock {
		sta.Executor.Clock = rep.Clock
		sta.ClockReadAt = now
	}
	return true
}

// extendLease returns the end of the lease for an order that is sent now, and records it.
func extendLease(sta *State, now time.Time) rgmodel.ExecutorTime {
	end := sta.Executor.Clock + rgmodel.ExecutorTime((now.Sub(sta.ClockReadAt) + LeaseTime(sta)).Milliseconds())
	sta.LeaseEnd = max(sta.LeaseEnd, end)
	return end
}
