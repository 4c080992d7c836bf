package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// runList is the executor's list of running runs. It is incomplete if rows could not be decoded.
type runList struct {
	listed     map[RunKey]bool
	incomplete bool
}

// sendPolls keeps polls in flight until nothing can run on the executor without the knowledge of this process.
func sendPolls(sta *State, now time.Time) []Effect {
	if sta.Phase == PhaseNoExecutor || sta.Phase == PhaseServing && isIdle(sta, now) {
		return nil
	}
	var efs []Effect
	for len(sta.Polls) < desiredPolls(sta, now) {
		ord := newPoll(sta, now)
		switch {
		case pollsUrgently(sta, now):
			ord.Delay = urgentPollDelay(sta, now)
			sta.LatestUrgentPoll = now.Add(ord.Delay)
		case sta.Phase == PhaseServing:
			ord.Wait = pollWait
		}
		sta.Polls = append(sta.Polls, ord.Sent)
		efs = append(efs, SendOrder{Order: ord})
	}
	return efs
}

// sendPollsIfUrgent polls again at once an executor that may restart with a start order on its way. Otherwise the next tick polls, because
// polling at once would keep both sides busy while polls fail immediately.
func sendPollsIfUrgent(sta *State, now time.Time) []Effect {
	if !pollsUrgently(sta, now) {
		return nil
	}
	return sendPolls(sta, now)
}

// desiredPolls returns the number of polls to keep in flight.
func desiredPolls(sta *State, now time.Time) int {
	switch {
	case pollsUrgently(sta, now):
		return maxUrgentPolls
	case !sta.ConnectionRefusedSince.IsZero():
		return 1
	case sta.Phase == PhaseServing && now.Sub(sta.LastMissingReply) < sparePollDuration:
		return 2
	default:
		return 1
	}
}

// pollsUrgently reports whether the executor is polled at short intervals, because it does not reply and may restart while a start order
// is on its way.
func pollsUrgently(sta *State, now time.Time) bool {
	return sta.PollUnanswered && now.Sub(sta.LateStartPossibleAt) <= maxOrderDelay
}

// urgentPollDelay returns the time until the next poll of an executor that does not reply.
func urgentPollDelay(sta *State, now time.Time) time.Duration {
	every := silentPollInterval
	if !sta.ConnectionRefusedSince.IsZero() {
		every = refusedPollInterval
	}
	return max(0, sta.LatestUrgentPoll.Add(every).Sub(now))
}

func newPoll(sta *State, now time.Time) rgmodel.PollOrder {
	ord := newPollWithoutLease(sta, now)
	if pollRenewsLease(sta, now) {
		ord.LeaseEnd = extendLease(sta, now)
	}
	return ord
}

func newPollWithoutLease(sta *State, now time.Time) rgmodel.PollOrder {
	return rgmodel.PollOrder{Incarnation: sta.Executor.Incarnation, FenceToken: sta.FenceToken, AckedSequence: sta.AckedSequence, Sent: now}
}

// pollRenewsLease reports whether a poll renews the lease. Without a run of this process, the executor can only have runs that must end.
// While it refuses connections, the lease is left to expire.
func pollRenewsLease(sta *State, now time.Time) bool {
	return sta.Phase == PhaseServing && len(sta.Runs) > 0 && sta.ConnectionRefusedSince.IsZero() && canRenewLease(sta, now)
}

// HandlePollReply processes the reply to a poll, which lists the running and ended runs.
func HandlePollReply(sta *State, now time.Time, ord rgmodel.PollOrder, rep rgmodel.OrderReply) []Effect {
	return append(recordStartConn(sta, ord, rep), handlePollReply(sta, now, ord, rep)...)
}

