package rgfleet

import "time"

// Weight returns the placement weight of a member, between MinWeight and 1. It rises gradually after an ejection. It is low
// while the member's tasks fail, because a member that fails fast always reports free slots.
func Weight(mem *Member, now time.Time) float64 {
	wgt := 1 / float64(1+mem.Health.FailedTasks)
	if mem.Health.ConsecutiveEjections > 0 {
		progress := now.Sub(mem.Health.EjectedUntil).Seconds() / SlowStartTime.Seconds()
		wgt = min(wgt, MinWeight+(1-MinWeight)*progress)
	}
	return max(MinWeight, min(1, wgt))
}

// Ejected returns the number of members that are ejected.
func Ejected(sta *State, now time.Time) int {
	cnt := 0
	for _, mem := range sta.MemberList {
		if isEjected(mem, now) {
			cnt++
		}
	}
	return cnt
}

func isEjected(mem *Member, now time.Time) bool {
	return now.Before(mem.Health.EjectedUntil)
}

// isFailing reports whether the failures are sufficient for an ejection. After an earlier ejection, one report with
// failures is sufficient.
func isFailing(mem *Member) bool {
	hea := mem.Health
	return hea.FailedReports >= FailedReportLimit || hea.FailedTasks >= FailedTaskLimit ||
		(hea.ConsecutiveEjections > 0 && hea.FailedReports > 0)
}

// isHung reports whether tasks are running and none has completed for far longer than their service times.
func isHung(sta *State, mem *Member, now time.Time) bool {
	if mem.Report.Running == 0 {
		return false
	}
	stalled := now.Sub(mem.Health.LastProgress)
	if stalled <= MinHungTime {
		return false
	}
	for _, fll := range mem.Report.Flows {
		// MinHungTime replaces the service time of a kind that no member has learned yet.
		if fll.Running > 0 && stalled <= HungFactor*ServiceTime(sta, mem, fll.Flow.Kind, MinHungTime) {
			return false
		}
	}
	return true
}
