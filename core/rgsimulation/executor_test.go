package rgsimulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// executorCores is the capacity of an executor. Each task needs one core.
	executorCores = 3
	// executorHeartbeatInterval is about how often an executor reports to its sidecar.
	executorHeartbeatInterval = time.Second
	// maxRegistrationTime is the longest time after which an executor that listens sends its first heartbeat.
	maxRegistrationTime = 100 * time.Millisecond
	// minClockRate is the lowest rate of an executor's clock.
	minClockRate = 0.98
	// failurePercent is the share of runs that fail.
	failurePercent = 2
	service        = "desk"
)

type (
	// run is a run on an executor.
	run struct {
		task    rgmodel.TaskKey
		number  uint64
		exe     *executor
		attempt *attempt
		started time.Time
		// generation is the process of the sidecar that has sent the order, late how late the order was carried out.
		generation int
		late       time.Duration
		stopping   bool
		ended      bool
	}

	// waitingPoll is a poll that waits for the end of a run.
	waitingPoll struct {
		ord   rgmodel.PollOrder
		reply func(rgmodel.OrderReply)
	}

	// executor is one life of an executor.
	executor struct {
		sim           *simulation
		sc            *sidecar
		incarnation   rgmodel.ExecutorIncarnation
		kind          string
		up            bool
		draining      bool
		refusingUntil time.Time
		born          time.Time
		firstClock    float64
		clockRate     float64
		fenceToken    uint64
		leaseEnd      float64
		runs          map[rgmodel.TaskKey]*run
		highestRun    map[rgmodel.TaskKey]uint64
		ended         []rgmodel.EndedRun
		sequence      uint64
		heartbeats    uint64
		waiting       []*waitingPoll
	}
)

// startExecutor starts an executor on the machine, which then listens instead of the one before.
func (sim *simulation) startExecutor(sc *sidecar, id string, firstClock float64) {
	exe := &executor{
		sim: sim, sc: sc, kind: sc.executorKind, up: true, born: sim.now, firstClock: firstClock,
		clockRate:   minClockRate + (1-minClockRate)*sim.rnd.Float64(),
		incarnation: rgmodel.ExecutorIncarnation{ID: id, StartedMillis: sim.now.Add(-sc.setBack).UnixMilli()},
		runs:        map[rgmodel.TaskKey]*run{}, highestRun: map[rgmodel.TaskKey]uint64{},
	}
	sc.listening = exe
	sim.note(sc.name, "executor %v starts", exe.incarnation)
	sim.after(sim.between(minLatency, maxRegistrationTime), exe.sendHeartbeats)
}

// clock returns the reading of the executor's clock in milliseconds.
func (exe *executor) clock() float64 {
	return exe.firstClock + exe.clockRate*float64(exe.sim.now.Sub(exe.born))/float64(time.Millisecond)
}

func (exe *executor) sendHeartbeats() {
	// An executor that does not listen any more was replaced.
	if !exe.up || exe.sc.listening != exe {
		return
	}
	exe.sendHeartbeat()
	exe.sim.after(executorHeartbeatInterval*9/10+exe.sim.between(0, executorHeartbeatInterval/5), exe.sendHeartbeats)
}

func (exe *executor) sendHeartbeat() {
	exe.heartbeats++
	sim := exe.sim
	dly := sim.between(minLatency, maxOrderLatency)
	if sim.lateHeartbeats > 0 && sim.faultRnd.IntN(100) < sim.lateHeartbeats {
		dly = between(sim.faultRnd, maxOrderLatency, maxHeartbeatDelay)
	}
	sim.deliverHeartbeat(exe.sc, exe.describe(), dly)
}

// describe returns what the executor says of itself.
func (exe *executor) describe() rgmodel.Executor {
	return rgmodel.Executor{
		Incarnation: exe.incarnation, Service: service, Capacity: rgmodel.Resources{Cores: executorCores}, Draining: exe.draining,
		Labels: []string{exe.kind}, Clock: rgmodel.ExecutorTime(exe.clock()), Sequence: exe.heartbeats,
	}
}

// apply carries out an order and replies.
func (exe *executor) apply(ord rgmodel.Order, late time.Duration, reply func(rgmodel.OrderReply)) {
	id, fence := orderHeader(ord)
	if id != exe.incarnation.ID {
		reply(rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalWrongIncarnation})
		return
	}
	if fence < exe.fenceToken {
		rep := exe.newReply()
		rep.Refusal = rgmodel.RefusalFenced
		reply(rep)
		return
	}
	exe.fenceToken = fence
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		ref := exe.startRun(ord, late)
		rep := exe.newReply()
		rep.Refusal = ref
		reply(rep)
	case rgmodel.StopOrder:
		exe.stopRun(ord)
		reply(exe.newReply())
	case rgmodel.PollOrder:
		exe.extendLease(float64(ord.LeaseEnd))
		exe.poll(ord, reply)
	}
}

func orderHeader(ord rgmodel.Order) (id string, fence uint64) {
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		return ord.Incarnation.ID, ord.FenceToken
	case rgmodel.StopOrder:
		return ord.Incarnation.ID, ord.FenceToken
	case rgmodel.PollOrder:
		return ord.Incarnation.ID, ord.FenceToken
	default:
		return "", 0
	}
}

func (exe *executor) newReply() rgmodel.OrderReply {
	return rgmodel.OrderReply{Replied: true, Clock: rgmodel.ExecutorTime(exe.clock())}
}

