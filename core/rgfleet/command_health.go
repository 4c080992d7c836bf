package rgfleet

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// judge compares a report with the one before it and ejects a member that fails every task or hangs.
// It returns whether it has ejected the member.
func judge(sta *State, mem *Member, old rgmodel.Report, now time.Time) bool {
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
	case failed && !ejected(mem, now):
		hea.FailedTasks += mem.Report.Failed - old.Failed
		hea.FailedReports++
	}
	// A hanging member is ejected again before it returns, as it gives no other sign until its tasks time out.
	returning := hea.EjectedUntil.Sub(now) <= ReportInterval
	if (failing(mem) && !ejected(mem, now)) || (hanging(sta, mem, now) && returning) {
		return eject(sta, mem, now)
	}
	return false
}

// eject keeps work from a member unless half of the members are ejected already: failures of that many members
// have a common cause, and the rest could not carry the work.
func eject(sta *State, mem *Member, now time.Time) bool {
	others := Ejected(sta, now)
	if ejected(mem, now) {
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

func learnTimes(sta *State, rep rgmodel.Report) {
	if sta.ServiceTimes == nil {
		sta.ServiceTimes = map[string]time.Duration{}
	}
	for _, kst := range rep.ServiceTimes {
		old, ok := sta.ServiceTimes[kst.Kind]
		if !ok {
			old = kst.Mean.Duration
		}
		sta.ServiceTimes[kst.Kind] = old + time.Duration(fleetLearnRate*float64(kst.Mean.Duration-old))
	}
}
