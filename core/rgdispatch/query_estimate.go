package rgdispatch

import (
	"math"
	"slices"
	"time"
)

// estimate returns the expected run time of a task on an executor of stretch 1: the geometric mean of what its caller
// says and of what such tasks usually take.
func estimate(sta *State, wrk Work, declared time.Duration) time.Duration {
	usual := sta.Learned[wrk].Time
	switch {
	case declared <= 0 && usual <= 0:
		return defaultEstimate
	case declared <= 0:
		return usual
	case usual <= 0:
		return declared
	default:
		return time.Duration(float64(usual) * math.Pow(float64(declared)/float64(usual), estimateShare))
	}
}

// runTime returns how long a task of the step is expected to run at the sidecar.
func runTime(sta *State, stp Step, mem *Member) time.Duration {
	return time.Duration(stretch(mem) * float64(estimateAt(sta, stp, mem)))
}

// estimateAt returns the estimate of a task at the sidecar before its stretch.
func estimateAt(sta *State, stp Step, mem *Member) time.Duration {
	if stp.Affinity != "" && sta.RemoteFactor > 1 && !slices.Contains(mem.Executor.Labels, stp.Affinity) {
		return time.Duration(sta.RemoteFactor * float64(stp.Estimate))
	}
	return stp.Estimate
}

func stretch(mem *Member) float64 {
	if mem.Report.Stretch > 0 {
		return mem.Report.Stretch
	}
	return 1
}
