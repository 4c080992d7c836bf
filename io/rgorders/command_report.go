package rgorders

import (
	"reflect"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroom"
	"ragwortgap/io/rgwire"
)

// report tells each entry what has changed: ends at once, the load at most every reportInterval, and in any case as often
// as the entry needs to know that the sidecar is alive.
func (pro *Process) report(sta *State, now time.Time) {
	for id, lnk := range sta.Links {
		loaded := isLoadDue(sta, lnk, now)
		if len(lnk.Ends) == 0 && !loaded && now.Sub(lnk.Told) < rgroom.TickInterval-reportInterval {
			continue
		}
		msg := rgwire.Progress{Clock: rgmodel.InstantOf(now), Received: lnk.Received, Ends: lnk.Ends}
		if loaded || lnk.Changed {
			rep := rgroom.Report(&sta.Room, now, id)
			msg.Load = &rep
			lnk.Usable = rep.Usable
		}
		if exe := sta.Room.Executor; !sameExecutor(exe, lnk.Described) {
			lnk.Described = exe
			msg.Executor = &exe
		}
		lnk.Ends = nil
		lnk.Changed = false
		lnk.Told = now
		lnk.Outbox.Post(msg)
	}
}

// isLoadDue says whether the entry's view of the load is to be renewed. An executor becomes usable by the passing of
// time too, and an entry that is not told places nothing there any more.
func isLoadDue(sta *State, lnk *Link, now time.Time) bool {
	return lnk.Usable != rgroom.Usable(&sta.Room, now) || lnk.Changed && now.Sub(lnk.Told) >= reportInterval
}

// sameExecutor ignores the parts that change with each report of the executor.
func sameExecutor(one, two rgmodel.Executor) bool {
	one.Clock, one.Sequence = two.Clock, two.Sequence
	return reflect.DeepEqual(one, two)
}
