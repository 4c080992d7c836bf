package rgsimulation

import (
	"fmt"
	"time"
)

const (
	maxSuspension = 4 * time.Second
	minSuspension = 100 * time.Millisecond
	maxSlowTime   = 3 * time.Second
	minDownTime   = 50 * time.Millisecond
	maxDownTime   = 1500 * time.Millisecond
	// minCrashTime is the shortest time between the crash of an executor and the start of its next incarnation. The platform sets none.
	minCrashTime = time.Millisecond
	// minThrottledTime and maxThrottledTime bound the part of a period in which a throttled process stands still, and minRunningTime and
	// maxRunningTime the part in which it runs.
	minThrottledTime = 60 * time.Millisecond
	maxThrottledTime = 200 * time.Millisecond
	minRunningTime   = 5 * time.Millisecond
	maxRunningTime   = 30 * time.Millisecond
	minCut           = 200 * time.Millisecond
	maxCut           = 3 * time.Second
	minRefusal       = 30 * time.Millisecond
	maxRefusal       = 400 * time.Millisecond
	// minLeaveTime and maxLeaveTime bound how long an executor goes on without an acknowledgement of its deregistration.
	minLeaveTime = 300 * time.Millisecond
	maxLeaveTime = 4 * time.Second
	// maxAckDelay is the longest delay of a slow acknowledgement.
	maxAckDelay = time.Second
	// replacedTime is how long an executor goes on that was replaced by another one.
	replacedTime = 3 * time.Second
	// maxRepetitions is how often a process is killed or suspended in a row, and minPause and maxPause bound the time between.
	maxRepetitions = 4
	minPause       = time.Millisecond
	maxPause       = 200 * time.Millisecond
	// repeatPercent is the share of faults that occur at the same processes as the one before, so that they overlap.
	repeatPercent = 60
)

type (
	// fault is a kind of disturbance. Some hold for the whole time and others occur again and again.
	fault interface{ isFault() }

	// loseOrders loses a share of the orders, in percent.
	loseOrders struct{ percent int }
	// loseReplies loses the reply to a share of the orders.
	loseReplies struct{ percent int }
	// delayOrders delays a share of the orders by seconds, without a reply.
	delayOrders struct {
		percent int
		// minDelay is the shortest delay.
		minDelay time.Duration
		// crossRestart lets an executor that has restarted under its id carry out orders to the one before.
		crossRestart bool
	}
	// malformRows makes a share of the rows of the executors' lists of running runs unreadable.
	malformRows struct{ percent int }
	// leaveEarly makes a share of the callers leave before the answer.
	leaveEarly struct{ percent int }
	// longWaits makes all callers wait longer for an answer, so that lost tasks are placed again before the deadline.
	longWaits struct{}
	// longTasks makes tasks longer than the resend delay, so that a run that is left behind goes on when its job is sent again. Callers
	// wait longer.
	longTasks struct{}
	// overload makes the jobs of a seed frequent and their tasks short, so that many are queued and end at any time.
	overload struct{}
	// requireLabels makes each job require the label of one of the kinds of executors.
	requireLabels struct{}
	// holdRequests holds a share of the requests back until the caller may have left. The ends of connections arrive up to endDelay
	// after the request; zero means maxEndDelay.
	holdRequests struct {
		percent  int
		endDelay time.Duration
	}

	// restartExecutor lets an executor crash and restart under the same id.
	restartExecutor struct{}
	// restartAsOtherKind lets an executor crash and restart under the same id as one of the other kind.
	restartAsOtherKind struct{}
	// endOrderConns ends the open connections for start orders of a sidecar while its executor goes on.
	endOrderConns struct{}
	// deregisterExecutor lets an executor leave. The acknowledgement may be slow or lost, and another one starts after the end.
	deregisterExecutor struct{}
	// refuseConnections lets an executor refuse connections while its runs go on.
	refuseConnections struct{}
	// replaceExecutor starts an executor with another id while the runs of the one before go on.
	replaceExecutor struct{}

	killSidecar    struct{}
	suspendSidecar struct{}
	slowSidecar    struct{}
	// killSidecarRepeatedly kills a sidecar several times, each time soon after its start.
	killSidecarRepeatedly struct{}
	// suspendSidecarRepeatedly and suspendEntryRepeatedly suspend a process several times, with short pauses.
	suspendSidecarRepeatedly struct{}
	suspendEntryRepeatedly   struct{}
	// throttleSidecar lets a sidecar run only for a short part of each period, as under a processor quota.
	throttleSidecar struct{}
	killEntry       struct{}
	suspendEntry    struct{}
	slowEntry       struct{}
	// loseEntry cuts all links of an entry and kills it. Its callers see a broken connection, but its sidecars only silence.
	loseEntry       struct{}
	cutLink         struct{}
	cutDirection    struct{}
	resetConnection struct{}
)

