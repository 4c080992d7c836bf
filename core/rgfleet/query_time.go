package rgfleet

import "time"

const (
	// DefaultServiceTime is assumed where a kind of work is neither learned nor declared.
	DefaultServiceTime = 200 * time.Millisecond
	// fleetLearnRate is the weight of one report in the fleet's moving average of service times.
	fleetLearnRate = 0.05
)

// ServiceTime returns the member's learned service time of a kind of work, or else the average of those that other
// members have learned, or else the declared one. Without the second, a declared time that is far too long keeps
// work away from all members that have not run the kind yet, and they never learn.
func ServiceTime(sta *State, mem *Member, kind string, declared time.Duration) time.Duration {
	if tim, ok := learned(mem, kind); ok {
		return tim
	}
	if tim, ok := sta.ServiceTimes[kind]; ok {
		return tim
	}
	if declared > 0 {
		return declared
	}
	return DefaultServiceTime
}

func learned(mem *Member, kind string) (time.Duration, bool) {
	for _, kst := range mem.Report.ServiceTimes {
		if kst.Kind == kind {
			return kst.Mean.Duration, true
		}
	}
	return 0, false
}
