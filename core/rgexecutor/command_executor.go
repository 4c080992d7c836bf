package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// followRestart takes control of the next incarnation with the same id as soon as it replies to an order. Until it has seen a higher
// fencing token, it carries out start orders that were sent to the previous one.
func followRestart(sta *State, now time.Time, rep rgmodel.OrderReply) []Effect {
	cur := sta.Executor.Incarnation
	var los lossCause = lossRestarted{}
	if cur.StartedMillis == 0 {
		los = lossStartTimeLearned{}
	}
	efs := abandonIncarnation(sta, now, rgmodel.ReasonSidecarLost, los)
	next := rgmodel.ExecutorIncarnation{ID: cur.ID, StartedMillis: rep.StartedMillis}
	exe, announced := takeAnnounced(sta, next)
	if !announced {
		exe = sta.Executor
		exe.Incarnation, exe.Sequence = next, 0
	}
	exe.Clock = max(rep.Clock, 0)
	sta.Restarted = slices.DeleteFunc(sta.Restarted, func(inc rgmodel.ExecutorIncarnation) bool { return inc == next })
	efs = append(efs, adoptIncarnation(sta, now, exe, now)...)
	sta.Undescribed = !announced
	return efs
}

// loseReplaced handles the reply of an executor with another id than the known one. If another id was announced, the executor with that
// id is asked next.
func loseReplaced(sta *State, now time.Time) []Effect {
	efs := loseExecutor(sta, now, rgmodel.ReasonSidecarLost, lossReplaced{})
	id := sta.Executor.Incarnation.ID
	sta.Announced = slices.DeleteFunc(sta.Announced, func(exe rgmodel.Executor) bool { return exe.Incarnation.ID == id })
	if len(sta.Announced) == 0 {
		return efs
	}
	exe, _ := takeAnnounced(sta, sta.Announced[len(sta.Announced)-1].Incarnation)
	return append(efs, adoptIncarnation(sta, now, exe, time.Time{})...)
}

// adoptIncarnation begins to take control of a new incarnation of the executor. readAt is when its clock was read from a reply, or zero.
func adoptIncarnation(sta *State, now time.Time, exe rgmodel.Executor, readAt time.Time) []Effect {
	takeAnnounced(sta, exe.Incarnation)
	if readAt.IsZero() {
		exe.Clock = 0
	}
	sta.Executor = exe
	sta.Undescribed, sta.Restored = false, false
	sta.ClockReadAt = readAt
	sta.Slowdown = 0
	sta.Health = Health{}
	sta.PollUnanswered = true
	return append(closeOtherStartConns(sta), takeControl(sta, now)...)
}

// takeControl raises the fencing token, so that orders of earlier sidecar processes are refused, and polls for the runs that
// they started. The token is taken from the executor's clock, which makes it higher than that of an earlier process. Until a reply has
// shown the clock, it is only higher than the last one of this process: see raiseToken. If the earlier process came from an incarnation
// whose clock was further on, its token may be higher: see retakeControl.
func takeControl(sta *State, now time.Time) []Effect {
	sta.Phase = PhaseFencing
	if !sta.HadControl {
		// An earlier process may have sent a start order that is still on its way.
		sta.LateStartPossibleAt = now
	}
	sta.FenceToken = max(sta.FenceToken+1, uint64(sta.Executor.Clock))
	sta.TokenRaised, sta.FencedAt = !sta.ClockReadAt.IsZero(), time.Time{}
	sta.AckedSequence = 0
	sta.UntrackedRuns = nil
	sta.Polls, sta.LatestUrgentPoll = nil, time.Time{}
	return sendPolls(sta, now)
}

// raiseToken takes control again with a token from the clock that the first reply has shown. Two processes that know no clock begin with
// the same token, and a clock that comes from elsewhere may be false.
func raiseToken(sta *State, now time.Time) []Effect {
	efs := takeControl(sta, now)
	sta.TokenRaised = true
	return efs
}

