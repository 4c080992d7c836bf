package rgdispatch

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

type (
	// choice is a place for one task.
	choice struct {
		conn  ConnID
		step  int
		index int
		// wait is how long the task is expected to wait, left how much time there is then until it is late.
		wait time.Duration
		left time.Duration
	}

	// seat is a sidecar that may run tasks of a step, with the tasks that the plan has given it.
	seat struct {
		conn  ConnID
		mem   *SidecarConn
		run   time.Duration
		count int
		// near says that the sidecar is in the entry's zone.
		near bool
		// last is when the task would end behind all others; snug says that it starts at once and ends early enough.
		last time.Duration
		snug bool
		// left is the room that is free for the task.
		left float64
	}
)

// SidecarTime returns a lower bound of the sidecar's current time. It is too low by the time that the sidecar's last
// message took to arrive.
func SidecarTime(sc *SidecarConn, now time.Time) rgmodel.Instant {
	return sc.SidecarClock.Add(now.Sub(sc.LastReceived))
}

// plan chooses a sidecar for each waiting task of the job: the one on which it is expected to end first. It returns a
// reason if a task has no sidecar, or if the job would end too late, and keeps with the job why.
func plan(sta *State, now time.Time, jb *Job) ([]choice, rgmodel.Reason) {
	var pln []choice
	taken := map[ConnID]float64{}
	for i := range jb.Tasks {
		stp := jb.Request.Steps[i]
		sts := seats(sta, now, jb, stp)
		for j := range jb.Tasks[i] {
			tsk := &jb.Tasks[i][j]
			if tsk.State != TaskWaiting {
				continue
			}
			sea, dly := best(now, jb, stp, sts, tsk, taken)
			if sea == nil {
				return nil, missing(sta, jb, stp)
			}
			end := dly + sea.run + networkTime
			if dly > 0 && now.Add(end).After(latest(jb)) {
				jb.LateEstimate = LateEstimate{Sidecar: sea.mem.Name, Wait: dly, Run: sea.run, ReportAge: now.Sub(sea.mem.ReportedAt)}
				return nil, rgmodel.ReasonExpectedWait
			}
			sea.count++
			taken[sea.conn] += stp.Needs.Cores
			pln = append(pln, choice{conn: sea.conn, step: i, index: j, wait: dly, left: jb.SoftDeadline.Sub(now) - end})
		}
	}
	return pln, ""
}

// latest returns when the job may be expected to end to be worth running. A job that has begun is finished as long as its
// caller waits.
func latest(jb *Job) time.Time {
	if jb.MayHaveRun {
		return jb.Deadline
	}
	tol := time.Duration(lateTolerance * float64(jb.SoftDeadline.Sub(jb.Arrived)))
	if end := jb.Arrived.Add(tol); end.Before(jb.Deadline) {
		return end
	}
	return jb.Deadline
}

func seats(sta *State, now time.Time, jb *Job, stp Step) []*seat {
	var sts []*seat
	for con, sc := range sta.Sidecars {
		if sc.Report.Usable && !now.After(sc.LostAt) && runnable(sc, jb, stp) {
			sts = append(sts, &seat{conn: con, mem: sc, run: runTime(sta, stp, sc), near: isNear(sta, sc)})
		}
	}
	// The order of a map would make plans differ from run to run.
	slices.SortFunc(sts, func(one, two *seat) int { return int(one.conn) - int(two.conn) })
	return sts
}

// runnable says whether the sidecar's executor may ever run the step.
func runnable(sc *SidecarConn, jb *Job, stp Step) bool {
	return sc.Executor.Service == jb.Request.Route.Service && !sc.Executor.Draining &&
		stp.Needs.Fits(sc.Executor.Capacity) &&
		(stp.RequiredLabel == "" || slices.Contains(sc.Executor.Labels, stp.RequiredLabel))
}

