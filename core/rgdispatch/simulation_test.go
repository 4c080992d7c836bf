package rgdispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
)

// simStep is the time step of the simulation. All messages arrive with the next step.
const simStep = 5 * time.Millisecond

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

	simEntry struct {
		name, zone string
		sta        State
		sidecars   map[SidecarConnID]*simSidecar
		// weight is the entry's part of the jobs, relative to the others.
		weight float64
	}

	// simulation runs jobs on entries and sidecars in virtual time.
	simulation struct {
		rnd      *rand.Rand
		now      time.Time
		entries  []*simEntry
		sidecars []*simSidecar
		lastConn SidecarConnID
		jobs     int
		// times holds the times of the completed jobs relative to the estimate of their tasks.
		times    []float64
		onTime   int
		refused  int
		messages int
		tasks    int
		// usedTime is the core time of all tasks, and coreTime that of all executors that are not lost.
		usedTime, coreTime time.Duration
		rack               simRack
		rackTasks          []*simRackTask
		rackJobs           int
		rackJobsOnTime     int
		rackReturned       int
		rackPaidOff        int
	}

	// simLoad describes a simulated fleet and its jobs.
	simLoad struct {
		entries, sidecars, zones int
		limits                   rgmembership.Limits
		// load is the demand of the jobs as a fraction of the capacity of all executors that are not lost.
		load float64
		// weight returns the part of the jobs of an entry, relative to the others. Nil means that all are equal.
		weight func(entry int) float64
		// lostZone is a zone whose executors are lost, if it is not empty.
		lostZone string
		// added is the number of sidecars that are added empty after half of the time.
		added int
		// rack adds a rack that many jobs prefer, if it is not zero.
		rack     simRack
		duration time.Duration
	}
)

func zoneName(num int) string { return string(rune('a' + num)) }

// runSimulation runs jobs of a few tasks of 60 to 900 ms, as many of each kind of work as of the others.
func runSimulation(lod simLoad) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewPCG(1+lod.rack.seed, 2)), now: time.Unix(1000, 0), rack: lod.rack}
	for i := range lod.entries {
		ent := &simEntry{
			name: fmt.Sprintf("entry-%d", i), zone: zoneName(i % lod.zones), sidecars: map[SidecarConnID]*simSidecar{}, weight: 1,
		}
		if lod.weight != nil {
			ent.weight = lod.weight(i)
		}
		ent.sta.Name, ent.sta.AvailabilityZone = ent.name, ent.zone
		ent.sta.Limits = Limits{MaxRunTimeAfterLoss: 1500 * time.Millisecond, Cores: 0.5}
		ent.sta.RemoteFactor = lod.rack.remoteFactor
		ent.sta.StartedAt = sim.now.Add(-time.Hour)
		DetectSuspension(&ent.sta, sim.now)
		sim.entries = append(sim.entries, ent)
	}
	for i := range lod.sidecars {
		sim.addSidecar(i, lod)
	}
	capacity := 0.0
	for _, sc := range sim.sidecars {
		if !sc.lost {
			capacity += float64(sc.cores) / sc.slowdown
		}
	}
	begin := sim.now
	pending := 0.0
	for sim.now.Sub(begin) < lod.duration {
		if lod.added > 0 && sim.now.Sub(begin) >= lod.duration/2 {
			for i := range lod.added {
				sim.addSidecar(lod.sidecars+i, lod)
			}
			lod.added = 0
		}
		sim.step()
		// The mean job takes 0.56 s of core time.
		pending += lod.load * sim.rack.burst(sim.now.Sub(begin)) * capacity * simStep.Seconds() / 0.56
		for ; pending >= 1; pending-- {
			sim.submit()
		}
	}
	return sim
}

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

// step ends and starts tasks, sends the reports that are due and advances the time.
func (sim *simulation) step() {
	sim.now = sim.now.Add(simStep)
	for _, sc := range sim.sidecars {
		if !sc.lost {
			sim.runTasks(sc)
		}
	}
	for _, ent := range sim.entries {
		DetectSuspension(&ent.sta, sim.now)
		if sim.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
			sim.perform(ent, Tick(&ent.sta, sim.now))
		}
	}
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

// submit submits a job to an entry that is drawn by the weights.
func (sim *simulation) submit() {
	kinds := []struct {
		count    int
		estimate time.Duration
	}{
		{count: 8, estimate: 60 * time.Millisecond},
		{count: 1, estimate: 800 * time.Millisecond},
		{count: 2, estimate: 200 * time.Millisecond},
		{count: 4, estimate: 900 * time.Millisecond},
	}
	knd := kinds[sim.rack.kind(sim)]
	sum := 0.0
	for _, ent := range sim.entries {
		sum += ent.weight
	}
	at := sim.rnd.Float64() * sum
	ent := sim.entries[len(sim.entries)-1]
	for _, cur := range sim.entries {
		if at -= cur.weight; at < 0 {
			ent = cur
			break
		}
	}
	sim.jobs++
	sim.tasks += knd.count
	req := newRequest(fmt.Sprintf("job-%d", sim.jobs), knd.count, knd.estimate)
	sim.rack.prefer(sim, &req)
	sim.perform(ent, Submit(&ent.sta, sim.now, CallerID(sim.jobs), req))
}

func (sim *simulation) perform(ent *simEntry, efs []Effect) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case SendPlacement:
			sim.messages++
			sim.accept(ent, ent.sidecars[eff.Conn], eff.Placement)
		case CountPlaceWait:
			sim.rack.recordWait(sim, eff)
		case CancelTasks:
			sim.messages++
			sim.cancel(ent, ent.sidecars[eff.Conn], eff.Tickets)
		case SendAnswer:
			if eff.Verdict == rgmodel.RanOK {
				if eff.Detail.Overdue <= 0 {
					sim.onTime++
					if eff.Detail.Route == hotRoute {
						sim.rackJobsOnTime++
					}
				}
				sim.times = append(sim.times, eff.Took.Seconds()/eff.Detail.Estimate.Seconds())
			} else {
				sim.refused++
			}
		}
	}
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

// quantile returns a quantile of the times of the completed jobs, relative to the estimate of their tasks.
func (sim *simulation) quantile(part float64) float64 {
	if len(sim.times) == 0 {
		return 0
	}
	slices.Sort(sim.times)
	return sim.times[int(part*float64(len(sim.times)-1))]
}

func (sim *simulation) utilization() float64 {
	return sim.usedTime.Seconds() / sim.coreTime.Seconds()
}