// extendLease extends the lease of all runs and schedules its expiry.
func (exe *executor) extendLease(end float64) {
	end = min(end, exe.clock()+float64(maxLease.Milliseconds()))
	if end <= exe.leaseEnd {
		return
	}
	exe.leaseEnd = end
	left := time.Duration((end - exe.clock()) / exe.clockRate * float64(time.Millisecond))
	exe.sim.after(left+time.Microsecond, func() {
		if exe.clock() < exe.leaseEnd {
			return
		}
		for _, run := range exe.sortedRuns() {
			exe.endRun(run, rgmodel.EndLost, "lease has expired")
		}
	})
}

func (exe *executor) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(exe.runs), func(one, two *run) int { return cmp.Compare(taskName(one.task), taskName(two.task)) })
}

func (exe *executor) startRun(ord rgmodel.StartOrder, late time.Duration) rgmodel.OrderRefusal {
	if float64(ord.LeaseEnd) < exe.clock() {
		return rgmodel.RefusalLeaseExpired
	}
	exe.extendLease(float64(ord.LeaseEnd))
	if cur := exe.runs[ord.Task]; cur != nil && cur.number == ord.Run {
		return rgmodel.RefusalNone
	}
	if ord.Run <= exe.highestRun[ord.Task] {
		return rgmodel.RefusalStaleRun
	}
	if len(exe.runs) >= executorCores {
		return rgmodel.RefusalNoCapacity
	}
	run := &run{
		task: ord.Task, number: ord.Run, exe: exe, attempt: exe.sim.attempts[ord.Spec], started: exe.sim.now,
		generation: exe.sc.generation, late: late,
	}
	exe.sim.note(taskName(ord.Task), "run %d starts on %s of %s, %s, order late by %v",
		ord.Run, executorName(exe), exe.sc.name, ord.Spec, late)
	exe.sim.checkStart(run)
	exe.sim.checkLabel(run, ord.Incarnation)
	exe.highestRun[ord.Task] = ord.Run
	exe.runs[ord.Task] = run
	status := rgmodel.EndSucceeded
	if exe.sim.rnd.IntN(100) < failurePercent {
		status = rgmodel.EndFailed
	}
	exe.sim.after(run.attempt.job.runTime, func() { exe.endRun(run, status, "is complete") })
	return rgmodel.RefusalNone
}

// stopRun stops a run within the time that this may take, and refuses its number from now on.
func (exe *executor) stopRun(ord rgmodel.StopOrder) {
	exe.highestRun[ord.Task] = max(exe.highestRun[ord.Task], ord.Run)
	run := exe.runs[ord.Task]
	if run == nil || run.number > ord.Run || run.stopping {
		return
	}
	run.stopping = true
	exe.sim.after(exe.sim.between(0, stopTime), func() { exe.endRun(run, rgmodel.EndLost, "is stopped") })
}

func (exe *executor) endRun(run *run, sts rgmodel.EndStatus, why string) {
	if run.ended {
		return
	}
	exe.sim.note(taskName(run.task), "run %d on %s %s", run.number, executorName(exe), why)
	run.ended = true
	delete(exe.runs, run.task)
	exe.sim.removeLive(run)
	if sts == rgmodel.EndSucceeded {
		exe.sim.succeeded++
	}
	exe.sequence++
	exe.ended = append(exe.ended, rgmodel.EndedRun{Sequence: exe.sequence, Task: run.task, Run: run.number, Status: sts})
	for len(exe.waiting) > 0 {
		exe.answerPoll(exe.waiting[0])
	}
}

// poll replies at once if there is an end that is not acknowledged, and else when a run ends or the wait is over.
func (exe *executor) poll(ord rgmodel.PollOrder, reply func(rgmodel.OrderReply)) {
	exe.ended = slices.DeleteFunc(exe.ended, func(end rgmodel.EndedRun) bool { return end.Sequence <= ord.AckedSequence })
	wtg := &waitingPoll{ord: ord, reply: reply}
	exe.waiting = append(exe.waiting, wtg)
	if ord.Wait == 0 || len(exe.ended) > 0 {
		exe.answerPoll(wtg)
		return
	}
	exe.sim.after(ord.Wait, func() { exe.answerPoll(wtg) })
}

func (exe *executor) answerPoll(wtg *waitingPoll) {
	idx := slices.Index(exe.waiting, wtg)
	if idx < 0 {
		return
	}
	exe.waiting = slices.Delete(exe.waiting, idx, idx+1)
	rep := exe.newReply()
	rep.StartedMillis = exe.incarnation.StartedMillis
	for _, run := range exe.sortedRuns() {
		if exe.sim.malformedPercent > 0 && exe.sim.faultRnd.IntN(100) < exe.sim.malformedPercent {
			rep.MalformedRunning++
			continue
		}
		rep.Running = append(rep.Running, rgmodel.RunningRun{Task: run.task, Run: run.number})
	}
	rep.Ended = slices.Clone(exe.ended)
	wtg.reply(rep)
}

// stop ends the executor with all of its runs. Its connections break.
func (exe *executor) stop(why string) {
	if !exe.up {
		return
	}
	exe.sim.note(exe.sc.name, "executor %v %s", exe.incarnation, why)
	exe.up = false
	wtgs := exe.waiting
	exe.waiting = nil
	for _, run := range exe.sortedRuns() {
		exe.endRun(run, rgmodel.EndLost, why)
	}
	for _, wtg := range wtgs {
		wtg.reply(rgmodel.OrderReply{})
	}
}

func executorName(exe *executor) string {
	return fmt.Sprintf("%s/%d", exe.incarnation.ID, exe.incarnation.StartedMillis%1000000)
}
