package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// enqueue inserts a task into the queue, in the order of startsAfter.
func enqueue(sta *State, now time.Time, act AcceptedTask) {
	at, _ := slices.BinarySearchFunc(sta.Queue, act, func(one, two AcceptedTask) int {
		if startsAfter(sta, now, one, two) {
			return 1
		}
		// Tasks that compare equal stay in the order of their arrival.
		return -1
	})
	sta.Queue = slices.Insert(sta.Queue, at, act)
}

// reorder moves the tasks that have become late.
func reorder(sta *State, now time.Time) {
	slices.SortStableFunc(sta.Queue, func(one, two AcceptedTask) int {
		switch {
		case startsAfter(sta, now, one, two):
			return 1
		case startsAfter(sta, now, two, one):
			return -1
		default:
			return 0
		}
	})
}

// startQueued starts queued tasks while resources are free, and keeps polling the executor while anything runs.
func startQueued(sta *State, now time.Time) []Effect {
	efs := startTasks(sta, now)
	efs = append(efs, endPlaceWaits(sta, now)...)
	return append(efs, sendPolls(sta, now)...)
}

// startTasks starts queued tasks while resources are free, each over a connection to the known incarnation, and opens connections if all
// are in use. It returns the tasks of silent entries, because a process that was suspended may get here before its next tick, and all
// tasks of an evacuated zone.
func startTasks(sta *State, now time.Time) []Effect {
	efs := append(returnSilent(sta, now), returnEvacuated(sta)...)
	reorder(sta, now)
	for len(sta.Queue) > 0 && canStart(sta, now) {
		act := sta.Queue[0]
		if willMissDeadline(sta, now, act) {
			sta.Queue = sta.Queue[1:]
			efs = append(efs, returnTask(sta, act, rgmodel.ReasonExpired))
			continue
		}
		if !fits(sta, act) || sta.Runs[act.Task.Key] != nil {
			break
		}
		con := idleStartConn(sta)
		if con == nil {
			return append(efs, openStartConns(sta, now)...)
		}
		sta.Queue = sta.Queue[1:]
		efs = append(efs, startRun(sta, now, act, con)...)
	}
	return efs
}

func startRun(sta *State, now time.Time, act AcceptedTask, con *StartConn) []Effect {
	if sta.Runs == nil {
		sta.Runs = map[rgmodel.TaskKey]*Run{}
	}
	run := &Run{AcceptedTask: act}
	sta.Runs[act.Task.Key] = run
	sta.Counts.Started++
	return sendStart(sta, now, run, sta.RunNumbers[act.Task.Key].Highest+1, con)
}

// sendStart sends the start order of a run with the given run number over a connection.
func sendStart(sta *State, now time.Time, run *Run, number uint64, con *StartConn) []Effect {
	con.Busy = true
	if sta.RunNumbers == nil {
		sta.RunNumbers = map[rgmodel.TaskKey]RunNumber{}
	}
	run.Number = number
	run.Started = now
	run.ClockWhenSent = earliestClock(sta, now)
	run.StartAttempts++
	run.AcceptedTask.UnrefusedStarts++
	sta.RunNumbers[run.AcceptedTask.Task.Key] = RunNumber{Highest: number, LastUsed: now}
	return []Effect{SendOrder{Order: rgmodel.StartOrder{
		Conn: con.ID, Incarnation: con.Incarnation, FenceToken: sta.FenceToken, Task: run.AcceptedTask.Task.Key, Run: number,
		Spec: run.AcceptedTask.Spec, LeaseEnd: extendLease(sta, now),
	}}}
}

// HandleStartReply processes the reply to a start order. Its connection is free for the next start.
func HandleStartReply(sta *State, now time.Time, ord rgmodel.StartOrder, rep rgmodel.OrderReply) []Effect {
	efs := append(releaseStartConn(sta, ord, rep), handleStartReply(sta, now, ord, rep)...)
	return append(efs, startTasks(sta, now)...)
}

func handleStartReply(sta *State, now time.Time, ord rgmodel.StartOrder, rep rgmodel.OrderReply) []Effect {
	if repliedByNext(sta, ord.Incarnation, rep) {
		return followRestart(sta, now, rep)
	}
	// Another incarnation that refuses the order has a clock of its own.
	if rep.Replied && rep.Refusal != rgmodel.RefusalWrongIncarnation && !recordClock(sta, now, ord.Incarnation, rep) {
		return nil
	}
	sent := !rep.ConnectionRefused && !rep.ConnectionEnded
	if !rep.Replied && sent && ord.Incarnation.ID == sta.Executor.Incarnation.ID {
		// The order may still be carried out, also by a later incarnation and if the run is an orphan by now.
		sta.LastMissingReply, sta.LateStartPossibleAt = now, now
	}
	run := sta.Runs[ord.Task]
	if run == nil || run.Number != ord.Run || ord.Incarnation != sta.Executor.Incarnation {
		return nil
	}
	if rep.Refusal != rgmodel.RefusalNone || !sent {
		run.AcceptedTask.UnrefusedStarts--
	}
	if rep.ConnectionEnded {
		return append(endUnsentStart(sta, now, run), startQueued(sta, now)...)
	}
	if rep.ConnectionRefused {
		return append(endUnreachableStart(sta, now, run), startQueued(sta, now)...)
	}
	if !rep.Replied {
		// Once a stop is confirmed, this incarnation cannot carry the order out any more, and the task may be started again.
		run.Requeue = run.State != RunStopping
		return append(stopRun(sta, now, run, rgmodel.ReasonUpstreamTimeout), sendPollsIfUrgent(sta, now)...)
	}
	switch rep.Refusal {
	case rgmodel.RefusalNone:
		run.Started = now
		// A reply that does not name its incarnation may be from a new one with the same id, whose clock has started anew.
		run.StartConfirmed = rep.StartedMillis != 0 || rep.Clock >= run.ClockWhenSent
		if run.State == RunStarting {
			run.State = RunRunning
		}
		return startQueued(sta, now)
	case rgmodel.RefusalStaleRun, rgmodel.RefusalLeaseExpired:
		if con := idleStartConn(sta); con != nil && mayStartAgain(sta, now, run) {
			// Doubling reaches an unused number quickly, however often other processes have started the task.
			return sendStart(sta, now, run, 2*run.Number+1, con)
		}
	case rgmodel.RefusalFenced:
		return retakeControl(sta, now, rgmodel.ReasonUpstreamRefused, lossFenced{})
	case rgmodel.RefusalWrongIncarnation:
		return loseReplaced(sta, now)
	case rgmodel.RefusalNoCapacity, rgmodel.RefusalUnhealthy:
		sta.Health.EjectedUntil = now.Add(refusalEjectionTime)
	case rgmodel.RefusalInvalid:
	}
	efs := endRefusedStart(sta, run)
	if !Usable(sta, now) {
		efs = append(efs, returnQueue(sta, rgmodel.ReasonUpstreamRefused)...)
	}
	return append(efs, startQueued(sta, now)...)
}

