package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Tick stops what has run out of time, sends unanswered stops again, and gives up runs whose lease has surely lapsed.
func Tick(sta *State, now time.Time) []Effect {
	var efs []Effect
	if len(sta.Runs) > 0 && lapsed(sta, now) {
		efs = append(efs, refence(sta, now, rgmodel.ReasonUpstreamUnreachable, lossEnded{})...)
	}
	silent := map[ConnID]bool{}
	for id, con := range sta.Conns {
		silent[id] = now.Sub(con.LastAlive) > MaxSilence(sta)
	}
	efs = append(efs, drop(sta, now, rgmodel.ReasonConnectionLost, func(asg Assignment) bool { return silent[asg.Conn] })...)
	efs = append(efs, expire(sta, now)...)
	for _, run := range sta.Runs {
		efs = append(efs, attend(sta, now, run)...)
	}
	for tsk, num := range sta.RunNumbers {
		if now.Sub(num.LastUsed) > numberMemory {
			delete(sta.RunNumbers, tsk)
		}
	}
	decaySlowdown(sta)
	efs = append(efs, resolve(sta, now)...)
	return append(efs, proceed(sta, now)...)
}

// expire returns queued tasks that can no longer end before their deadline, and those that are late and have waited long.
func expire(sta *State, now time.Time) []Effect {
	var efs []Effect
	kept := sta.Queue[:0]
	for _, asg := range sta.Queue {
		if hopeless(sta, now, asg) {
			efs = append(efs, tell(sta, asg, rgmodel.EndReturned, rgmodel.ReasonExpired, 0))
			continue
		}
		if latestStart(sta, asg).Before(now) && now.Sub(asg.Queued) >= queuePatience {
			efs = append(efs, tell(sta, asg, rgmodel.EndReturned, rgmodel.ReasonExpectedWait, 0))
			continue
		}
		kept = append(kept, asg)
	}
	sta.Queue = kept
	return efs
}

func attend(sta *State, now time.Time, run *Run) []Effect {
	switch {
	case run.State == RunStopping:
		if run.StopConfirmed.IsZero() && now.Sub(run.StopSent) >= stopRetry {
			return sendStop(sta, now, run)
		}
	case now.After(run.Assignment.Deadline):
		return stop(sta, now, run, rgmodel.ReasonDeadlineExceeded)
	case run.State == RunRunning && now.Sub(run.Started) > hangFactor*expected(sta, run.Assignment)+hangSlack:
		efs := stop(sta, now, run, rgmodel.ReasonUpstreamTimeout)
		if hang(&sta.Health, now) {
			efs = append(efs, returnQueue(sta, rgmodel.ReasonUpstreamTimeout)...)
		}
		return efs
	}
	return nil
}