func (loseOrders) isFault()               {}
func (loseReplies) isFault()              {}
func (delayOrders) isFault()              {}
func (malformRows) isFault()              {}
func (leaveEarly) isFault()               {}
func (longWaits) isFault()                {}
func (longTasks) isFault()                {}
func (overload) isFault()                 {}
func (requireLabels) isFault()            {}
func (holdRequests) isFault()             {}
func (restartExecutor) isFault()          {}
func (restartAsOtherKind) isFault()       {}
func (endOrderConns) isFault()            {}
func (deregisterExecutor) isFault()       {}
func (refuseConnections) isFault()        {}
func (replaceExecutor) isFault()          {}
func (killSidecar) isFault()              {}
func (suspendSidecar) isFault()           {}
func (slowSidecar) isFault()              {}
func (killSidecarRepeatedly) isFault()    {}
func (suspendSidecarRepeatedly) isFault() {}
func (suspendEntryRepeatedly) isFault()   {}
func (throttleSidecar) isFault()          {}
func (killEntry) isFault()                {}
func (suspendEntry) isFault()             {}
func (slowEntry) isFault()                {}
func (loseEntry) isFault()                {}
func (cutLink) isFault()                  {}
func (cutDirection) isFault()             {}
func (resetConnection) isFault()          {}

// cause begins a fault that holds until the end, or causes one that occurs again and again.
func (sim *simulation) cause(flt fault) {
	if sim.faultRnd.IntN(100) >= repeatPercent {
		sim.targetSidecar = sim.sidecars[sim.faultRnd.IntN(len(sim.sidecars))]
		sim.targetEntry = sim.entries[sim.faultRnd.IntN(len(sim.entries))]
	}
	sc, ent := sim.targetSidecar, sim.targetEntry
	switch flt := flt.(type) {
	case loseOrders:
		sim.orders.lost = flt.percent
	case loseReplies:
		sim.orders.unanswered = flt.percent
	case delayOrders:
		sim.orders.late, sim.orders.minDelay, sim.orders.crossRestart = flt.percent, flt.minDelay, flt.crossRestart
	case malformRows:
		sim.malformedPercent = flt.percent
	case longWaits:
		sim.callerWait = longCallerWait
	case longTasks:
		sim.callerWait, sim.maxRunTime = longCallerWait, longRunTime
	case overload:
		sim.overloaded = true
	case leaveEarly:
		sim.leavingPercent = flt.percent
	case cutCallers:
		sim.cutCallerPercent = flt.percent
	case cutCallersBriefly:
		sim.briefCallerCuts = true
	case holdRequests:
		sim.heldPercent = flt.percent
		if flt.endDelay > 0 {
			sim.endDelay = flt.endDelay
		}
	case delayHeartbeats:
		sim.lateHeartbeats = flt.percent
	case setClockBack, forgeStartTime, forgeID, forgeClock, forgeSequence:
		sim.disturbHeartbeats(sc, flt)
	case requireLabels:
		sim.labelsRequired = true
	case endOrderConns:
		sim.note(sc.name, "connections for start orders end")
		clear(sc.orderConns)
	case restartExecutor, restartAsOtherKind, deregisterExecutor, refuseConnections, replaceExecutor:
		if sc.listening.up {
			sim.disturbExecutor(sc.listening, flt)
		}
	case killSidecar, suspendSidecar, slowSidecar, killSidecarRepeatedly, suspendSidecarRepeatedly, throttleSidecar:
		if sc.up {
			sim.disturbSidecar(sc, flt)
		}
	case killEntry, suspendEntry, slowEntry, suspendEntryRepeatedly, loseEntry:
		if ent.up {
			sim.disturbEntry(ent, flt)
		}
	case cutLink:
		sim.cut(ent, sc, between(sim.faultRnd, minCut, maxCut), toEntry, toSidecar)
	case cutDirection:
		sim.cut(ent, sc, between(sim.faultRnd, minCut, maxCut), direction(sim.faultRnd.IntN(2)))
	case resetConnection:
		if con := sim.linkOf(ent, sc).conn; con != nil {
			sim.reset(con, 0)
		}
	}
}

