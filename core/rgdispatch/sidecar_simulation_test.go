package rgdispatch

import (
	"fmt"
	"slices"
	"time"

	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
)

type (
	// simSidecar is a sidecar with an executor that runs tasks of one core in the order of their arrival.
	simSidecar struct {
		name, zone string
		cores      int
		slowdown   float64
		rack       int
		// lost means that the executor runs nothing and its sidecar does not report.
		lost    bool
		queue   []*simTask
		running []*simTask
		conns   map[*simEntry]*simConn
		// order holds the connections in a fixed order.
		order []*simConn
	}

	// simConn is the connection between a sidecar and an entry.
	simConn struct {
		id         SidecarConnID
		entry      *simEntry
		reportedAt time.Time
		lastTicket rgmodel.Ticket
	}

	simTask struct {
		entry  *simEntry
		ticket rgmodel.Ticket
		run    time.Duration
		endsAt time.Time
		// estimate is what the sidecar expects, relative to its slowdown.
		estimate time.Duration
		started  time.Time
		// latestStart is the latest start at which the task is still on time.
		latestStart time.Time
		// rack is set for a task of a job that prefers a rack.
		rack *simRackTask
		// queuedUntil is when the task is returned if it is still queued; zero means never.
		queuedUntil time.Time
	}
)

// addSidecar adds a sidecar that is connected to the entries it selects.
func (sim *simulation) addSidecar(num int, lod simLoad) {
	sc := &simSidecar{
		name: fmt.Sprintf("side-%d", num), zone: zoneName(num % lod.zones), cores: 6, slowdown: 1.4, conns: map[*simEntry]*simConn{},
		rack: noRack,
	}
	if num%3 == 0 {
		sc.cores, sc.slowdown = 9, 0.6
	}
	if lod.rack.remoteFactor > 0 {
		sc.cores, sc.slowdown, sc.rack = rackCores, 1+0.1*float64(num%4), num/rackSize
	}
	sc.lost = sc.zone == lod.lostZone
	sim.sidecars = append(sim.sidecars, sc)
	members := rgmembership.State{Name: sc.name, AvailabilityZone: sc.zone, Limits: lod.limits}
	var ents []rgmodel.Entry
	for _, ent := range sim.entries {
		ents = append(ents, rgmodel.Entry{Name: ent.name, Address: ent.name, AvailabilityZone: ent.zone})
	}
	rgmembership.RecordListed(&members, sim.now, ents)
	for _, act := range rgmembership.Update(&members, sim.now) {
		dial, ok := act.(rgmembership.Dial)
		if !ok || sc.lost {
			continue
		}
		idx := slices.IndexFunc(sim.entries, func(ent *simEntry) bool { return ent.name == dial.Address })
		sim.connect(sim.entries[idx], sc)
	}
}

func (sim *simulation) connect(ent *simEntry, sc *simSidecar) {
	sim.lastConn++
	con := &simConn{id: sim.lastConn, entry: ent}
	sc.conns[ent] = con
	sc.order = append(sc.order, con)
	ent.sidecars[con.id] = sc
	Connect(&ent.sta, sim.now, con.id, sc.name, rgmodel.SidecarTimeOf(sim.now))
	UpdateExecutor(&ent.sta, con.id, rgmodel.Executor{
		Service: "desk", AvailabilityZone: sc.zone, Capacity: rgmodel.Resources{Cores: float64(sc.cores)},
		Labels: []string{rackName(sc.rack)},
	})
	sim.report(ent, sc)
}

func (sim *simulation) report(ent *simEntry, sc *simSidecar) {
	con := sc.conns[ent]
	con.reportedAt = sim.now
	sim.messages++
	RecordHeartbeat(&ent.sta, sim.now, con.id, rgmodel.SidecarTimeOf(sim.now), TickInterval)
	rep := rgmodel.ExecutorReport{
		Used: rgmodel.Resources{Cores: float64(len(sc.running))}, Allocatable: rgmodel.Resources{Cores: float64(sc.cores)},
		Usable: true, Slowdown: sc.slowdown,
	}
	if wait := sc.expectedWait(sim.now); wait > 0 {
		for range len(rgmodel.SlackBuckets) + 1 {
			rep.ExpectedWaits = append(rep.ExpectedWaits, wait)
		}
	}
	sim.perform(ent, UpdateReport(&ent.sta, sim.now, con.id, rep, con.lastTicket))
}

// expectedWait returns how long a task that arrives now would wait.
func (sc *simSidecar) expectedWait(now time.Time) time.Duration {
	if len(sc.running) < sc.cores {
		return 0
	}
	if sc.rack != noRack {
		return sc.forecast(now)
	}
	left := time.Duration(0)
	for _, tsk := range sc.running {
		left += tsk.endsAt.Sub(now)
	}
	for _, tsk := range sc.queue {
		left += time.Duration(sc.slowdown * float64(tsk.run))
	}
	return left / time.Duration(sc.cores)
}

