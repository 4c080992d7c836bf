package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Connect adds a new connection to an entry.
func Connect(sta *State, now time.Time, id EntryConnID) {
	if sta.Conns == nil {
		sta.Conns = map[EntryConnID]*EntryConn{}
	}
	sta.Conns[id] = &EntryConn{LastAlive: now, LoadChanged: true}
}

// RecordHeartbeat records a time at which the entry was certainly alive.
func RecordHeartbeat(sta *State, id EntryConnID, at time.Time) {
	if con := sta.Conns[id]; con != nil && at.After(con.LastAlive) {
		con.LastAlive = at
	}
}

// DrainConn begins to drain a connection that is about to be closed.
func DrainConn(sta *State, id EntryConnID) {
	if con := sta.Conns[id]; con != nil {
		con.Draining = true
	}
}

// Disconnect removes a lost connection and stops the tasks that the entry placed over it.
func Disconnect(sta *State, now time.Time, id EntryConnID) []Effect {
	delete(sta.Conns, id)
	efs := dropMatching(sta, now, rgmodel.ReasonConnectionLost, func(act AcceptedTask) bool { return act.Conn == id })
	return append(efs, startQueued(sta, now)...)
}

// Place queues the tasks of a placement, or returns them at once if they cannot be accepted or would wait too long.
func Place(sta *State, now time.Time, id EntryConnID, plc rgmodel.Placement) []Effect {
	RecordHeartbeat(sta, id, plc.Issued.Time())
	var efs []Effect
	rsn, ok := checkPlacement(sta, now, id, plc)
	for _, tsk := range plc.Tasks {
		act := AcceptedTask{
			Task: tsk, Conn: id, Queued: now, Priority: plc.Priority, Requires: plc.Requires, Spec: plc.Spec,
			Deadline: plc.Deadline.Time(), SoftDeadline: plc.Issued.Time().Add(plc.TimeToSoftDeadline),
		}
		if plc.TimeToLateDeadline > 0 {
			act.LateDeadline = plc.Issued.Time().Add(plc.TimeToLateDeadline)
		}
		if !ok {
			efs = append(efs, returnTask(sta, act, rsn))
			continue
		}
		if tsk.MaxWait > 0 && expectedWait(sta, now, act) > tsk.MaxWait {
			efs = append(efs, returnTask(sta, act, rgmodel.ReasonExpectedWait))
			// The entry needs the current load to place the task again.
			sta.Conns[id].ReportNow = true
			continue
		}
		enqueue(sta, now, act)
	}
	return append(efs, startQueued(sta, now)...)
}

// Cancel drops the tasks with the given tickets. The ends of queued tasks are not reported, because the entry no longer waits
// for them.
func Cancel(sta *State, now time.Time, id EntryConnID, tks []rgmodel.Ticket) []Effect {
	set := make(map[rgmodel.Ticket]bool, len(tks))
	for _, tkt := range tks {
		set[tkt] = true
	}
	efs := dropMatching(sta, now, rgmodel.ReasonCancelled, func(act AcceptedTask) bool { return act.Conn == id && set[act.Task.Ticket] })
	return append(efs, startQueued(sta, now)...)
}

// dropMatching removes matching tasks from the queue and stops matching runs.
func dropMatching(sta *State, now time.Time, rsn rgmodel.Reason, match func(AcceptedTask) bool) []Effect {
	kept := sta.Queue[:0]
	for _, act := range sta.Queue {
		if !match(act) {
			kept = append(kept, act)
		}
	}
	sta.Queue = kept
	return stopMatching(sta, now, rsn, match)
}

// stopMatching stops matching runs.
func stopMatching(sta *State, now time.Time, rsn rgmodel.Reason, match func(AcceptedTask) bool) []Effect {
	var efs []Effect
	for _, run := range sta.Runs {
		if match(run.AcceptedTask) {
			run.Requeue = false
			efs = append(efs, stopRun(sta, now, run, rsn)...)
		}
	}
	return efs
}

// Drain begins the graceful shutdown of the sidecar: it returns the queued tasks and accepts no more, but runs continue.
func Drain(sta *State) []Effect {
	sta.Draining = true
	return returnQueue(sta, rgmodel.ReasonDraining)
}

// EndDrain stops the runs that are left when the graceful shutdown must end soon, so that their entries learn of their ends and can place
// the tasks elsewhere, without waiting for the leases to expire.
func EndDrain(sta *State, now time.Time) []Effect {
	return stopMatching(sta, now, rgmodel.ReasonDraining, func(AcceptedTask) bool { return true })
}