// missing tells a step that no executor can run from one that no executor can run now.
func missing(sta *State, jb *Job, stp Step) rgmodel.Reason {
	for _, sc := range sta.Sidecars {
		// A sidecar that has just started may not know its executor yet.
		if sc.Executor.Service == "" || runnable(sc, jb, stp) {
			return rgmodel.ReasonNoUpstream
		}
	}
	return rgmodel.ReasonNeverRunnable
}

// best prefers executors that start the task at once and are fast enough, and of these a slow one, so that fast ones stay
// free for tasks that need them. Otherwise it takes the one on which the task would end first if it went behind all
// others: an urgent task that overtakes a queue delays everything in it. It returns how long the task is expected to wait.
func best(now time.Time, jb *Job, stp Step, sts []*seat, tsk *Task, taken map[ConnID]float64) (*seat, time.Duration) {
	var found *seat
	goal := jb.SoftDeadline.Sub(now)
	snugGoal := time.Duration(snugShare * float64(goal))
	safe := time.Duration(float64(jb.Deadline.Sub(now)) / deadlineMargin)
	for _, sea := range sts {
		if tsk.AvoidedSidecars[sea.mem.Name] && len(tsk.AvoidedSidecars) < len(sts) {
			continue
		}
		if stp.AntiAffinity > 0 && sea.count+placedOn(jb, stp, sea.conn) >= stp.AntiAffinity {
			continue
		}
		own := sea.run + networkTime
		sea.left = free(sea, taken[sea.conn])
		sea.last = wait(now, sea, sea.mem.Report.MaxExpectedWait(), stp.Needs.Cores) + own
		sea.snug = sea.last == own && own <= snugGoal && own <= safe
		if found == nil || suits(sea, found) {
			found = sea
		}
	}
	if found == nil {
		return nil, 0
	}
	own := found.run + networkTime
	return found, wait(now, found, found.mem.Report.ExpectedWait(goal-own), stp.Needs.Cores)
}

// suits says whether the first sidecar is a better place than the second one. Of executors that are about as slow, the
// less busy one is better: its sidecar has fewer orders to give.
func suits(one, two *seat) bool {
	switch {
	case one.snug != two.snug:
		return one.snug
	case !one.snug:
		return one.last+distance(one) < two.last+distance(two)
	case one.near != two.near:
		return one.near
	case float64(one.run) > similarRun*float64(two.run):
		return true
	case float64(two.run) > similarRun*float64(one.run):
		return false
	case one.count != two.count:
		return one.count < two.count
	default:
		return busy(one) < busy(two)
	}
}

// distance returns how much earlier a task has to end in another zone to be placed there.
func distance(sea *seat) time.Duration {
	if sea.near {
		return 0
	}
	return distantCost
}

// busy returns the part of the sidecar's room that is taken, as far as this entry knows.
func busy(sea *seat) float64 {
	return 1 - sea.left/max(sea.mem.Report.Allocatable.Cores, 1)
}

// free returns the cores that are free at the sidecar, less those that this entry has taken since its last report.
func free(sea *seat, taken float64) float64 {
	left := sea.mem.Report.Allocatable.Cores - sea.mem.Report.Used.Cores - taken
	for _, urt := range sea.mem.Unreported {
		left -= urt.Cores
	}
	return left
}

func placedOn(jb *Job, stp Step, con ConnID) int {
	sum := 0
	for i, tsks := range jb.Tasks {
		if jb.Request.Steps[i].AntiAffinity != stp.AntiAffinity {
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

// wait returns how long a task is expected to wait for room at the sidecar, given what its last report says.
func wait(now time.Time, sea *seat, reported time.Duration, cores float64) time.Duration {
	base := max(0, reported-now.Sub(sea.mem.ReportedAt))
	if sea.left >= cores {
		return base
	}
	// What is beyond the room waits until as many cores have been released, on average one room in a run time.
	return base + time.Duration((cores-sea.left)/max(sea.mem.Report.Allocatable.Cores, 1)*float64(sea.run))
}
