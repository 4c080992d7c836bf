package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// enqueue keeps the queue in the order of starts: by the latest start that is in time, and behind those the tasks that are
// late in any case. An order by priority alone starves long tasks of low priority, although they could wait least.
func enqueue(sta *State, now time.Time, asg Assignment) {
	at, _ := slices.BinarySearchFunc(sta.Queue, asg, func(one, two Assignment) int {
		if behind(sta, now, one, two) {
			return 1
		}
		// Equal ones stay in the order of their arrival.
		return -1
	})
	sta.Queue = slices.Insert(sta.Queue, at, asg)
}

// behind says whether the first task starts after the second one.
func behind(sta *State, now time.Time, one, two Assignment) bool {
	oneAt, twoAt := latestStart(sta, one), latestStart(sta, two)
	oneLate, twoLate := oneAt.Before(now), twoAt.Before(now)
	switch {
	case oneLate != twoLate:
		return oneLate
	case one.Priority != two.Priority && oneLate:
		return one.Priority > two.Priority
	default:
		return oneAt.After(twoAt)
	}
}

// reorder moves tasks that have become late behind those that can be in time.
func reorder(sta *State, now time.Time) {
	slices.SortStableFunc(sta.Queue, func(one, two Assignment) int {
		switch {
		case behind(sta, now, one, two):
			return 1
		case behind(sta, now, two, one):
			return -1
		default:
			return 0
		}
	})
}

// proceed starts what fits and keeps polling the executor while anything runs.
func proceed(sta *State, now time.Time) []Effect {
	var efs []Effect
	reorder(sta, now)
	for len(sta.Queue) > 0 && startable(sta, now) {
		asg := sta.Queue[0]
		if hopeless(sta, now, asg) {
			sta.Queue = sta.Queue[1:]
			efs = append(efs, tell(sta, asg, rgmodel.EndReturned, rgmodel.ReasonExpired, 0))
			continue
		}
		if !fits(sta, asg) || sta.Runs[asg.Task.Key] != nil {
			break
		}
		sta.Queue = sta.Queue[1:]
		efs = append(efs, start(sta, now, asg)...)
	}
	return append(efs, poll(sta, now)...)
}

func start(sta *State, now time.Time, asg Assignment) []Effect {
	if sta.Runs == nil {
		sta.Runs = map[rgmodel.TaskKey]*Run{}
	}
	run := &Run{Assignment: asg}
	sta.Runs[asg.Task.Key] = run
	sta.Counts.Started++
	return give(sta, now, run, sta.RunNumbers[asg.Task.Key].Highest+1)
}

// give sends the start order of a run under the number.
func give(sta *State, now time.Time, run *Run, number uint64) []Effect {
	if sta.RunNumbers == nil {
		sta.RunNumbers = map[rgmodel.TaskKey]RunNumber{}
	}
	run.Number = number
	run.Started = now
	run.Attempts++
	sta.RunNumbers[run.Assignment.Task.Key] = RunNumber{Highest: number, LastUsed: now}
	return []Effect{SendOrder{Order: rgmodel.StartOrder{
		Incarnation: sta.Executor.Incarnation, Fence: sta.Fence, Task: run.Assignment.Task.Key, Run: number,
		Spec: run.Assignment.Spec, Lease: leaseUntil(sta, now),
	}}}
}

// StartAnswered takes note of what came back of a start order.
func StartAnswered(sta *State, now time.Time, ord rgmodel.StartOrder, rep rgmodel.OrderReply) []Effect {
	if rep.Answered && !observe(sta, now, ord.Incarnation, rep) {
		return nil
	}
	run := sta.Runs[ord.Task]
	if run == nil || run.Number != ord.Run || ord.Incarnation != sta.Executor.Incarnation {
		return nil
	}
	if !rep.Answered {
		// The order may be carried out yet. A confirmed stop excludes that, and then the task may be started anew.
		sta.LastUnanswered = now
		run.Requeue = run.State != RunStopping
		return stop(sta, now, run, rgmodel.ReasonUpstreamTimeout)
	}
	switch rep.Refusal {
	case rgmodel.RefusalNone:
		run.Started = now
		run.StartConfirmed = true
		if run.State == RunStarting {
			run.State = RunRunning
		}
		return proceed(sta, now)
	case rgmodel.RefusalStaleRun, rgmodel.RefusalLeaseExpired:
		if run.State == RunStarting && run.Attempts < numberTries {
			// Doubling finds a free number soon, however often other processes have started the task.
			return give(sta, now, run, 2*run.Number+1)
		}
	case rgmodel.RefusalFenced:
		return refence(sta, now, rgmodel.ReasonUpstreamRefused, lossFenced{})
	case rgmodel.RefusalWrongIncarnation:
		return leave(sta, now, rgmodel.ReasonSidecarLost, lossEnded{})
	case rgmodel.RefusalNoCapacity, rgmodel.RefusalUnhealthy:
		sta.Health.PausedUntil = now.Add(refusalPause)
	case rgmodel.RefusalInvalid:
	}
	delete(sta.Runs, ord.Task)
	efs := []Effect{tell(sta, run.Assignment, rgmodel.EndReturned, rgmodel.ReasonUpstreamRefused, 0)}
	if !Usable(sta, now) {
		efs = append(efs, returnQueue(sta, rgmodel.ReasonUpstreamRefused)...)
	}
	return append(efs, proceed(sta, now)...)
}

func stop(sta *State, now time.Time, run *Run, rsn rgmodel.Reason) []Effect {
	if run.State == RunStopping {
		return nil
	}
	run.State = RunStopping
	run.Reason = rsn
	run.StopRequested = now
	return sendStop(sta, now, run)
}

func sendStop(sta *State, now time.Time, run *Run) []Effect {
	run.StopSent = now
	return []Effect{giveStop(sta, run.Assignment.Task.Key, run.Number)}
}

func giveStop(sta *State, tsk rgmodel.TaskKey, number uint64) Effect {
	return SendOrder{Order: rgmodel.StopOrder{Incarnation: sta.Executor.Incarnation, Fence: sta.Fence, Task: tsk, Run: number}}
}

// StopAnswered takes note of what came back of a stop order.
func StopAnswered(sta *State, now time.Time, ord rgmodel.StopOrder, rep rgmodel.OrderReply) []Effect {
	if !rep.Answered || !observe(sta, now, ord.Incarnation, rep) {
		return nil
	}
	if rep.Refusal == rgmodel.RefusalWrongIncarnation {
		return leave(sta, now, rgmodel.ReasonSidecarLost, lossEnded{})
	}
	run := sta.Runs[ord.Task]
	if run == nil || run.Number != ord.Run || rep.Refusal != rgmodel.RefusalNone {
		return nil
	}
	run.StopConfirmed = now
	efs := proceed(sta, now)
	if run.Requeue {
		// The poll in flight may wait for an end and was sent before, so that it does not tell whether the task may start.
		efs = append(efs, SendOrder{Order: newPoll(sta, now)})
	}
	return efs
}
