package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// reportsPerCore is the number of reports per second that an entry requests for each core that it may use. A report and the
	// system calls that it causes take about 30 us of CPU time, so reports use about seven percent of the CPU. With fewer, several entries
	// place tasks on the same executor before they learn that it is busy.
	reportsPerCore = 2400
	// targetInterval is how often a busy sidecar has to report. Sidecars of other zones are prioritized as long as all
	// prioritized ones can report at this interval.
	targetInterval = 80 * time.Millisecond
	// minOtherZoneInterval is the shortest report interval of sidecars in other zones, because bytes between zones are expensive.
	minOtherZoneInterval = 50 * time.Millisecond
	// maxReportInterval is the report interval of all other sidecars. It does not delay messages about the ends of tasks or the
	// detection of a lost sidecar that has tasks.
	maxReportInterval = 300 * time.Millisecond
)

// updateReportIntervals sets the report interval of each sidecar. The sidecars of the entry's zone are prioritized, and then
// as many others as the CPU can process reports of. Each entry prioritizes different ones of these.
func updateReportIntervals(sta *State) {
	budget := sta.Limits.Cores * reportsPerCore
	if budget <= 0 {
		for _, sc := range sta.Sidecars {
			sc.ReportInterval = rgmodel.MinReportInterval
		}
		return
	}
	local := 0
	for _, sc := range sta.Sidecars {
		if reportsOften(sta, sc) {
			local++
		}
	}
	prioritized := min(max(local, int(budget*targetInterval.Seconds())), len(sta.Sidecars))
	interval := max(rgmodel.MinReportInterval, time.Duration(float64(prioritized)/budget*float64(time.Second)))
	left := prioritized - local
	for _, con := range sta.Order {
		sc := sta.Sidecars[con]
		sc.ReportInterval = maxReportInterval
		switch {
		case reportsOften(sta, sc):
			sc.ReportInterval = min(interval, maxReportInterval)
		case left > 0 && !isEvacuated(sta, sc):
			left--
			sc.ReportInterval = min(max(interval, minOtherZoneInterval), maxReportInterval)
		}
	}
}

// reportsOften reports whether the sidecar is prioritized whatever the budget: it is in the entry's zone and may get tasks.
func reportsOften(sta *State, sc *SidecarConn) bool {
	return inSameZone(sta, sc) && !isEvacuated(sta, sc)
}

// inSameZone reports whether the sidecar is in the zone of the entry.
func inSameZone(sta *State, sc *SidecarConn) bool {
	return sta.AvailabilityZone == "" || sc.Executor.AvailabilityZone == sta.AvailabilityZone
}
