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
		age := now.Sub(lnk.Told)
		if len(lnk.Ends) == 0 && !(lnk.Changed && age >= reportInterval) && age < rgroom.TickInterval-reportInterval {
			continue
		}
		msg := rgwire.Progress{Clock: rgmodel.InstantOf(now), Received: lnk.Received, Ends: lnk.Ends}
		if lnk.Changed {
			rep := rgroom.Report(&sta.Room, now, id)
			msg.Load = &rep
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

// sameExecutor ignores the parts that change with each report of the executor.
func sameExecutor(one, two rgmodel.Executor) bool {
	one.Clock, one.Sequence = two.Clock, two.Sequence
	return reflect.DeepEqual(one, two)
}
