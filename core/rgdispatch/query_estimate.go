package rgdispatch

import (
	"slices"
	"time"
)

// runTime returns how long a task of the step is expected to run at the sidecar.
func runTime(sta *State, stp Step, mem *Member) time.Duration {
	return time.Duration(slowdown(mem) * float64(estimateAt(sta, stp, mem)))
}

// estimateAt returns the estimate of a task at the sidecar without its slowdown.
func estimateAt(sta *State, stp Step, mem *Member) time.Duration {
	if stp.Affinity != "" && sta.RemoteFactor > 1 && !slices.Contains(mem.Executor.Labels, stp.Affinity) {
		return time.Duration(sta.RemoteFactor * float64(stp.Estimate))
	}
	return stp.Estimate
}

func slowdown(mem *Member) float64 {
	if mem.Report.Slowdown > 0 {
		return mem.Report.Slowdown
	}
	return 1
}
