package rgfleet

import "time"

// Weight returns the placement weight of a member, between MinWeight and 1. It rises after an ejection and is low
// while the member's tasks fail, because a member that fails fast always reports free slots.
func Weight(mem *Member, now time.Time) float64 {
	wgt := 1 / float64(1+mem.Health.FailedTasks)
	if mem.Health.ConsecutiveEjections > 0 {
		back := now.Sub(mem.Health.EjectedUntil).Seconds() / SlowStartTime.Seconds()
		wgt = min(wgt, MinWeight+(1-MinWeight)*back)
	}
	return max(MinWeight, min(1, wgt))
}

// Ejected returns the number of members that are ejected.
func Ejected(sta *State, now time.Time) int {
	cnt := 0
	for _, mem := range sta.JoinOrder {
		if ejected(mem, now) {
			cnt++
		}
	}
	return cnt
}

func ejected(mem *Member, now time.Time) bool {
	return now.Before(mem.Health.EjectedUntil)
}

// failing reports whether the failures are enough for an ejection. After a return, one failed report is enough.
func failing(mem *Member) bool {
	hea := mem.Health
	return hea.FailedReports >= FailedReportLimit || hea.FailedTasks >= FailedTaskLimit ||
		(hea.ConsecutiveEjections > 0 && hea.FailedReports > 0)
}

// hanging reports whether tasks have been running without any completion for far longer than they should take.
func hanging(sta *State, mem *Member, now time.Time) bool {
	if mem.Report.Running == 0 {
		return false
	}
	stuck := now.Sub(mem.Health.LastProgress)
	if stuck <= MinHangTime {
		return false
	}
	for _, fll := range mem.Report.Flows {
		// For a kind that nobody has finished yet, the floor stands in for the service time.
		if fll.Running > 0 && stuck <= HangFactor*ServiceTime(sta, mem, fll.Flow.Kind, MinHangTime) {
			return false
		}
	}
	return true
}