func (sim *simulation) disturbExecutor(exe *executor, flt fault) {
	sc := exe.sc
	switch flt.(type) {
	case restartAsOtherKind:
		sc.executorKind = otherKind(exe.kind)
		exe.stop("crashes")
		down := between(sim.faultRnd, minCrashTime, maxDownTime)
		if sim.faultRnd.IntN(2) == 0 {
			down = between(sim.faultRnd, minCrashTime, minDownTime)
		}
		sim.after(down, func() { sim.startExecutor(sc, exe.incarnation.ID, 0) })
	case restartExecutor:
		exe.stop("crashes")
		sim.after(between(sim.faultRnd, minDownTime, maxDownTime), func() { sim.startExecutor(sc, exe.incarnation.ID, 0) })
	case deregisterExecutor:
		if exe.draining {
			return
		}
		exe.draining = true
		if sim.faultRnd.IntN(2) == 0 {
			exe.sendHeartbeat()
			sim.after(between(sim.faultRnd, minDownTime, maxAckDelay), func() { sim.deregister(exe) })
			return
		}
		sim.deregister(exe)
	case refuseConnections:
		dur := between(sim.faultRnd, minRefusal, maxRefusal)
		sim.note(sc.name, "executor %v refuses connections for %v", exe.incarnation, dur)
		exe.refusingUntil = sim.now.Add(dur)
	case replaceExecutor:
		sim.note(sc.name, "executor %v is replaced and goes on", exe.incarnation)
		sim.startExecutor(sc, sim.newExecutorID(), 0)
		sim.after(replacedTime, func() { exe.stop("ends after it was replaced") })
	}
}

// deregister sends the deregistration of an executor, which ends after the acknowledgement, or some time later without one.
func (sim *simulation) deregister(exe *executor) {
	sc := exe.sc
	end := func() {
		if !exe.up {
			return
		}
		exe.stop("has left")
		id := exe.incarnation.ID
		if sim.faultRnd.IntN(2) == 0 {
			id = sim.newExecutorID()
		}
		sim.after(between(sim.faultRnd, minDownTime, maxDownTime), func() { sim.startExecutor(sc, id, 0) })
	}
	ackDelay, lost := between(sim.faultRnd, minLatency, maxLatency), false
	switch sim.faultRnd.IntN(3) {
	case 0:
		ackDelay = between(sim.faultRnd, 0, maxAckDelay)
	case 1:
		lost = true
	}
	sim.note(sc.name, "executor %v deregisters, acknowledgement after %v, lost %v", exe.incarnation, ackDelay, lost)
	sim.after(between(sim.faultRnd, minLatency, maxOrderLatency), func() {
		sc.post(nil, func() {
			sc.handle(func() { sc.deregisterExecutor(exe.incarnation.ID) })
			if !lost {
				sim.after(ackDelay, end)
			}
		})
	})
	sim.after(between(sim.faultRnd, minLeaveTime, maxLeaveTime), end)
}

