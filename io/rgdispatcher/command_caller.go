package rgdispatcher

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgserver"
)

// hasLeft reports whether the caller is known to have left.
func (cal Caller) hasLeft() bool { return cal.Context != nil && rgserver.CallerLeft(cal.Context) }

// detectSuspension ends the jobs whose callers have left while the process was suspended.
func (pro *Process) detectSuspension(sta *State, now time.Time) {
	if rgdispatch.DetectSuspension(&sta.Dispatch, now) {
		pro.endLeftCallers(sta, now, slices.Collect(maps.Values(sta.Dispatch.Jobs)))
	}
}

// checkJobs checks the deadlines of the jobs and the silence of the sidecars, and places waiting tasks.
func (pro *Process) checkJobs(sta *State, now time.Time) {
	pro.endLeftCallers(sta, now, rgdispatch.UnplacedJobs(&sta.Dispatch))
	pro.perform(sta, now, rgdispatch.Tick(&sta.Dispatch, now))
}

// endLeftCallers ends those of the jobs whose callers have left. It is called before tasks of the jobs may be placed, because the
// request of a caller that has left may not have ended yet.
func (pro *Process) endLeftCallers(sta *State, now time.Time, jbs []*rgdispatch.Job) {
	for _, jb := range jbs {
		if sta.Callers[jb.Caller].hasLeft() {
			pro.disconnectCaller(sta, now, jb.Caller, jb.Request.ID)
		}
	}
}

// disconnectCaller ends the job of a caller that no longer waits.
func (pro *Process) disconnectCaller(sta *State, now time.Time, cid rgdispatch.CallerID, job string) {
	if jb := sta.Dispatch.Jobs[job]; jb != nil && jb.Caller == cid {
		mayHaveRun, _ := rgdispatch.LookupJob(&sta.Dispatch, job)
		pro.log.Info("caller of a job in progress has left", zap.String("job", job), zap.Duration("took", now.Sub(jb.Arrived)),
			zap.Bool("mayHaveRun", mayHaveRun), zap.Duration("silence", jb.Request.Silence))
	}
	if cal, waits := sta.Callers[cid]; waits {
		delete(sta.Callers, cid)
		cal.Reply <- rgdispatch.SendAnswer{Caller: cid, Job: job, Verdict: rgmodel.MayHaveRun, Reason: rgmodel.ReasonCallerLeft}
	}
	pro.perform(sta, now, rgdispatch.HandleCallerDisconnect(&sta.Dispatch, cid, job))
}
