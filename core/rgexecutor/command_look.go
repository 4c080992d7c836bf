package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// poll keeps polls of the executor in flight as long as it has runs to observe.
func poll(sta *State, now time.Time) []Effect {
	if sta.Phase == PhaseNoExecutor || sta.Phase == PhaseServing && len(sta.Runs) == 0 && len(sta.ForeignRuns) == 0 {
		return nil
	}
	var efs []Effect
	for len(sta.Polls) < pollsWanted(sta, now) {
		ord := newPoll(sta, now)
		if sta.Phase == PhaseServing {
			ord.Wait = pollWait
		}
		sta.Polls = append(sta.Polls, now)
		efs = append(efs, SendOrder{Order: ord})
	}
	return efs
}

// pollsWanted returns the number of polls to keep in flight.
func pollsWanted(sta *State, now time.Time) int {
	if sta.Phase == PhaseServing && now.Sub(sta.LastUnanswered) < sparePollTime {
		return 2
	}
	return 1
}

func newPoll(sta *State, now time.Time) rgmodel.PollOrder {
	ord := rgmodel.PollOrder{Incarnation: sta.Executor.Incarnation, Fence: sta.Fence, AckedSequence: sta.AckedSequence, Sent: now}
	if renewable(sta, now) {
		ord.Lease = leaseUntil(sta, now)
	}
	return ord
}

// PollAnswered processes the running and ended runs that the executor lists.
func PollAnswered(sta *State, now time.Time, ord rgmodel.PollOrder, rep rgmodel.OrderReply) []Effect {
	if ord.Incarnation != sta.Executor.Incarnation || ord.Fence != sta.Fence {
		return nil
	}
	if at := slices.IndexFunc(sta.Polls, ord.Sent.Equal); at >= 0 {
		sta.Polls = slices.Delete(sta.Polls, at, at+1)
	}
	if isGone(sta, now, rep) {
		return leave(sta, now, rgmodel.ReasonUpstreamUnreachable, lossRestarted{})
	}
	if !rep.Answered {
		sta.LastUnanswered = now
		if sta.Phase == PhaseFencing || now.Sub(ord.Sent) < pollWait {
			// The next tick asks again; asking at once would keep both sides busy.
			return nil
		}
		return poll(sta, now)
	}
	if rep.Refusal == rgmodel.RefusalWrongIncarnation {
		return leave(sta, now, rgmodel.ReasonSidecarLost, lossEnded{})
	}
	if rep.StartedMillis != 0 && rep.StartedMillis != ord.Incarnation.StartedMillis {
		return leave(sta, now, rgmodel.ReasonSidecarLost, lossRestarted{})
	}
	overtaken := rep.Clock < sta.Executor.Clock
	observe(sta, now, ord.Incarnation, rep)
	if rep.Refusal == rgmodel.RefusalFenced {
		return refence(sta, now, rgmodel.ReasonUpstreamRefused, lossFenced{})
	}
	if rep.Refusal != rgmodel.RefusalNone {
		return nil
	}
	sta.Counts.MalformedRows += uint64(rep.MalformedRows)
	efs := takeEnds(sta, now, rep.Ended)
	if overtaken && sta.Phase == PhaseServing {
		// A newer answer has said more of the runs.
		return append(efs, proceed(sta, now)...)
	}
	listed := make(map[RunKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		listed[RunKey{Task: row.Task, Number: row.Run}] = true
	}
	efs = append(efs, settle(sta, now, ord.Sent, listed)...)
	efs = append(efs, stopForeign(sta, now, listed)...)
	if sta.Phase == PhaseFencing && len(sta.ForeignRuns) == 0 {
		sta.Phase = PhaseServing
	}
	efs = append(efs, resolve(sta, now)...)
	return append(efs, proceed(sta, now)...)
}

// isGone takes note of whether anything listens at the executor's address, and says whether its process has ended.
func isGone(sta *State, now time.Time, rep rgmodel.OrderReply) bool {
	if !rep.Unreachable {
		sta.UnreachableSince = time.Time{}
		return false
	}
	if sta.UnreachableSince.IsZero() {
		sta.UnreachableSince = now
	}
	return now.Sub(sta.UnreachableSince) >= goneAfter
}

func takeEnds(sta *State, now time.Time, ended []rgmodel.EndedRun) []Effect {
	var efs []Effect
	for _, row := range ended {
		sta.AckedSequence = max(sta.AckedSequence, row.Sequence)
		delete(sta.ForeignRuns, RunKey{Task: row.Task, Number: row.Run})
		run := sta.Runs[row.Task]
		if run == nil || run.Number != row.Run {
			continue
		}
		delete(sta.Runs, row.Task)
		efs = append(efs, end(sta, now, run, row.Status)...)
	}
	return efs
}

// end reports a run that has ended, or queues its task anew.
func end(sta *State, now time.Time, run *Run, sts rgmodel.EndStatus) []Effect {
	took := now.Sub(run.Started)
	switch sts {
	case rgmodel.EndDone:
		succeed(&sta.Health)
		learn(sta, run.Assignment, took)
		return []Effect{tell(sta, run.Assignment, sts, "", took)}
	case rgmodel.EndFailed:
		efs := []Effect{tell(sta, run.Assignment, sts, rgmodel.ReasonUpstreamStatus, took)}
		if fail(&sta.Health, now, run.Assignment.Task.Key.Job) {
			efs = append(efs, returnQueue(sta, rgmodel.ReasonUpstreamStatus)...)
		}
		return efs
	default:
		if run.Requeue && sta.Conns[run.Assignment.Conn] != nil && !sta.Draining && !sta.Executor.Draining {
			enqueue(sta, now, run.Assignment)
			return nil
		}
		rsn := run.Reason
		if run.State != RunStopping {
			sta.Counts.LeasesExpired++
			rsn = rgmodel.ReasonSidecarLost
		}
		return []Effect{tell(sta, run.Assignment, rgmodel.EndLost, rsn, took)}
	}
}

// settle ends runs that the executor lists no more: those that were confirmed before the poll was sent, and those
// whose stop was, which excludes a later start.
func settle(sta *State, now, sent time.Time, listed map[RunKey]bool) []Effect {
	var efs []Effect
	for tsk, run := range sta.Runs {
		if listed[RunKey{Task: tsk, Number: run.Number}] {
			continue
		}
		confirmed := run.State == RunRunning && run.Started.Before(sent)
		stopped := run.State == RunStopping && !run.StopConfirmed.IsZero() && !run.StopConfirmed.After(sent)
		if confirmed || stopped {
			delete(sta.Runs, tsk)
			efs = append(efs, end(sta, now, run, rgmodel.EndLost)...)
		}
	}
	return efs
}

// stopForeign stops runs that this process has not started.
func stopForeign(sta *State, now time.Time, listed map[RunKey]bool) []Effect {
	var efs []Effect
	for key := range sta.ForeignRuns {
		if !listed[key] {
			delete(sta.ForeignRuns, key)
		}
	}
	for key := range listed {
		run := sta.Runs[key.Task]
		if run != nil && run.Number == key.Number {
			continue
		}
		if sta.ForeignRuns == nil {
			sta.ForeignRuns = map[RunKey]time.Time{}
		}
		if now.Sub(sta.ForeignRuns[key]) < stopRetry {
			continue
		}
		sta.ForeignRuns[key] = now
		efs = append(efs, giveStop(sta, key.Task, key.Number))
	}
	return efs
}