func handlePollReply(sta *State, now time.Time, ord rgmodel.PollOrder, rep rgmodel.OrderReply) []Effect {
	if ord.Incarnation != sta.Executor.Incarnation || ord.FenceToken != sta.FenceToken {
		return nil
	}
	if at := slices.IndexFunc(sta.Polls, ord.Sent.Equal); at >= 0 && ord.Conn == 0 {
		sta.Polls = slices.Delete(sta.Polls, at, at+1)
	}
	if efs, unreachable := checkReachable(sta, now, rep); unreachable {
		return append(efs, sendPollsIfUrgent(sta, now)...)
	}
	if !rep.Replied {
		sta.LastMissingReply, sta.PollUnanswered = now, true
		efs := handleFailedPoll(sta, now, ord, rep)
		if sta.Phase == PhaseFencing || now.Sub(ord.Sent) < pollWait {
			return append(efs, sendPollsIfUrgent(sta, now)...)
		}
		return append(efs, sendPolls(sta, now)...)
	}
	if rep.Refusal == rgmodel.RefusalWrongIncarnation {
		return loseReplaced(sta, now)
	}
	if repliedByNext(sta, ord.Incarnation, rep) {
		return followRestart(sta, now, rep)
	}
	outdated := rep.Clock < sta.Executor.Clock
	recordClock(sta, now, ord.Incarnation, rep)
	if rep.Refusal == rgmodel.RefusalFenced {
		return retakeControl(sta, now, rgmodel.ReasonUpstreamRefused, lossFenced{})
	}
	if rep.Refusal != rgmodel.RefusalNone {
		return nil
	}
	if !sta.TokenRaised {
		return raiseToken(sta, now)
	}
	sta.PollUnanswered = false
	sta.Counts.MalformedRuns += uint64(rep.MalformedRunning + rep.MalformedEnded)
	efs := handleEnds(sta, now, rep.Ended)
	if outdated && sta.Phase == PhaseServing {
		// The reply to a later poll has arrived before, so this list of running runs is outdated.
		return append(efs, startQueued(sta, now)...)
	}
	lis := newRunList(rep)
	efs = append(efs, endUnlistedRuns(sta, now, ord.Sent, lis)...)
	efs = append(efs, stopUntrackedRuns(sta, now, lis)...)
	endFencing(sta, now, lis)
	efs = append(efs, reportEndedOrphans(sta, now)...)
	return append(efs, startQueued(sta, now)...)
}

// newRunList returns the executor's list of running runs.
func newRunList(rep rgmodel.OrderReply) runList {
	lis := runList{listed: make(map[RunKey]bool, len(rep.Running)), incomplete: rep.MalformedRunning > 0}
	for _, run := range rep.Running {
		lis.listed[RunKey{Task: run.Task, Number: run.Run}] = true
	}
	return lis
}

// endFencing ends the fencing if no run of an earlier process can be left. If the list is incomplete, it waits until the leases of all
// runs have run out: none was renewed since the executor has first accepted the token.
func endFencing(sta *State, now time.Time, lis runList) {
	if sta.Phase != PhaseFencing {
		return
	}
	if sta.FencedAt.IsZero() {
		sta.FencedAt = now
		// Orders that were carried out before may have extended the lease, up to the longest one: those of an earlier process, or
		// those to the last incarnation, with its clock. The lease holds for all runs and never shortens.
		sta.LeaseEnd = max(sta.LeaseEnd, addMillis(sta.Executor.Clock, longestLease(sta)))
	}
	if len(sta.UntrackedRuns) == 0 && (!lis.incomplete || now.Sub(sta.FencedAt) > maxUnrenewedRunTime(sta)) {
		sta.Phase = PhaseServing
		sta.HadControl = true
	}
}

// checkReachable records whether anything listens at the executor's address. After connectionRefusedTimeout, it returns the queued tasks
// and reports that the executor is unreachable. Its runs are kept until their lease expires or the next incarnation replies, because
// they may go on.
func checkReachable(sta *State, now time.Time, rep rgmodel.OrderReply) ([]Effect, bool) {
	if rep.Replied {
		sta.ConnectionRefusedSince, sta.Unreachable = time.Time{}, false
	}
	if !rep.ConnectionRefused {
		return nil, false
	}
	if sta.ConnectionRefusedSince.IsZero() {
		sta.ConnectionRefusedSince = now
	}
	if now.Sub(sta.ConnectionRefusedSince) < connectionRefusedTimeout {
		return nil, false
	}
	var efs []Effect
	if !sta.Unreachable {
		sta.Unreachable = true
		efs = append(efs, LogUnreachable{Runs: len(sta.Runs), Queued: len(sta.Queue), LeaseLeft: LeaseLeft(sta, now)})
	}
	orphanUnansweredStarts(sta, now, rgmodel.ReasonUpstreamUnreachable)
	return append(efs, returnQueue(sta, rgmodel.ReasonUpstreamUnreachable)...), true
}

