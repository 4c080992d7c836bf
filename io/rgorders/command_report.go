package rgorders

import (
	"reflect"
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgwire"
)

// report tells each entry what is due.
func (pro *Process) report(sta *State, now time.Time) {
	var ended []rgexecutor.ConnID
	for id, lnk := range sta.Links {
		if len(lnk.Ends) > 0 {
			ended = append(ended, id)
		}
	}
	for _, ntf := range rgexecutor.Notify(&sta.Room, now, ended) {
		lnk := sta.Links[ntf.Conn]
		msg := rgwire.SidecarUpdate{
			Clock: rgmodel.InstantOf(now), NextWithin: ntf.NextWithin, LastTicket: lnk.Received, Report: ntf.Report, Ends: lnk.Ends,
		}
		if exe := sta.Room.Executor; !sameExecutor(exe, lnk.Described) {
			lnk.Described = exe
			msg.Executor = &exe
		}
		lnk.Ends = nil
		lnk.Outbox.Send(msg)
	}
}

// sameExecutor ignores the parts that change with each report of the executor.
func sameExecutor(one, two rgmodel.Executor) bool {
	one.Clock, one.Sequence = two.Clock, two.Sequence
	return reflect.DeepEqual(one, two)
}
