package rgorders

import (
	"reflect"
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgwire"
)

// sendUpdates sends the updates that are due to the entries.
func (pro *Process) sendUpdates(sta *State, now time.Time) {
	var ended []rgexecutor.EntryConnID
	for id, con := range sta.Conns {
		if len(con.UnsentEnds) > 0 {
			ended = append(ended, id)
		}
	}
	for _, upd := range rgexecutor.DueUpdates(&sta.ExecutorState, now, ended) {
		con := sta.Conns[upd.Conn]
		msg := rgwire.SidecarUpdate{
			Clock: rgmodel.SidecarTimeOf(now), NextWithin: upd.NextWithin, LastTicket: con.LastTicket, Report: upd.Report,
			Ends: con.UnsentEnds,
		}
		exe := sta.ExecutorState.Executor
		exe.AvailabilityZone = rgexecutor.Zone(&sta.ExecutorState)
		if !sameExecutor(exe, con.SentExecutor) {
			con.SentExecutor = exe
			msg.Executor = &exe
		}
		con.UnsentEnds = nil
		con.Conn.Send(msg)
	}
}

// sameExecutor ignores the fields that change with each heartbeat of the executor.
func sameExecutor(one, two rgmodel.Executor) bool {
	one.Clock, one.Sequence = two.Clock, two.Sequence
	return reflect.DeepEqual(one, two)
}
