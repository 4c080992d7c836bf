package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Tick stops runs that are past their deadline, hung or placed by a silent entry, resends unconfirmed stops, and reports
// all runs as lost once the lease has certainly expired.
func Tick(sta *State, now time.Time) []Effect {
	var efs []Effect
	if len(sta.Runs) > 0 && leaseExpired(sta, now) {
		efs = append(efs, retakeControl(sta, now, rgmodel.ReasonUpstreamUnreachable, lossLeaseExpired{})...)
	}
	efs = append(efs, returnSilent(sta, now)...)
	efs = append(efs, stopMatching(sta, now, rgmodel.ReasonConnectionLost, func(act AcceptedTask) bool {
		return isSilent(sta, now, act.Conn)
	})...)
	efs = append(efs, expireQueued(sta, now)...)
	for _, run := range sta.Runs {
		efs = append(efs, checkRun(sta, now, run)...)
	}
	expireRunNumbers(sta, now)
	decaySlowdown(sta)
	efs = append(efs, reportEndedOrphans(sta, now)...)
	return append(efs, startQueued(sta, now)...)
}

// expireRunNumbers forgets the run numbers that were not used for a while. Those of runs that go on are in use.
func expireRunNumbers(sta *State, now time.Time) {
	for tsk, num := range sta.RunNumbers {
		switch {
		case sta.Runs[tsk] != nil:
			sta.RunNumbers[tsk] = RunNumber{Highest: num.Highest, LastUsed: now}
		case now.Sub(num.LastUsed) > runNumberTTL:
			delete(sta.RunNumbers, tsk)
		}
	}
}

// returnSilent returns the queued tasks of silent entries.
func returnSilent(sta *State, now time.Time) []Effect {
	var efs []Effect
	kept := sta.Queue[:0]
	for _, act := range sta.Queue {
		if isSilent(sta, now, act.Conn) {
			efs = append(efs, returnTask(sta, act, rgmodel.ReasonConnectionLost))
			continue
		}
		kept = append(kept, act)
	}
	sta.Queue = kept
	return efs
}

// expireQueued returns queued tasks that will miss their deadline, and those that are too late to be useful and have been queued for too
// long.
func expireQueued(sta *State, now time.Time) []Effect {
	var efs []Effect
	kept := sta.Queue[:0]
	for _, act := range sta.Queue {
		if willMissDeadline(sta, now, act) {
			efs = append(efs, returnTask(sta, act, rgmodel.ReasonExpired))
			continue
		}
		if _, useful := latestUsefulStart(sta, now, act); !useful && now.Sub(act.Queued) >= maxLateQueueTime {
			efs = append(efs, returnTask(sta, act, rgmodel.ReasonExpectedWait))
			continue
		}
		kept = append(kept, act)
	}
	sta.Queue = kept
	return efs
}

func checkRun(sta *State, now time.Time, run *Run) []Effect {
	switch {
	case run.State == RunStopping:
		if run.StopConfirmed.IsZero() && now.Sub(run.StopSent) >= stopRetryInterval {
			return sendStop(sta, now, run)
		}
	case now.After(run.AcceptedTask.Deadline):
		return stopRun(sta, now, run, rgmodel.ReasonDeadlineExceeded)
	case isHung(sta, now, run):
		efs := stopRun(sta, now, run, rgmodel.ReasonUpstreamTimeout)
		if recordHungRun(&sta.Health, now) {
			efs = append(efs, returnQueue(sta, rgmodel.ReasonUpstreamTimeout)...)
		}
		return efs
	}
	return nil
}
