package rgfleet

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// fleetSmoothingFactor is the weight of one report in the moving average of service times over the fleet.
const fleetSmoothingFactor = 0.05

// ServiceTime returns the service time of a kind that the member has learned, or else the average that other members have
// learned, or else the declared one. Without the average, a declared time that is far too long would prevent placements on
// members that have not run the kind yet, so they would never learn its service time.
func ServiceTime(sta *State, mem *Member, kind string, declared time.Duration) time.Duration {
	if tim, ok := learnedServiceTime(mem, kind); ok {
		return tim
	}
	if tim, ok := sta.ServiceTimes[kind]; ok {
		return tim
	}
	if declared > 0 {
		return declared
	}
	return rgmodel.DefaultServiceTime
}

func learnedServiceTime(mem *Member, kind string) (time.Duration, bool) {
	for _, kst := range mem.Report.ServiceTimes {
		if kst.Kind == kind {
			return kst.Mean.Duration, true
		}
	}
	return 0, false
}