// mayStartAgain reports whether a start order that was refused for its run number or its lease is sent again. A start renews the lease of
// all runs, and in an evacuated zone it would be a new one.
func mayStartAgain(sta *State, now time.Time, run *Run) bool {
	return run.State == RunStarting && run.StartAttempts < maxStartAttempts && canRenewLease(sta, now) && !Evacuated(sta)
}

// endRefusedStart returns a task whose last start order was certainly not carried out.
func endRefusedStart(sta *State, run *Run) []Effect {
	delete(sta.Runs, run.AcceptedTask.Task.Key)
	rsn := rgmodel.ReasonUpstreamRefused
	if Evacuated(sta) {
		rsn = rgmodel.ReasonZoneEvacuated
	}
	return []Effect{returnTask(sta, run.AcceptedTask, rsn)}
}

// endUnsentStart queues a task again whose connection had ended before its start order was sent, or returns it if the run is being stopped
// or the executor takes no more tasks.
func endUnsentStart(sta *State, now time.Time, run *Run) []Effect {
	if run.State != RunStarting || !Usable(sta, now) {
		return endRefusedStart(sta, run)
	}
	delete(sta.Runs, run.AcceptedTask.Task.Key)
	enqueue(sta, now, run.AcceptedTask)
	return nil
}

// endUnreachableStart ends a run whose last start order found nothing listening. The executor may be restarting, so the task becomes an
// orphan if an earlier start order of it got no reply.
func endUnreachableStart(sta *State, now time.Time, run *Run) []Effect {
	if run.AcceptedTask.UnrefusedStarts == 0 {
		return endRefusedStart(sta, run)
	}
	delete(sta.Runs, run.AcceptedTask.Task.Key)
	if sta.ConnectionRefusedSince.IsZero() {
		sta.ConnectionRefusedSince = now
	}
	addOrphan(sta, run.AcceptedTask, rgmodel.ReasonUpstreamRefused, now.Add(maxUnrenewedRunTime(sta)))
	return nil
}

func stopRun(sta *State, now time.Time, run *Run, rsn rgmodel.Reason) []Effect {
	if run.State == RunStopping {
		if rsn == rgmodel.ReasonConnectionLost {
			// The lease is no longer renewed for a lost entry, whatever the stop was requested for.
			run.Reason = rsn
		}
		return nil
	}
	run.State = RunStopping
	run.Reason = rsn
	run.StopRequested = now
	return sendStop(sta, now, run)
}

func sendStop(sta *State, now time.Time, run *Run) []Effect {
	run.StopSent = now
	return []Effect{stopEffect(sta, run.AcceptedTask.Task.Key, run.Number)}
}

func stopEffect(sta *State, tsk rgmodel.TaskKey, number uint64) Effect {
	return SendOrder{Order: rgmodel.StopOrder{Incarnation: sta.Executor.Incarnation, FenceToken: sta.FenceToken, Task: tsk, Run: number}}
}

// HandleStopReply processes the reply to a stop order.
func HandleStopReply(sta *State, now time.Time, ord rgmodel.StopOrder, rep rgmodel.OrderReply) []Effect {
	if repliedByNext(sta, ord.Incarnation, rep) {
		return followRestart(sta, now, rep)
	}
	if !rep.Replied || ord.Incarnation != sta.Executor.Incarnation {
		return nil
	}
	if rep.Refusal == rgmodel.RefusalWrongIncarnation {
		// The clock in the reply is that of another executor and says nothing about the leases.
		return loseReplaced(sta, now)
	}
	if !recordClock(sta, now, ord.Incarnation, rep) {
		return nil
	}
	run := sta.Runs[ord.Task]
	if run == nil || run.Number != ord.Run || rep.Refusal != rgmodel.RefusalNone {
		return nil
	}
	run.StopConfirmed = now
	efs := startQueued(sta, now)
	if run.Requeue {
		// The poll in flight may be waiting for a run to end. It was sent before the stop was confirmed, so its reply does
		// not show that the task may be started again.
		efs = append(efs, SendOrder{Order: newPoll(sta, now)})
	}
	return efs
}
