package rgdispatch

import (
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// refusal returns why a job cannot be admitted whatever the load, or an empty reason.
func refusal(sta *State, now time.Time, req Request) rgmodel.Reason {
	switch {
	case req.Unsupported != "", req.Route.ExternallyPlaced:
		return rgmodel.ReasonNeverRunnable
	case !sta.ResumedAt.IsZero() && now.Sub(sta.ResumedAt) < resumeWait:
		return rgmodel.ReasonNotReady
	default:
		return ""
	}
}

// objective returns how long the job may take to be in time, by its estimates.
func objective(req Request) time.Duration {
	str := max(req.Route.SlackFactor, 1)
	return time.Duration(str*float64(chain(req.Steps))) + req.Route.SLO
}

// chain returns the longest chain of work through the steps.
func chain(stps []Step) time.Duration {
	ends := make([]time.Duration, len(stps))
	longest := time.Duration(0)
	// Steps name earlier ones only, so that one pass is enough.
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

func ready(jb *Job, stp Step) bool {
	for _, i := range stp.DependsOn {
		if !stepDone(jb.Tasks[i]) {
			return false
		}
	}
	return true
}

func stepDone(tsks []Task) bool {
	for _, tsk := range tsks {
		if tsk.State != TaskDone {
			return false
		}
	}
	return tsks != nil
}

func done(jb *Job) bool {
	for _, tsks := range jb.Tasks {
		if !stepDone(tsks) {
			return false
		}
	}
	return true
}

func waiting(jb *Job) bool {
	return anyTask(jb, func(tsk Task) bool { return tsk.State == TaskWaiting })
}

// outstanding says whether a task may be running.
func outstanding(jb *Job) bool {
	return anyTask(jb, func(tsk Task) bool { return tsk.State == TaskPlaced || tsk.State == TaskHeld })
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

// hopeless says whether the job's waiting or held tasks cannot end before its deadline, even on the fastest sidecar.
func hopeless(sta *State, now time.Time, jb *Job) bool {
	// leastShare allows for estimates that are too long.
	const leastShare = 0.5
	fastest := 1.0
	for _, sc := range sta.Sidecars {
		if sc.Report.Slowdown > 0 {
			fastest = min(fastest, sc.Report.Slowdown)
		}
	}
	for i, tsks := range jb.Tasks {
		need := time.Duration(leastShare * fastest * float64(jb.Request.Steps[i].Estimate))
		for _, tsk := range tsks {
			from := now
			switch tsk.State {
			case TaskHeld:
				from = tsk.HeldUntil
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

// JobState says whether a job is in progress, and whether a task of it may have run.
func JobState(sta *State, id string) (running, known bool) {
	jb := sta.Jobs[id]
	if jb == nil {
		return false, false
	}
	return jb.MayHaveRun || outstanding(jb), true
}

// PendingJobs returns the number of jobs of the route for which no task has been placed.
func PendingJobs(sta *State, route string) int {
	sum := 0
	for _, jb := range sta.Jobs {
		if jb.Request.Route.Name == route && !jb.MayHaveRun && !outstanding(jb) {
			sum++
		}
	}
	return sum
}

func describe(now time.Time, jb *Job) Detail {
	det := Detail{
		Route: jb.Request.Route.Name, TimeLeft: jb.Deadline.Sub(now), Overdue: now.Sub(jb.SoftDeadline), Estimate: chain(jb.Request.Steps),
		LateEstimate: jb.LateEstimate,
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
			case TaskHeld:
				det.Held++
				sidecars[tsk.Sidecar] = true
			}
			for nam := range tsk.AvoidedSidecars {
				sidecars[nam] = true
			}
		}
	}
	det.Sidecars = slices.Sorted(maps.Keys(sidecars))
	return det
}