// loseExecutor abandons the current incarnation, which has ended or is about to end, and waits for the next one.
func loseExecutor(sta *State, now time.Time, rsn rgmodel.Reason, los lossCause) []Effect {
	efs := abandonIncarnation(sta, now, rsn, los)
	sta.Phase = PhaseNoExecutor
	return efs
}

// retakeControl takes control of the same incarnation again after its runs have ended or their state has become unknown.
func retakeControl(sta *State, now time.Time, rsn rgmodel.Reason, los lossCause) []Effect {
	_, fenced := los.(lossFenced)
	if fenced && sta.FenceToken < maxDoubledToken {
		// Doubling exceeds the token that the executor has seen after few orders.
		sta.FenceToken *= 2
	}
	sta.PollUnanswered = !fenced
	return append(abandonIncarnation(sta, now, rsn, los), takeControl(sta, now)...)
}

// abandonIncarnation drops all runs and queued tasks of an incarnation. Runs that may still go on become orphans, whose end
// is reported later.
func abandonIncarnation(sta *State, now time.Time, rsn rgmodel.Reason, los lossCause) []Effect {
	log := LogLoss{Cause: lossName(los), Incarnation: sta.Executor.Incarnation, Queued: len(sta.Queue), LeaseLeft: LeaseLeft(sta, now)}
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
	switch los.(type) {
	case lossRestarted, lossStartTimeLearned:
		orphanUnansweredStarts(sta, now, rsn)
	}
	return returnQueue(sta, rsn)
}

// orphanUnansweredStarts makes orphans of the queued tasks of which a start order got no reply, because the next incarnation may carry
// it out.
func orphanUnansweredStarts(sta *State, now time.Time, rsn rgmodel.Reason) {
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
	case lossReplaced:
		if len(sta.UntrackedRuns) > 0 {
			// Another process may have renewed the lease of these runs last.
			sta.UntrackedUntil = now.Add(maxUnrenewedRunTime(sta))
		}
	}
}

// reportEndedOrphans reports the orphaned tasks that have certainly ended. These are all tasks of an executor once the sidecar controls
// an incarnation with its id that replies, and no untracked run is left there.
func reportEndedOrphans(sta *State, now time.Time) []Effect {
	var efs []Effect
	controlled := sta.Phase == PhaseServing && len(sta.UntrackedRuns) == 0 && sta.ConnectionRefusedSince.IsZero()
	kept := sta.Orphans[:0]
	for _, orp := range sta.Orphans {
		endedBy := orp.EndedBy
		if isListed(sta, orp.AcceptedTask.Task.Key) {
			// The executor has carried out a late start, which is being stopped without a renewal of its lease.
			endedBy = endedBy.Add(maxUnrenewedRunTime(sta))
		}
		if now.Before(endedBy) && (!controlled || orp.ExecutorID != sta.Executor.Incarnation.ID) {
			kept = append(kept, orp)
			continue
		}
		efs = append(efs, reportEnd(sta, orp.AcceptedTask, rgmodel.EndLost, orp.Reason, 0))
	}
	sta.Orphans = kept
	return efs
}

// isListed reports whether the executor lists a run of the task that this process does not track.
func isListed(sta *State, tsk rgmodel.TaskKey) bool {
	for key := range sta.UntrackedRuns {
		if key.Task == tsk {
			return true
		}
	}
	return false
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
	if rsn == rgmodel.ReasonZoneEvacuated {
		sta.Counts.Evacuated++
	}
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
	if rep.Clock > sta.Executor.Clock || sta.ClockReadAt.IsZero() {
		sta.Executor.Clock = max(rep.Clock, 0)
		sta.ClockReadAt = now
	}
	return true
}

// extendLease returns the end of the lease for an order that is sent now, and records it. It counts from the earliest time that the clock
// can show, so that no lease is longer than the bounds which rest on it, however old the last reading is.
func extendLease(sta *State, now time.Time) rgmodel.ExecutorTime {
	end := addMillis(earliestClock(sta, now), LeaseTime(sta))
	sta.LeaseEnd = max(sta.LeaseEnd, end)
	return end
}