func (sim *simulation) newExecutorID() string {
	sim.executorIDs++
	return fmt.Sprintf("i-%d", sim.executorIDs)
}

// suspension returns the length of a suspension. Half of them are shorter than a lease.
func (sim *simulation) suspension() time.Duration {
	if sim.faultRnd.IntN(2) == 0 {
		return between(sim.faultRnd, minSuspension, maxLease)
	}
	return between(sim.faultRnd, minSuspension, maxSuspension)
}

func (sim *simulation) disturbSidecar(sc *sidecar, flt fault) {
	switch flt.(type) {
	case killSidecar:
		sim.restartSidecar(sc)
	case killSidecarRepeatedly:
		sim.killRepeatedly(sc, maxRepetitions)
	case suspendSidecarRepeatedly:
		sim.suspendRepeatedly(&sc.process, maxRepetitions)
	case suspendSidecar:
		sc.suspend(sim.suspension())
	case slowSidecar:
		sc.slowDown(between(sim.faultRnd, minSuspension, maxSlowTime))
	case throttleSidecar:
		sim.throttle(&sc.process, sim.now.Add(between(sim.faultRnd, minSuspension, maxSlowTime)))
	}
}

func (sim *simulation) disturbEntry(ent *entry, flt fault) {
	switch flt.(type) {
	case killEntry:
		ent.kill()
		sim.after(between(sim.faultRnd, minDownTime, maxDownTime), func() { sim.startEntry(ent) })
	case suspendEntry:
		ent.suspend(sim.suspension())
	case loseEntry:
		for _, sc := range sim.sidecars {
			sim.cut(ent, sc, between(sim.faultRnd, maxDownTime, maxCut), toEntry, toSidecar)
		}
		ent.kill()
		sim.after(between(sim.faultRnd, minDownTime, maxDownTime), func() { sim.startEntry(ent) })
	case suspendEntryRepeatedly:
		sim.suspendRepeatedly(&ent.process, maxRepetitions)
	case slowEntry:
		ent.slowDown(between(sim.faultRnd, minSuspension, maxSlowTime))
	}
}

func (sim *simulation) restartSidecar(sc *sidecar) {
	sc.kill()
	sim.after(between(sim.faultRnd, minDownTime, maxDownTime), func() { sim.startSidecar(sc) })
}

// killRepeatedly kills a sidecar again and again.
func (sim *simulation) killRepeatedly(sc *sidecar, times int) {
	if !sc.up || times == 0 {
		return
	}
	sc.kill()
	sim.after(between(sim.faultRnd, minDownTime, maxLease), func() {
		sim.startSidecar(sc)
		sim.after(between(sim.faultRnd, minPause, maxPause), func() { sim.killRepeatedly(sc, times-1) })
	})
}

// suspendRepeatedly suspends a process again and again.
func (sim *simulation) suspendRepeatedly(pro *process, times int) {
	if !pro.up || times == 0 {
		return
	}
	dur := between(sim.faultRnd, minSuspension, maxLease)
	pro.suspend(dur)
	sim.after(dur+between(sim.faultRnd, minPause, maxPause), func() { sim.suspendRepeatedly(pro, times-1) })
}

// throttle lets a process run for a short part of each period until the end.
func (sim *simulation) throttle(pro *process, end time.Time) {
	if !pro.up || sim.now.After(end) {
		return
	}
	dur := between(sim.faultRnd, minThrottledTime, maxThrottledTime)
	pro.suspend(dur)
	sim.after(dur+between(sim.faultRnd, minRunningTime, maxRunningTime), func() { sim.throttle(pro, end) })
}

// isPermanent reports whether the fault begins once and holds until the end.
func isPermanent(flt fault) bool {
	switch flt.(type) {
	case loseOrders, loseReplies, delayOrders, delayHeartbeats, malformRows, leaveEarly, longWaits, longTasks, overload,
		holdRequests, requireLabels, cutCallers, cutCallersBriefly:
		return true
	default:
		return false
	}
}
