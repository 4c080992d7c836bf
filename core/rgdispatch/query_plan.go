package rgdispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
)

type (
	// plannedTask is the placement of one task in a plan.
	plannedTask struct {
		conn  SidecarConnID
		step  int
		index int
		// wait is the expected wait, and slack the time between the expected end and the soft deadline.
		wait  time.Duration
		slack time.Duration
		// worthwhileWait is how long the task may wait for a preferred place; zero if it does not wait for one.
		worthwhileWait time.Duration
		// maxQueueTime is the time in the queue after which the task is returned; zero means no bound.
		maxQueueTime time.Duration
	}

	// candidate is a sidecar that can run tasks of a step.
	candidate struct {
		conn    SidecarConnID
		sidecar *SidecarConn
		runTime time.Duration
		// planned is the number of tasks of the step that the plan places on the sidecar.
		planned int
		// sameZone is set if the sidecar is in the zone of the entry.
		sameZone bool
		// endIfLast is the time until the task would end if it were queued behind all others.
		endIfLast time.Duration
		// suitable is set if the task would start at once and end early enough.
		suitable bool
		// freeCores is the number of cores that are free for the task.
		freeCores float64
	}
)

// EstimateSidecarTime returns a lower bound of the sidecar's current time. It lags by the time that the sidecar's last message
// took to arrive.
func EstimateSidecarTime(sc *SidecarConn, now time.Time) rgmodel.SidecarTime {
	return sc.SidecarClock.Add(now.Sub(sc.LastReceived))
}

// plan chooses a sidecar for each waiting task of the job. It returns a reason if no sidecar can run a task or if the job
// would end too late, and in that case stores the estimate in the job.
func plan(sta *State, now time.Time, jb *Job) ([]plannedTask, rgmodel.Reason) {
	var pln []plannedTask
	allocated := map[SidecarConnID]float64{}
	for i := range jb.Tasks {
		stp := jb.Request.Steps[i]
		pln = slices.Grow(pln, len(jb.Tasks[i]))
		grp := groupByPlace(sta, stp, findCandidates(sta, now, jb, stp))
		for j := range jb.Tasks[i] {
			tsk := &jb.Tasks[i][j]
			if tsk.State != TaskWaiting {
				continue
			}
			chn := choosePlace(now, jb, stp, grp, tsk, allocated)
			cnd, dly := chn.candidate, chn.wait
			if cnd == nil {
				return nil, unplaceableReason(sta, jb, stp)
			}
			end := dly + cnd.runTime + networkOverhead
			if dly > 0 && now.Add(end).After(latestEnd(jb)) {
				jb.LateEstimate = LateEstimate{
					Sidecar: cnd.sidecar.Name, Wait: dly, Run: cnd.runTime, ReportAge: now.Sub(cnd.sidecar.ReportedAt),
				}
				return nil, rgmodel.ReasonExpectedWait
			}
			cnd.planned++
			allocated[cnd.conn] += stp.Requires.Cores
			pln = append(pln, plannedTask{
				conn: cnd.conn, step: i, index: j, wait: dly, slack: jb.SoftDeadline.Sub(now) - end,
				worthwhileWait: chn.worthwhileWait, maxQueueTime: chn.maxQueueTime,
			})
		}
	}
	return pln, ""
}

// findCandidates returns sidecars that can run tasks of the step: all of them in a small view, and else a sample that differs
// between jobs, so that the cost of a job does not grow with the view.
func findCandidates(sta *State, now time.Time, jb *Job, stp Step) []*candidate {
	size := min(rgplacement.SampleSize(stp.Count), len(sta.Order))
	cnds := make([]*candidate, 0, size)
	first := int(xxhash.Sum64String(jb.Request.ID) % uint64(max(1, len(sta.Order))))
	for i := range sta.Order {
		con := sta.Order[(first+i)%len(sta.Order)]
		sc := sta.Sidecars[con]
		if sc.Report.Usable && !now.After(sc.LostAt) && !isEvacuated(sta, sc) && canRun(sc, jb, stp) {
			cnds = append(cnds, &candidate{conn: con, sidecar: sc, runTime: runTime(sta, stp, sc), sameZone: inSameZone(sta, sc)})
		}
		if len(cnds) == size {
			break
		}
	}
	return cnds
}

// canRun reports whether the sidecar's executor can run tasks of the step, regardless of its load.
func canRun(sc *SidecarConn, jb *Job, stp Step) bool {
	return sc.Executor.Service == jb.Request.Route.Service && !sc.Executor.Draining &&
		stp.Requires.Fits(sc.Executor.Capacity) && sc.Executor.HasLabel(stp.RequiredLabel)
}

