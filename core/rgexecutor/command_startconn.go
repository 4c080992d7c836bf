package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// openStartConns opens connections for the queued tasks that could start now. The poll that opens a connection asks for the incarnation at
// its other end. It renews no lease, because that may be another one with a clock of its own.
func openStartConns(sta *State, now time.Time) []Effect {
	opening, open := countStartConns(sta)
	var efs []Effect
	for range min(countStartable(sta)-opening, maxStartConns-opening-open) {
		sta.LastStartConn++
		sta.StartConns = append(sta.StartConns, StartConn{ID: sta.LastStartConn, Busy: true})
		ord := newPollWithoutLease(sta, now)
		ord.Conn = sta.LastStartConn
		efs = append(efs, SendOrder{Order: ord})
	}
	return efs
}

// handleFailedPoll handles what the failure of a poll means for queued tasks. If nothing listens and nothing runs, they are returned. If
// the poll should have opened a connection, others are opened. After a poll that failed at once, the next tick does that, because opening
// one at once would keep both sides busy.
func handleFailedPoll(sta *State, now time.Time, ord rgmodel.PollOrder, rep rgmodel.OrderReply) []Effect {
	switch {
	case rep.ConnectionRefused && len(sta.Runs) == 0:
		orphanUnansweredStarts(sta, now, rgmodel.ReasonUpstreamUnreachable)
		return returnQueue(sta, rgmodel.ReasonUpstreamUnreachable)
	case ord.Conn != 0 && now.Sub(ord.Sent) >= silentPollInterval:
		return startTasks(sta, now)
	default:
		return nil
	}
}

// recordStartConn records which incarnation is at the other end of a connection, from the reply to the poll that has opened it. It closes
// the connection if the reply does not show that.
func recordStartConn(sta *State, ord rgmodel.PollOrder, rep rgmodel.OrderReply) []Effect {
	at := slices.IndexFunc(sta.StartConns, func(con StartConn) bool { return con.ID == ord.Conn })
	if at < 0 {
		return nil
	}
	inc, shown := shownIncarnation(sta, ord, rep)
	if !shown {
		return closeStartConns(sta, func(con StartConn) bool { return con.ID == ord.Conn })
	}
	sta.StartConns[at].Incarnation, sta.StartConns[at].Busy = inc, false
	return nil
}

// releaseStartConn ends the use of a connection for a start order. The connection is closed if there is no reply, because one may follow
// later, or if it does not belong to the known incarnation any more.
func releaseStartConn(sta *State, ord rgmodel.StartOrder, rep rgmodel.OrderReply) []Effect {
	at := slices.IndexFunc(sta.StartConns, func(con StartConn) bool { return con.ID == ord.Conn })
	if at < 0 {
		return nil
	}
	if !rep.Replied || sta.StartConns[at].Incarnation != sta.Executor.Incarnation {
		return closeStartConns(sta, func(con StartConn) bool { return con.ID == ord.Conn })
	}
	sta.StartConns[at].Busy = false
	return nil
}

// closeStartConns closes the connections for which the function returns true.
func closeStartConns(sta *State, isClosed func(con StartConn) bool) []Effect {
	var efs []Effect
	sta.StartConns = slices.DeleteFunc(sta.StartConns, func(con StartConn) bool {
		if !isClosed(con) {
			return false
		}
		efs = append(efs, CloseConn{Conn: con.ID})
		return true
	})
	return efs
}

// closeIdleStartConns closes the connections without an order in flight, so that the next start asks which incarnation is there.
func closeIdleStartConns(sta *State) []Effect {
	return closeStartConns(sta, func(con StartConn) bool { return !con.Busy })
}

// closeOtherStartConns closes the connections without an order in flight that do not belong to the known incarnation.
func closeOtherStartConns(sta *State) []Effect {
	return closeStartConns(sta, func(con StartConn) bool { return !con.Busy && con.Incarnation != sta.Executor.Incarnation })
}
