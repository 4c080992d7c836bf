package rgroom

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// look keeps looks at the executor under way as long as there is something to see.
func look(sta *State, now time.Time) []Effect {
	if sta.Phase == PhaseAbsent || sta.Phase == PhaseServing && len(sta.Runs) == 0 && len(sta.Foreign) == 0 {
		return nil
	}
	var efs []Effect
	for len(sta.Looks) < looksWanted(sta, now) {
		ord := newLook(sta, now)
		if sta.Phase == PhaseServing {
			ord.Wait = lookWait
		}
		sta.Looks = append(sta.Looks, now)
		efs = append(efs, Give{Order: ord})
	}
	return efs
}

// looksWanted returns how many looks are to be under way.
func looksWanted(sta *State, now time.Time) int {
	if sta.Phase == PhaseServing && now.Sub(sta.Unanswered) < spareLookTime {
		return 2
	}
	return 1
}

func newLook(sta *State, now time.Time) rgmodel.LookOrder {
	ord := rgmodel.LookOrder{Lifetime: sta.Executor.Lifetime, Fence: sta.Fence, Seen: sta.Seen, Sent: now}
	if renewable(sta, now) {
		ord.Lease = leaseUntil(sta, now)
	}
	return ord
}

// LookAnswered takes note of the runs and ends that the executor lists.
func LookAnswered(sta *State, now time.Time, ord rgmodel.LookOrder, rep rgmodel.OrderReply) []Effect {
	if ord.Lifetime != sta.Executor.Lifetime || ord.Fence != sta.Fence {
		return nil
	}
	if at := slices.IndexFunc(sta.Looks, ord.Sent.Equal); at >= 0 {
		sta.Looks = slices.Delete(sta.Looks, at, at+1)
	}
	if isGone(sta, now, rep) {
		return leave(sta, now, rgmodel.ReasonUpstreamUnreach, lossRestarted{})
	}
	if !rep.Answered {
		sta.Unanswered = now
		if sta.Phase == PhaseFencing || now.Sub(ord.Sent) < lookWait {
			// The next tick asks again; asking at once would keep both sides busy.
			return nil
		}
		return look(sta, now)
	}
	if rep.Refusal == rgmodel.RefusalLifetime {
		return leave(sta, now, rgmodel.ReasonSidecarLost, lossEnded{})
	}
	if rep.Born != 0 && rep.Born != ord.Lifetime.Born {
		return leave(sta, now, rgmodel.ReasonSidecarLost, lossRestarted{})
	}
	overtaken := rep.Clock < sta.Executor.Clock
	observe(sta, now, ord.Lifetime, rep)
	if rep.Refusal == rgmodel.RefusalFenced {
		return refence(sta, now, rgmodel.ReasonUpstreamRefused, lossFenced{})
	}
	if rep.Refusal != rgmodel.RefusalNone {
		return nil
	}
	sta.Counts.Unreadable += uint64(rep.Unreadable)
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
	if sta.Phase == PhaseFencing && len(sta.Foreign) == 0 {
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
		sta.Seen = max(sta.Seen, row.Number)
		delete(sta.Foreign, RunKey{Task: row.Task, Number: row.Run})
		run := sta.Runs[row.Task]
		if run == nil || run.Number != row.Run {
			continue
		}
		delete(sta.Runs, row.Task)
		efs = append(efs, end(sta, now, run, row.How)...)
	}
	return efs
}

// end reports a run that has ended, or queues its task anew.
func end(sta *State, now time.Time, run *Run, how rgmodel.EndKind) []Effect {
	took := now.Sub(run.Started)
	switch how {
	case rgmodel.EndDone:
		succeed(&sta.Health)
		learn(sta, run.Work, took)
		return []Effect{tell(sta, run.Work, how, "", took)}
	case rgmodel.EndFailed:
		efs := []Effect{tell(sta, run.Work, how, rgmodel.ReasonUpstreamStatus, took)}
		if fail(&sta.Health, now, run.Work.Task.Name.Job) {
			efs = append(efs, returnQueue(sta, rgmodel.ReasonUpstreamStatus)...)
		}
		return efs
	default:
		if run.Again && sta.Links[run.Work.Link] != nil && !sta.Stopping && !sta.Executor.Draining {
			enqueue(sta, now, run.Work)
			return nil
		}
		rsn := run.Reason
		if run.State != RunStopping {
			sta.Counts.Lapses++
			rsn = rgmodel.ReasonSidecarLost
		}
		return []Effect{tell(sta, run.Work, rgmodel.EndLost, rsn, took)}
	}
}

// settle ends runs that the executor lists no more: those that were confirmed before the look was sent, and those
// whose stop was, which excludes a later start.
func settle(sta *State, now, sent time.Time, listed map[RunKey]bool) []Effect {
	var efs []Effect
	for tsk, run := range sta.Runs {
		if listed[RunKey{Task: tsk, Number: run.Number}] {
			continue
		}
		confirmed := run.State == RunRunning && run.Started.Before(sent)
		stopped := run.State == RunStopping && !run.StopDone.IsZero() && !run.StopDone.After(sent)
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
	for key := range sta.Foreign {
		if !listed[key] {
			delete(sta.Foreign, key)
		}
	}
	for key := range listed {
		run := sta.Runs[key.Task]
		if run != nil && run.Number == key.Number {
			continue
		}
		if sta.Foreign == nil {
			sta.Foreign = map[RunKey]time.Time{}
		}
		if now.Sub(sta.Foreign[key]) < stopRetry {
			continue
		}
		sta.Foreign[key] = now
		efs = append(efs, giveStop(sta, key.Task, key.Number))
	}
	return efs
}