// unplaceableReason distinguishes a step that no executor can ever run from one that no executor can run now, and from one that only
// executors in evacuated zones can run.
func unplaceableReason(sta *State, jb *Job, stp Step) rgmodel.Reason {
	rsn := rgmodel.ReasonNeverRunnable
	for _, sc := range sta.Sidecars {
		// A sidecar that has just started may not know its executor yet.
		if sc.Executor.Service != "" && !canRun(sc, jb, stp) {
			continue
		}
		if !isEvacuated(sta, sc) {
			return rgmodel.ReasonNoUpstream
		}
		rsn = rgmodel.ReasonZoneEvacuated
	}
	return rsn
}

// bestCandidate prefers executors that start the task at once and are fast enough, and among these the slowest ones, so that
// fast executors stay free for tasks that need them. Otherwise it chooses the one on which the task would end first if it
// were queued behind all others, because an urgent task that overtakes a queue delays all tasks in it. It also returns the
// expected wait of the task.
func bestCandidate(
	now time.Time, jb *Job, stp Step, cnds []*candidate, tsk *Task, allocated map[SidecarConnID]float64,
) (*candidate, time.Duration) {
	var found *candidate
	timeLeft := jb.SoftDeadline.Sub(now)
	softLimit := time.Duration(softDeadlineFraction * float64(timeLeft))
	hardLimit := time.Duration(float64(jb.Deadline.Sub(now)) / deadlineMargin)
	for _, cnd := range cnds {
		if tsk.AvoidedSidecars[cnd.sidecar.Name] && len(tsk.AvoidedSidecars) < len(cnds) {
			continue
		}
		if stp.MaxPerExecutor > 0 && cnd.planned+placedOn(jb, stp, cnd.conn) >= stp.MaxPerExecutor {
			continue
		}
		noWait := cnd.runTime + networkOverhead
		cnd.freeCores = freeCores(cnd, allocated[cnd.conn])
		cnd.endIfLast = expectedWait(now, cnd, cnd.sidecar.Report.MaxExpectedWait(), stp.Requires.Cores) + noWait
		cnd.suitable = cnd.endIfLast == noWait && noWait <= softLimit && noWait <= hardLimit
		if found == nil || isBetter(cnd, found) {
			found = cnd
		}
	}
	if found == nil {
		return nil, 0
	}
	noWait := found.runTime + networkOverhead
	return found, expectedWait(now, found, found.sidecar.Report.ExpectedWait(timeLeft-noWait), stp.Requires.Cores)
}

// isBetter reports whether the first sidecar is a better choice than the second one. Among executors of similar speed, the
// one with fewer tasks in the plan is better, and then the less utilized one, because its sidecar has fewer orders to send.
func isBetter(one, two *candidate) bool {
	switch {
	case one.suitable != two.suitable:
		return one.suitable
	case !one.suitable:
		return one.endIfLast+penaltyOf(one) < two.endIfLast+penaltyOf(two)
	case one.sameZone != two.sameZone:
		return one.sameZone
	case float64(one.runTime) > similarRunFactor*float64(two.runTime):
		return true
	case float64(two.runTime) > similarRunFactor*float64(one.runTime):
		return false
	case one.planned != two.planned:
		return one.planned < two.planned
	default:
		return utilization(one) < utilization(two)
	}
}

// penaltyOf returns how much earlier a task has to end on the candidate to be placed there: zonePenalty in another zone,
// nothing in the zone of the entry.
func penaltyOf(cnd *candidate) time.Duration {
	if cnd.sameZone {
		return 0
	}
	return zonePenalty
}

// utilization returns the used fraction of the sidecar's allocatable cores, according to the last report and the tasks
// placed since.
func utilization(cnd *candidate) float64 {
	return 1 - cnd.freeCores/max(cnd.sidecar.Report.Allocatable.Cores, 1)
}

// freeCores returns the free cores according to the sidecar's last report, minus those that this entry has allocated since.
func freeCores(cnd *candidate, allocated float64) float64 {
	cores := cnd.sidecar.Report.Allocatable.Cores - cnd.sidecar.Report.Used.Cores - allocated
	for _, urt := range cnd.sidecar.Unreported {
		cores -= urt.Cores
	}
	return cores
}

func placedOn(jb *Job, stp Step, con SidecarConnID) int {
	sum := 0
	for i, tsks := range jb.Tasks {
		if jb.Request.Steps[i].MaxPerExecutor != stp.MaxPerExecutor {
			continue
		}
		for _, tsk := range tsks {
			if tsk.State == TaskPlaced && tsk.Conn == con {
				sum++
			}
		}
	}
	return sum
}

// expectedWait returns how long a task is expected to wait for free cores at the sidecar, based on a wait in its last report.
func expectedWait(now time.Time, cnd *candidate, reported time.Duration, cores float64) time.Duration {
	base := max(0, reported-now.Sub(cnd.sidecar.ReportedAt))
	if cnd.freeCores >= cores {
		return base
	}
	// The missing cores have to be released first. On average, all allocatable cores are released once per run time.
	return base + time.Duration((cores-cnd.freeCores)/max(cnd.sidecar.Report.Allocatable.Cores, 1)*float64(cnd.runTime))
}
