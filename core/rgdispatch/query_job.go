package rgdispatch

import (
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// refusalReason returns the reason why a job is refused regardless of the load, or an empty reason.
func refusalReason(sta *State, now time.Time, jb *Job) rgmodel.Reason {
	switch req := jb.Request; {
	case isNeverRunnable(req):
		return rgmodel.ReasonNeverRunnable
	case !sta.ResumedAt.IsZero() && (now.Sub(sta.ResumedAt) < suspensionRefusalTime || receivedBefore(req, sta.ResumedAt)):
		return rgmodel.ReasonNotReady
	case outlastsDrain(sta, now, req):
		return rgmodel.ReasonDraining
	case !now.Before(jb.Deadline):
		return rgmodel.ReasonExpired
	default:
		return ""
	}
}

// outlastsDrain reports whether the entry shuts down before the job is expected to end, even on the fastest executor.
func outlastsDrain(sta *State, now time.Time, req Request) bool {
	if sta.Drained || sta.DrainEndsBy.IsZero() {
		return sta.Drained
	}
	run := time.Duration(fastestSlowdown(sta) * float64(criticalPath(req.Steps)))
	return now.Add(run).After(sta.DrainEndsBy)
}

// isNeverRunnable reports whether no entry could ever run the job.
func isNeverRunnable(req Request) bool { return req.Unsupported != "" || req.Route.ExternallyPlaced }

// receivedBefore reports whether the request is known to have been received before that time.
func receivedBefore(req Request, at time.Time) bool {
	return !req.Received.IsZero() && req.Received.Before(at)
}

// mayWaitForSidecars reports whether a job that cannot be placed now may wait: the process started or was suspended so recently
// that its sidecars may not all be connected, and the job can still be on time. Jobs that will be late would only delay the
// others.
func mayWaitForSidecars(sta *State, now time.Time, jb *Job) bool {
	startingUp := now.Sub(sta.StartedAt) < startupTime || now.Sub(sta.ResumedAt) < startupTime
	return startingUp && !now.Add(criticalPath(jb.Request.Steps)).After(latestEndOnceAdmitted(jb))
}

// UnplacedJobs returns the jobs of which a task waits, or may still run on a lost sidecar and will be placed again after that.
func UnplacedJobs(sta *State) []*Job {
	var jbs []*Job
	for _, jb := range sta.Jobs {
		if anyTask(jb, func(tsk Task) bool { return tsk.State == TaskWaiting || tsk.State == TaskUnknown }) {
			jbs = append(jbs, jb)
		}
	}
	return jbs
}

// JobsToPlace returns the jobs of which tasks may be placed because of a sidecar's report, which may be nil, or because of ends.
func JobsToPlace(sta *State, now time.Time, con SidecarConnID, rep *rgmodel.ExecutorReport, ends []rgmodel.TaskEnd) []*Job {
	sc := sta.Sidecars[con]
	if sc == nil {
		return nil
	}
	if rep != nil && (becomesUsable(sc, *rep) || rep.EarlierRunsEnded && mayHaveUnknownTasks(sta, now)) {
		return append(UnplacedJobs(sta), jobsOfEnds(sta, sc, ends)...)
	}
	return jobsOfEnds(sta, sc, ends)
}

// becomesUsable reports whether a report is the first one by which the sidecar can take tasks.
func becomesUsable(sc *SidecarConn, rep rgmodel.ExecutorReport) bool {
	return rep.Usable && !sc.Report.Usable
}

// jobsOfEnds returns the jobs of which tasks may be placed because of ends, each job once. A success leads to no placement unless
// another step depends on it.
func jobsOfEnds(sta *State, sc *SidecarConn, ends []rgmodel.TaskEnd) []*Job {
	var jbs []*Job
	for _, end := range ends {
		jb := sta.Jobs[sc.Placed[end.Ticket].Job]
		if jb == nil || end.Status == rgmodel.EndSucceeded && !hasStepToCreate(jb) || slices.Contains(jbs, jb) {
			continue
		}
		jbs = append(jbs, jb)
	}
	return jbs
}

// hasStepToCreate reports whether a step of the job depends on others that are not done.
func hasStepToCreate(jb *Job) bool {
	return slices.ContainsFunc(jb.Tasks, func(tsks []Task) bool { return tsks == nil })
}

// isLost reports whether a silent sidecar is considered lost.
func isLost(sc *SidecarConn, now time.Time) bool {
	return now.After(sc.LostAt) && (len(sc.Placed) == 0 || now.Sub(sc.LastReceived) > maxSilenceWithTasks)
}

// timeToSoftDeadline returns how long the job may take and still be on time, based on its estimates.
func timeToSoftDeadline(req Request) time.Duration {
	fac := max(req.Route.SlackFactor, 1)
	return time.Duration(fac*float64(criticalPath(req.Steps))) + req.Route.LatencyAllowance
}

// criticalPath returns the estimated run time of the longest chain of dependent steps.
func criticalPath(stps []Step) time.Duration {
	ends := make([]time.Duration, len(stps))
	longest := time.Duration(0)
	// Steps depend only on earlier ones, so one pass is enough.
	for i, stp := range stps {
		from := time.Duration(0)
		for _, j := range stp.DependsOn {
			from = max(from, ends[j])
		}
		ends[i] = from + stp.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

func isStepReady(jb *Job, stp Step) bool {
	for _, i := range stp.DependsOn {
		if !isStepDone(jb.Tasks[i]) {
			return false
		}
	}
	return true
}

func isStepDone(tsks []Task) bool {
	for _, tsk := range tsks {
		if tsk.State != TaskDone {
			return false
		}
	}
	return tsks != nil
}

func isJobDone(jb *Job) bool {
	for _, tsks := range jb.Tasks {
		if !isStepDone(tsks) {
			return false
		}
	}
	return true
}

func hasWaiting(jb *Job) bool {
	return anyTask(jb, func(tsk Task) bool { return tsk.State == TaskWaiting })
}

// hasOutstanding reports whether a task of the job may be running.
func hasOutstanding(jb *Job) bool {
	return anyTask(jb, func(tsk Task) bool { return tsk.State == TaskPlaced || tsk.State == TaskUnknown })
}

// runsEndedBy returns the time by which all runs of a job that is cancelled now have ended. LastEvent is the current time, because
// DetectSuspension is called before every command.
func runsEndedBy(sta *State, jb *Job) time.Time {
	var latest time.Time
	for _, tsks := range jb.Tasks {
		for _, tsk := range tsks {
			var by time.Time
			switch tsk.State {
			case TaskPlaced:
				by = sta.LastEvent.Add(sta.Limits.MaxRunTimeAfterCancel)
			case TaskUnknown:
				by = tsk.EndedBy
			default:
				continue
			}
			if by.After(latest) {
				latest = by
			}
		}
	}
	return latest
}

func anyTask(jb *Job, match func(Task) bool) bool {
	for _, tsks := range jb.Tasks {
		for _, tsk := range tsks {
			if match(tsk) {
				return true
			}
		}
	}
	return false
}

// willMissDeadline reports whether a waiting or unknown task cannot end before the deadline of the job, even on the fastest
// executor.
func willMissDeadline(sta *State, now time.Time, jb *Job) bool {
	// minFraction is the fraction of the run time on the fastest executor that must fit before the deadline. It allows for
	// estimates that are too long.
	const minFraction = 0.5
	fastest := fastestSlowdown(sta)
	for i, tsks := range jb.Tasks {
		need := time.Duration(minFraction * fastest * float64(jb.Request.Steps[i].Estimate))
		for _, tsk := range tsks {
			from := now
			switch tsk.State {
			case TaskUnknown:
				from = tsk.EndedBy
			case TaskWaiting:
			default:
				continue
			}
			if from.Add(need).After(jb.Deadline) {
				return true
			}
		}
	}
	return false
}

// fastestSlowdown returns the lowest learned ratio of run times to estimates of all sidecars, at most 1.
func fastestSlowdown(sta *State) float64 {
	fastest := 1.0
	for _, sc := range sta.Sidecars {
		if sc.Report.Slowdown > 0 {
			fastest = min(fastest, sc.Report.Slowdown)
		}
	}
	return fastest
}

// LookupJob reports whether a job is in progress and whether a task of it may have run.
func LookupJob(sta *State, id string) (mayHaveRun, known bool) {
	jb := sta.Jobs[id]
	if jb == nil {
		return false, false
	}
	return jb.MayHaveRun || hasOutstanding(jb), true
}

// PendingJobs returns the number of jobs of the route without a task that is placed or may have run.
func PendingJobs(sta *State, route string) int {
	sum := 0
	for _, jb := range sta.Jobs {
		if jb.Request.Route.Name == route && !jb.MayHaveRun && !hasOutstanding(jb) {
			sum++
		}
	}
	return sum
}

func newDetail(now time.Time, jb *Job) Detail {
	det := Detail{
		Route: jb.Request.Route.Name, TimeLeft: jb.Deadline.Sub(now), Overdue: now.Sub(jb.SoftDeadline),
		Estimate:     criticalPath(jb.Request.Steps),
		Silence:      jb.Request.Silence,
		LateEstimate: jb.LateEstimate, UnrefusedStarts: jb.UnrefusedStarts,
	}
	sidecars := map[string]bool{}
	for _, tsks := range jb.Tasks {
		det.Tasks += len(tsks)
		for _, tsk := range tsks {
			det.Failures += tsk.Failures
			switch tsk.State {
			case TaskDone:
				det.Done++
			case TaskPlaced:
				det.Placed++
			case TaskUnknown:
				det.Unknown++
				// A task that may run because of an earlier submission has no sidecar here.
				if tsk.Sidecar != "" {
					sidecars[tsk.Sidecar] = true
				}
			}
			for nam := range tsk.AvoidedSidecars {
				sidecars[nam] = true
			}
		}
	}
	det.Sidecars = slices.Sorted(maps.Keys(sidecars))
	return det
}
