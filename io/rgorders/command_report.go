package rgorders

import (
	"reflect"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroom"
	"ragwortgap/io/rgwire"
)

// report tells each entry what is due.
func (pro *Process) report(sta *State, now time.Time) {
	var ended []rgroom.LinkID
	for id, lnk := range sta.Links {
		if len(lnk.Ends) > 0 {
			ended = append(ended, id)
		}
	}
	for _, not := range rgroom.Notify(&sta.Room, now, ended) {
		lnk := sta.Links[not.Link]
		msg := rgwire.Progress{
			Clock: rgmodel.InstantOf(now), Next: not.Next, Received: lnk.Received, Load: not.Load, Ends: lnk.Ends,
		}
		if exe := sta.Room.Executor; !sameExecutor(exe, lnk.Described) {
			lnk.Described = exe
			msg.Executor = &exe
		}
		lnk.Ends = nil
		lnk.Outbox.Post(msg)
	}
}

// sameExecutor ignores the parts that change with each report of the executor.
func sameExecutor(one, two rgmodel.Executor) bool {
	one.Clock, one.Sequence = two.Clock, two.Sequence
	return reflect.DeepEqual(one, two)
}