func handleEnds(sta *State, now time.Time, ended []rgmodel.EndedRun) []Effect {
	var efs []Effect
	for _, end := range ended {
		sta.AckedSequence = max(sta.AckedSequence, end.Sequence)
		delete(sta.UntrackedRuns, RunKey{Task: end.Task, Number: end.Run})
		run := sta.Runs[end.Task]
		if run == nil || run.Number != end.Run {
			continue
		}
		delete(sta.Runs, end.Task)
		efs = append(efs, endRun(sta, now, run, end.Status)...)
	}
	return efs
}

// endRun reports the end of a run, or queues its task again.
func endRun(sta *State, now time.Time, run *Run, sts rgmodel.EndStatus) []Effect {
	took := now.Sub(run.Started)
	switch sts {
	case rgmodel.EndSucceeded:
		recordSuccess(&sta.Health, now)
		learnSlowdown(sta, run.AcceptedTask, took)
		return []Effect{reportEnd(sta, run.AcceptedTask, sts, "", took)}
	case rgmodel.EndFailed:
		efs := []Effect{reportEnd(sta, run.AcceptedTask, sts, rgmodel.ReasonUpstreamStatus, took)}
		if recordFailure(&sta.Health, now, run.AcceptedTask.Task.Key.Job) {
			efs = append(efs, returnQueue(sta, rgmodel.ReasonUpstreamStatus)...)
		}
		return efs
	default:
		if run.Requeue && sta.Conns[run.AcceptedTask.Conn] != nil && !sta.Draining && !sta.Executor.Draining {
			enqueue(sta, now, run.AcceptedTask)
			sta.Counts.Requeued++
			return []Effect{LogRequeue{
				Task: run.AcceptedTask.Task.Key, Run: run.Number, UnrefusedStarts: run.AcceptedTask.UnrefusedStarts,
			}}
		}
		rsn := run.Reason
		if run.State != RunStopping {
			// EndLost does not tell the cause. Without a stop, it is counted as an expired lease.
			sta.Counts.RunsExpired++
			rsn = rgmodel.ReasonSidecarLost
		}
		return []Effect{reportEnd(sta, run.AcceptedTask, rgmodel.EndLost, rsn, took)}
	}
}

// endUnlistedRuns ends runs that the executor no longer lists, if their start or their stop was confirmed before the poll was
// sent. A confirmed stop excludes that the run is started later. An incomplete list does not show that a run has ended, but a run whose
// stop was confirmed long ago has.
func endUnlistedRuns(sta *State, now, sent time.Time, lis runList) []Effect {
	var efs []Effect
	for tsk, run := range sta.Runs {
		if lis.listed[RunKey{Task: tsk, Number: run.Number}] {
			continue
		}
		confirmed := !lis.incomplete && run.State == RunRunning && run.Started.Before(sent)
		stopped := run.State == RunStopping && !run.StopConfirmed.IsZero() && !run.StopConfirmed.After(sent) &&
			(!lis.incomplete || now.Sub(run.StopConfirmed) > maxUnrenewedRunTime(sta))
		if confirmed || stopped {
			delete(sta.Runs, tsk)
			efs = append(efs, endRun(sta, now, run, rgmodel.EndLost)...)
		}
	}
	return efs
}

// stopUntrackedRuns stops the runs that the executor lists and this process does not track. One that an incomplete list lacks is kept until
// its lease has run out, which is not renewed once its stop has been without effect for stopConfirmTimeout.
func stopUntrackedRuns(sta *State, now time.Time, lis runList) []Effect {
	var efs []Effect
	for key, unt := range sta.UntrackedRuns {
		if !lis.listed[key] && (!lis.incomplete || now.Sub(unt.StopRequested) > stopConfirmTimeout+maxUnrenewedRunTime(sta)) {
			delete(sta.UntrackedRuns, key)
		}
	}
	for key := range lis.listed {
		run := sta.Runs[key.Task]
		if run != nil && run.Number == key.Number {
			continue
		}
		if sta.UntrackedRuns == nil {
			sta.UntrackedRuns = map[RunKey]UntrackedRun{}
		}
		unt, found := sta.UntrackedRuns[key]
		if !found {
			unt.StopRequested = now
		}
		if now.Sub(unt.StopSent) < stopRetryInterval {
			continue
		}
		unt.StopSent = now
		sta.UntrackedRuns[key] = unt
		efs = append(efs, stopEffect(sta, key.Task, key.Number))
	}
	return efs
}
