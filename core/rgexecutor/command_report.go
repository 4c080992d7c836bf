package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// tickMargin prevents a message that becomes due just after a tick from waiting for the next tick.
const tickMargin = 25 * time.Millisecond

// Update is a message to an entry.
type Update struct {
	Conn EntryConnID
	// Report is set if the entry needs a new load report.
	Report *rgmodel.ExecutorReport
	// NextWithin is the time within which the next message is sent.
	NextWithin time.Duration
}

// SetReportInterval sets the shortest time between two reports of a changing load to an entry.
func SetReportInterval(sta *State, id EntryConnID, every time.Duration) {
	if con := sta.Conns[id]; con != nil {
		con.ReportInterval = every
	}
}

// MarkLoadChanged marks the last report to each entry as outdated.
func MarkLoadChanged(sta *State) {
	for _, con := range sta.Conns {
		con.LoadChanged = true
	}
}

// DueUpdates returns the updates that are due and records them as sent. An update is due at once to the entries that are listed
// in ended, a load report at the entry's report interval, and an update in any case often enough to show that the sidecar is
// alive.
func DueUpdates(sta *State, now time.Time, ended []EntryConnID) []Update {
	var upds []Update
	var load *rgmodel.ExecutorReport
	for id, con := range sta.Conns {
		next := max(TickInterval, con.ReportInterval)
		if hasTasks(sta, id) {
			next = TickInterval
		}
		due := isReportDue(sta, con, now, id)
		if !due && !slices.Contains(ended, id) && now.Sub(con.LastSent) < next-tickMargin {
			continue
		}
		upd := Update{Conn: id, NextWithin: next}
		if due {
			if load == nil {
				load = newReport(sta, now)
			}
			rep := *load
			rep.EarlierRunsEnded = earlierRunsEnded(sta, now, id)
			rep.Usable = rep.Usable && !con.Draining
			if con.Draining && con.DrainReported.IsZero() {
				con.DrainReported = now
			}
			con.ReportedUsable, con.ReportedEarlierRunsEnded, con.LoadChanged, con.ReportNow, con.LastReported =
				rep.Usable, rep.EarlierRunsEnded, false, false, now
			upd.Report = &rep
		}
		con.LastSent = now
		upds = append(upds, upd)
	}
	return upds
}

// isReportDue reports whether the entry needs a new load report. An executor can become usable merely because time passes,
// and an entry that is not informed of this would place no more tasks there.
func isReportDue(sta *State, con *EntryConn, now time.Time, id EntryConnID) bool {
	switch {
	case con.ReportedUsable != (Usable(sta, now) && !con.Draining), con.ReportNow, con.Draining && con.DrainReported.IsZero():
		return true
	case !con.LoadChanged:
		return false
	case con.ReportedEarlierRunsEnded != earlierRunsEnded(sta, now, id):
		return true
	default:
		return now.Sub(con.LastReported) >= max(con.ReportInterval, rgmodel.MinReportInterval)
	}
}