func (sim *simulation) runTasks(sc *simSidecar) {
	sim.coreTime += time.Duration(sc.cores) * simStep
	sim.usedTime += time.Duration(len(sc.running)) * simStep
	var left []*simTask
	for _, tsk := range sc.running {
		if sim.now.Before(tsk.endsAt) {
			left = append(left, tsk)
			continue
		}
		sim.end(sc, tsk, rgmodel.TaskEnd{Ticket: tsk.ticket})
	}
	sc.running = left
	sim.returnQueued(sc)
	for len(sc.queue) > 0 && len(sc.running) < sc.cores {
		tsk := sc.queue[0]
		sc.queue = sc.queue[1:]
		run := time.Duration(sc.slowdown * float64(tsk.run))
		tsk.started, tsk.endsAt = sim.now, sim.now.Add(run)
		if tsk.rack != nil {
			tsk.rack.started, tsk.rack.run = sim.now, run
		}
		sc.running = append(sc.running, tsk)
	}
	for _, con := range sc.order {
		if sim.now.Sub(con.reportedAt) >= con.entry.sta.Sidecars[con.id].ReportInterval {
			sim.report(con.entry, sc)
		}
	}
}

func (sim *simulation) end(sc *simSidecar, tsk *simTask, end rgmodel.TaskEnd) {
	sim.messages++
	if tsk.rack != nil && end.Status == rgmodel.EndSucceeded {
		sim.rackTasks = append(sim.rackTasks, tsk.rack)
	}
	sim.perform(tsk.entry, RecordEnds(&tsk.entry.sta, sim.now, sc.conns[tsk.entry].id, []rgmodel.TaskEnd{end}))
}

func (sim *simulation) accept(ent *simEntry, sc *simSidecar, plc rgmodel.Placement) {
	con := sc.conns[ent]
	for _, tsk := range plc.Tasks {
		con.lastTicket = max(con.lastTicket, tsk.Ticket)
		job := &simTask{entry: ent, ticket: tsk.Ticket, run: sim.rack.actual(sim, tsk.Estimate), estimate: tsk.Estimate}
		job.rack = sim.rack.newRackTask(ent, sc, tsk)
		job.latestStart = sim.now.Add(plc.TimeToSoftDeadline - time.Duration(sc.slowdown*float64(tsk.Estimate)))
		if tsk.MaxQueueTime > 0 {
			job.queuedUntil = sim.now.Add(tsk.MaxQueueTime)
		}
		if tsk.MaxWait > 0 && sc.expectedWait(sim.now) > tsk.MaxWait {
			sim.report(ent, sc)
			sim.end(sc, job, rgmodel.TaskEnd{Ticket: tsk.Ticket, Status: rgmodel.EndReturned, Reason: rgmodel.ReasonExpectedWait})
			continue
		}
		sc.enqueue(job)
	}
}

func (sim *simulation) cancel(ent *simEntry, sc *simSidecar, tks []rgmodel.Ticket) {
	match := func(tsk *simTask) bool { return tsk.entry == ent && slices.Contains(tks, tsk.ticket) }
	sc.queue = slices.DeleteFunc(sc.queue, match)
	sc.running = slices.DeleteFunc(sc.running, match)
}

// forecast returns how long a task that arrives now would wait by the estimates, as a sidecar predicts it.
func (sc *simSidecar) forecast(now time.Time) time.Duration {
	ends := make([]time.Duration, 0, len(sc.running))
	for _, tsk := range sc.running {
		exp := time.Duration(sc.slowdown * float64(tsk.estimate))
		ends = append(ends, max(exp-now.Sub(tsk.started), exp/8))
	}
	slices.Sort(ends)
	for _, tsk := range sc.queue {
		ends[0] += time.Duration(sc.slowdown * float64(tsk.estimate))
		slices.Sort(ends)
	}
	return ends[0]
}

// enqueue queues the task in the order of arrival, or in that of the latest start, as a sidecar does.
func (sc *simSidecar) enqueue(tsk *simTask) {
	at := len(sc.queue)
	if sc.rack != noRack {
		at, _ = slices.BinarySearchFunc(sc.queue, tsk, func(one, two *simTask) int {
			if one.latestStart.After(two.latestStart) {
				return 1
			}
			return -1
		})
	}
	sc.queue = slices.Insert(sc.queue, at, tsk)
}

// returnQueued returns the tasks that have been queued for too long.
func (sim *simulation) returnQueued(sc *simSidecar) {
	var overdue []*simTask
	sc.queue = slices.DeleteFunc(sc.queue, func(tsk *simTask) bool {
		over := !tsk.queuedUntil.IsZero() && !sim.now.Before(tsk.queuedUntil)
		if over {
			overdue = append(overdue, tsk)
		}
		return over
	})
	for _, tsk := range overdue {
		sim.report(tsk.entry, sc)
		sim.end(sc, tsk, rgmodel.TaskEnd{Ticket: tsk.ticket, Status: rgmodel.EndReturned, Reason: rgmodel.ReasonPlaceWait})
	}
}
