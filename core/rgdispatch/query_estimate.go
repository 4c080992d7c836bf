package rgdispatch

import (
	"slices"
	"time"
)

// runTime returns how long a task of the step is expected to run on the sidecar's executor.
func runTime(sta *State, stp Step, sc *SidecarConn) time.Duration {
	return time.Duration(slowdownOf(sc) * float64(estimateAt(sta, stp, sc)))
}

// estimateAt returns the estimate of a task on the sidecar's executor without its slowdown.
func estimateAt(sta *State, stp Step, sc *SidecarConn) time.Duration {
	if stp.PreferredLabel != "" && sta.RemoteFactor > 1 && !slices.Contains(sc.Executor.Labels, stp.PreferredLabel) {
		return time.Duration(sta.RemoteFactor * float64(stp.Estimate))
	}
	return stp.Estimate
}

func slowdownOf(sc *SidecarConn) float64 {
	if sc.Report.Slowdown > 0 {
		return sc.Report.Slowdown
	}
	return 1
}
