package rgroom

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// tickMargin keeps a message that is due at a tick from waiting for the next one.
const tickMargin = 25 * time.Millisecond

// Notice is a message to an entry that is due.
type Notice struct {
	Link LinkID
	// Load is set if the entry's view of the load is to be renewed.
	Load *rgmodel.RoomReport
	// Next is the time within which the next message is sent.
	Next time.Duration
}

// Watch takes note of how often an entry wants to be told of a load that changes.
func Watch(sta *State, id LinkID, every time.Duration) {
	if lnk := sta.Links[id]; lnk != nil {
		lnk.Every = every
	}
}

// MarkChanged takes note that the entries' view of the load is not the newest one.
func MarkChanged(sta *State) {
	for _, lnk := range sta.Links {
		lnk.Changed = true
	}
}

// Notify returns the messages that are due, and takes note that they are sent: ends of tasks at once, the load as often as
// the entry wants, and in any case as often as the entry needs to know that the sidecar is alive.
func Notify(sta *State, now time.Time, ended []LinkID) []Notice {
	var nots []Notice
	var load *rgmodel.RoomReport
	for id, lnk := range sta.Links {
		next := max(TickInterval, lnk.Every)
		if hasWork(sta, id) {
			next = TickInterval
		}
		loaded := loadDue(sta, lnk, now, id)
		if !loaded && !slices.Contains(ended, id) && now.Sub(lnk.Told) < next-tickMargin {
			continue
		}
		not := Notice{Link: id, Next: next}
		if loaded {
			if load == nil {
				load = report(sta, now)
			}
			rep := *load
			rep.Cleared = isCleared(sta, id)
			lnk.Usable, lnk.Cleared, lnk.Changed, lnk.Stale, lnk.Loaded = rep.Usable, rep.Cleared, false, false, now
			not.Load = &rep
		}
		lnk.Told = now
		nots = append(nots, not)
	}
	return nots
}

// loadDue says whether the entry's view of the load is to be renewed. An executor becomes usable by the passing of time
// too, and an entry that is not told places nothing there any more.
func loadDue(sta *State, lnk *Link, now time.Time, id LinkID) bool {
	switch {
	case lnk.Usable != Usable(sta, now), lnk.Stale:
		return true
	case !lnk.Changed:
		return false
	case lnk.Cleared != isCleared(sta, id):
		return true
	default:
		return now.Sub(lnk.Loaded) >= max(lnk.Every, rgmodel.ShortestReportInterval)
	}
}
