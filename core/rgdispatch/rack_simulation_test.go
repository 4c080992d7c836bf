package rgdispatch

import (
	"fmt"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	rackSize = 8
	// rackCores is the number of tasks of 1.4 cores that run on 16 cores.
	rackCores = 11
	hotRoute  = "hot"
	// noRack is the rack of the sidecars of a fleet without a hot rack.
	noRack = -1
)

type (
	// simRack describes jobs of which many prefer one rack. The zero value means that there are none.
	simRack struct {
		remoteFactor float64
		// share is the part of the jobs of 8 tasks that prefer the rack.
		share float64
		// bursts multiplies the load by 1.7 for 0.4 s out of 2 s.
		bursts bool
		seed   uint64
	}

	// simRackTask is a task that prefers the rack.
	simRackTask struct {
		arrived, started time.Time
		run              time.Duration
		local            bool
	}

	// rackFigures are measured of the tasks that prefer the rack. Of times, they contain the median and the 99th percentile.
	rackFigures struct {
		onTime, local     float64
		waits, runs       [2]time.Duration
		paidOff, returned int
	}
)

func rackName(num int) string { return fmt.Sprintf("rack-%d", num) }

func (rck simRack) burst(since time.Duration) float64 {
	if rck.bursts && since%(2*time.Second) < 400*time.Millisecond {
		return 1.7
	}
	return 1
}

// kind returns the kind of work of a job. With a rack, the routes have the parts of the jobs of deployment 1.
func (rck simRack) kind(sim *simulation) int {
	if rck.remoteFactor == 0 {
		return sim.jobs % 3
	}
	switch at := sim.rnd.Float64() * (206 + 600 + 37.5); {
	case at < 206:
		return 0
	case at < 206+600:
		return 2
	default:
		return 3
	}
}

// prefer makes a part of the jobs of 8 tasks prefer the rack.
func (rck simRack) prefer(sim *simulation, req *Request) {
	if rck.remoteFactor > 0 && req.Steps[0].Count == 8 && sim.rnd.Float64() < rck.share {
		req.Route.Name, req.Steps[0].PreferredLabel = hotRoute, rackName(0)
		sim.rackJobs++
	}
}

// actual returns the run time of a task whose estimate is off by up to 40 %; 3 % of the tasks take seven times as long.
func (rck simRack) actual(sim *simulation, est time.Duration) time.Duration {
	if rck.remoteFactor == 0 {
		return est
	}
	if sim.rnd.Float64() < 0.03 {
		return 7 * est
	}
	return time.Duration((0.6 + 0.8*sim.rnd.Float64()) * float64(est))
}

// newRackTask returns the record of a placed task, or nil if it prefers no rack.
func (rck simRack) newRackTask(ent *simEntry, sc *simSidecar, tsk rgmodel.PlacedTask) *simRackTask {
	jb := ent.sta.Jobs[tsk.Key.Job]
	if jb == nil || jb.Request.Route.Name != hotRoute {
		return nil
	}
	return &simRackTask{arrived: jb.Arrived, local: sc.rack == 0}
}

// rackFigures returns the figures of the tasks that prefer the rack.
func (sim *simulation) rackFigures() rackFigures {
	var fig rackFigures
	var wts, runs []time.Duration
	local := 0
	for _, tsk := range sim.rackTasks {
		wts, runs = append(wts, tsk.started.Sub(tsk.arrived)), append(runs, tsk.run)
		if tsk.local {
			local++
		}
	}
	fig.local = float64(local) / float64(max(1, len(sim.rackTasks)))
	fig.onTime = float64(sim.rackJobsOnTime) / float64(max(1, sim.rackJobs))
	fig.waits, fig.runs = percentiles(wts), percentiles(runs)
	fig.paidOff, fig.returned = sim.rackPaidOff, sim.rackReturned
	return fig
}

// percentiles returns the median and the 99th percentile.
func percentiles(all []time.Duration) [2]time.Duration {
	if len(all) == 0 {
		return [2]time.Duration{}
	}
	slices.Sort(all)
	last := float64(len(all) - 1)
	return [2]time.Duration{all[int(0.5*last)].Round(time.Millisecond), all[int(0.99*last)].Round(time.Millisecond)}
}

// String returns the figures for the log.
func (fig rackFigures) String() string {
	const format = "%.4f of the rack's jobs on time, %.3f of the tasks local, wait p50 %s p99 %s, run p50 %s p99 %s; " +
		"%d waits paid off, %d returned"
	return fmt.Sprintf(format, fig.onTime, fig.local, fig.waits[0], fig.waits[1], fig.runs[0], fig.runs[1], fig.paidOff, fig.returned)
}

// recordWait counts the end of a wait for the rack.
func (rck simRack) recordWait(sim *simulation, wait CountPlaceWait) {
	if wait.PaidOff {
		sim.rackPaidOff++
	} else {
		sim.rackReturned++
	}
}
