package rgfleet

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// updateHealth compares the latest report with the previous one and ejects a member that fails all tasks or is hung.
// It reports whether it has ejected the member.
func updateHealth(sta *State, mem *Member, old rgmodel.LoadReport, now time.Time) bool {
	hea := &mem.Health
	succeeded, failed := mem.Report.Succeeded > old.Succeeded, mem.Report.Failed > old.Failed
	if succeeded || failed || old.Running == 0 {
		hea.LastProgress = now
	}
	switch {
	case succeeded:
		hea.FailedTasks, hea.FailedReports = 0, 0
		if now.Sub(hea.EjectedUntil) >= SlowStartTime {
			hea.ConsecutiveEjections = 0
		}
	case failed && !isEjected(mem, now):
		hea.FailedTasks += mem.Report.Failed - old.Failed
		hea.FailedReports++
	}
	// A hung member is ejected again before its ejection ends, because no new symptom appears until its tasks time out.
	returning := hea.EjectedUntil.Sub(now) <= IdleReportInterval
	if (isFailing(mem) && !isEjected(mem, now)) || (isHung(sta, mem, now) && returning) {
		return eject(sta, mem, now)
	}
	return false
}

// eject ejects the member unless more than half of the members would then be ejected. Failures of so many members have a
// common cause, and the other members could not handle the load.
func eject(sta *State, mem *Member, now time.Time) bool {
	others := Ejected(sta, now)
	if isEjected(mem, now) {
		others--
	}
	if 2*(others+1) > len(sta.Members) {
		return false
	}
	hea := &mem.Health
	dur := min(MaxEjectionTime, MinEjectionTime<<min(hea.ConsecutiveEjections, 10))
	hea.EjectedUntil = now.Add(dur)
	hea.ConsecutiveEjections++
	hea.FailedTasks, hea.FailedReports = 0, 0
	return true
}

func updateServiceTimes(sta *State, rep rgmodel.LoadReport) {
	if sta.ServiceTimes == nil {
		sta.ServiceTimes = map[string]time.Duration{}
	}
	for _, kst := range rep.ServiceTimes {
		old, ok := sta.ServiceTimes[kst.Kind]
		if !ok {
			old = kst.Mean.Duration
		}
		sta.ServiceTimes[kst.Kind] = old + time.Duration(fleetSmoothingFactor*float64(kst.Mean.Duration-old))
	}
}
