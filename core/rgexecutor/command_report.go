package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// tickMargin keeps a message that is due at a tick from waiting for the next one.
const tickMargin = 25 * time.Millisecond

// Notification is a message to an entry that is due.
type Notification struct {
	Conn ConnID
	// Report is set if the entry needs a new load report.
	Report *rgmodel.ExecutorReport
	// NextWithin is the time within which the next message is sent.
	NextWithin time.Duration
}

// SetReportInterval sets how often an entry is sent reports of a changing load.
func SetReportInterval(sta *State, id ConnID, every time.Duration) {
	if con := sta.Conns[id]; con != nil {
		con.ReportInterval = every
	}
}

// MarkLoadChanged marks the load report that the entries have as outdated.
func MarkLoadChanged(sta *State) {
	for _, con := range sta.Conns {
		con.LoadChanged = true
	}
}

// Notify returns the messages that are due, and takes note that they are sent: ends of tasks at once, the load as often as
// the entry wants, and in any case as often as the entry needs to know that the sidecar is alive.
func Notify(sta *State, now time.Time, ended []ConnID) []Notification {
	var ntfs []Notification
	var load *rgmodel.ExecutorReport
	for id, con := range sta.Conns {
		next := max(TickInterval, con.ReportInterval)
		if hasWork(sta, id) {
			next = TickInterval
		}
		loaded := loadDue(sta, con, now, id)
		if !loaded && !slices.Contains(ended, id) && now.Sub(con.LastSent) < next-tickMargin {
			continue
		}
		ntf := Notification{Conn: id, NextWithin: next}
		if loaded {
			if load == nil {
				load = report(sta, now)
			}
			rep := *load
			rep.EarlierRunsEnded = isCleared(sta, id)
			con.ReportedUsable, con.ReportedEarlierRunsEnded, con.LoadChanged, con.ReportNow, con.LastReported =
				rep.Usable, rep.EarlierRunsEnded, false, false, now
			ntf.Report = &rep
		}
		con.LastSent = now
		ntfs = append(ntfs, ntf)
	}
	return ntfs
}

// loadDue says whether the entry's view of the load is to be renewed. An executor becomes usable by the passing of time
// too, and an entry that is not told places nothing there any more.
func loadDue(sta *State, con *EntryConn, now time.Time, id ConnID) bool {
	switch {
	case con.ReportedUsable != Usable(sta, now), con.ReportNow:
		return true
	case !con.LoadChanged:
		return false
	case con.ReportedEarlierRunsEnded != isCleared(sta, id):
		return true
	default:
		return now.Sub(con.LastReported) >= max(con.ReportInterval, rgmodel.MinReportInterval)
	}
}
