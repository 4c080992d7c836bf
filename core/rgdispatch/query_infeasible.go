package rgdispatch

import (
	"math"
	"time"
)

const (
	// minRunFactor and runFactorRange describe the run times of tasks relative to their estimates, which are off by up to 40 %.
	minRunFactor   = 0.6
	runFactorRange = 0.8
	// minChance is the probability of ending in time below which a job is not started.
	minChance = 0.05
)

// cannotEndInTime reports whether the job would miss its deadline almost certainly, even without waiting on the fastest executor. All
// tasks of a step have to end, so the more tasks it has, the closer its run time is to the longest one.
func cannotEndInTime(sta *State, now time.Time, jb *Job) bool {
	left := jb.Deadline.Sub(now)
	// The time to the soft deadline is at least the estimate of the critical path. Most jobs have enough time, which shows without a look
	// at their steps and at each sidecar.
	if time.Duration((minRunFactor+runFactorRange)*float64(jb.SoftDeadline.Sub(jb.Arrived))) <= left {
		return false
	}
	need := criticalPath(withShortRunTimes(jb.Request.Steps))
	return need > left && time.Duration(fastestSlowdown(sta)*float64(need)) > left
}

// withShortRunTimes returns the steps with run times in place of their estimates. The longest task of a step takes less than that with the
// probability minChance. Run times are taken as uniformly distributed between minRunFactor and minRunFactor plus runFactorRange.
func withShortRunTimes(stps []Step) []Step {
	res := make([]Step, len(stps))
	for i, stp := range stps {
		fac := minRunFactor + runFactorRange*math.Pow(minChance, 1/float64(max(1, stp.Count)))
		res[i] = Step{DependsOn: stp.DependsOn, Estimate: time.Duration(fac * float64(stp.Estimate))}
	}
	return res
}
