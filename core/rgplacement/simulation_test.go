package rgplacement_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgqueue"
)

const (
	defaultPeriod = 200 * time.Millisecond
	networkDelay  = 1500 * time.Microsecond
	deadline      = 10 * time.Second
	maxRetries    = 2
	slots         = 8
	failureTime   = 5 * time.Millisecond
)

type (
	// settings describes one run of the simulation. The load is a fraction of the fleet's capacity.
	settings struct {
		policy   rgplacement.Policy
		load     float64
		duration time.Duration
		// reportPeriod is the interval between reports, or zero for 200 ms. Entries receive each report after
		// reportDelay and networkDelay.
		reportPeriod, reportDelay time.Duration
		// entryCount is the number of entries that the candidates assume. The simulation always has three.
		entryCount int
		// declared is the declared run time in relation to the mean of the kind.
		declared float64
		// maxJobTasks is the largest number of tasks of a job; zero means 60.
		maxJobTasks int
		// failing and hung name the sidecars with these faults, if any.
		failing    string
		hung       string
		noEjection bool
	}

	event struct {
		at    time.Duration
		order int
		run   func()
	}

	eventHeap []event

	simSidecar struct {
		queue    rgqueue.State
		slowdown float64
		sequence uint64
	}

	simEntry struct {
		fleet     rgfleet.State
		admission rgadmission.State
	}

	simJob struct {
		entry         *simEntry
		batch         rgmodel.Batch
		runTimes      []time.Duration
		arrival       time.Duration
		ideal         time.Duration
		remaining     int
		assignedTasks int
		failed        bool
		excluded      map[rgmodel.SidecarKey]bool
		messages      int
		wasted        int
		reserved      bool
		// reservations counts the reservations that can still get a task.
		reservations int
		openTasks    map[string]int
	}

	simulation struct {
		settings
		random     *rand.Rand
		now        time.Duration
		events     eventHeap
		eventCount int
		sidecars   map[string]*simSidecar
		names      []string
		entries    []*simEntry
		jobs       map[rgmodel.SubmissionID]*simJob
		result     result
	}

	result struct {
		jobs, complete, tasks, lost, messages, wasted, reports, firstAttempts, retries, wantedRetries int
		// responseRatios holds the response times of complete jobs relative to the ideal, and arrivals their arrival times.
		responseRatios []float64
		arrivals       []time.Duration
	}
)

// slowdowns holds the run times on each upstream relative to the fastest one.
var slowdowns = []float64{1, 1, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 5}

// runTimeRanges holds the shortest and the longest run time of each kind on the fastest upstream, in seconds.
var runTimeRanges = map[string][2]float64{"short": {0.05, 0.15}, "middle": {0.15, 0.4}, "long": {0.4, 1}}

func (eh eventHeap) Len() int      { return len(eh) }
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }
func (eh eventHeap) Less(i, j int) bool {
	return eh[i].at < eh[j].at || (eh[i].at == eh[j].at && eh[i].order < eh[j].order)
}
func (eh *eventHeap) Push(evt any) { *eh = append(*eh, evt.(event)) }
func (eh *eventHeap) Pop() any {
	last := (*eh)[len(*eh)-1]
	*eh = (*eh)[:len(*eh)-1]
	return last
}

// simulate runs the decisions of entries and sidecars in virtual time. Runs with the same seed and load have the same
// arrivals for all policies.
func simulate(set settings, seed uint64) result {
	sim := &simulation{
		settings: set, random: rand.New(rand.NewPCG(seed, 1)), sidecars: map[string]*simSidecar{}, jobs: map[rgmodel.SubmissionID]*simJob{},
	}
	period := cmp.Or(sim.reportPeriod, defaultPeriod)
	ring := rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{{Incarnation: "entry"}}}
	for range 3 {
		sim.entries = append(sim.entries, &simEntry{})
	}
	for i, factor := range slowdowns {
		sc := &simSidecar{slowdown: factor}
		sc.queue.Self = rgmodel.Sidecar{Name: fmt.Sprint("s", i), Incarnation: "1", Capacity: rgmodel.Capacity{Slots: slots}}
		rgqueue.AdoptRing(&sc.queue, ring)
		// The entry stays in contact for the whole simulation.
		rgqueue.RecordContact(&sc.queue, ring.Entries[0], sim.clock().Add(24*time.Hour))
		sim.sidecars[sc.queue.Self.Name] = sc
		sim.names = append(sim.names, sc.queue.Self.Name)
		for _, ent := range sim.entries {
			rgfleet.Announce(&ent.fleet, sc.queue.Self, sim.clock())
			rgfleet.MarkSealed(&ent.fleet, sc.queue.Self.Key())
		}
		sim.schedule(time.Duration(i)*period/10, func() { sim.report(sc) })
	}
	sim.scheduleArrivals(seed)
	for len(sim.events) > 0 {
		evt := heap.Pop(&sim.events).(event)
		if evt.at > set.duration+2*deadline {
			break
		}
		sim.now = evt.at
		evt.run()
	}
	return sim.result
}

func (sim *simulation) clock() time.Time { return time.Unix(0, 0).Add(sim.now) }

func (sim *simulation) schedule(dur time.Duration, run func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{at: sim.now + dur, order: sim.eventCount, run: run})
}

// scheduleArrivals schedules Poisson arrivals of jobs. The number of tasks has a log-uniform distribution from 1 to
// maxJobTasks.
func (sim *simulation) scheduleArrivals(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(sim.load*100)))
	kinds := []string{"short", "middle", "long"}
	meanRunTime := (0.1 + 0.275 + 0.7) / 3
	maxTasks := cmp.Or(sim.maxJobTasks, 60)
	meanTasks, capacity := 0.0, 0.0
	for num := 1.0; num <= float64(maxTasks); num++ {
		meanTasks += num * math.Log((num+1)/num) / math.Log(float64(maxTasks+1))
	}
	for _, factor := range slowdowns {
		capacity += slots / factor
	}
	rate := sim.load * capacity / meanRunTime / meanTasks
	for at := time.Duration(0); at < sim.duration; at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		jb := &simJob{entry: sim.entries[rnd.IntN(3)], arrival: at, openTasks: map[string]int{}, excluded: map[rgmodel.SidecarKey]bool{}}
		kind := kinds[rnd.IntN(3)]
		bounds := runTimeRanges[kind]
		jb.batch = rgmodel.Batch{
			ID: rgmodel.SubmissionID(fmt.Sprint(len(sim.jobs))), Generation: 1, Flow: rgmodel.Flow{Team: "team", Kind: kind},
			RunTime: rgmodel.Duration{Duration: time.Duration(sim.declared * (bounds[0] + bounds[1]) / 2 * float64(time.Second))},
		}
		num := int(math.Exp(rnd.Float64() * math.Log(float64(maxTasks+1))))
		for i := range min(maxTasks, num) {
			jb.runTimes = append(jb.runTimes, time.Duration((bounds[0]+rnd.Float64()*(bounds[1]-bounds[0]))*float64(time.Second)))
			jb.batch.Tasks = append(jb.batch.Tasks, rgmodel.Task{Index: i})
		}
		jb.remaining, jb.ideal = len(jb.runTimes), ideal(jb.runTimes)
		sim.jobs[jb.batch.ID] = jb
		sim.schedule(at, func() { sim.place(jb, jb.batch.Tasks, 0) })
		sim.result.jobs++
		sim.result.tasks += len(jb.runTimes)
	}
}

// ideal returns the finish time of all tasks on an idle fleet if the longest tasks start first, each on the slot that
// finishes it first.
func ideal(tasks []time.Duration) time.Duration {
	tasks = slices.Sorted(slices.Values(tasks))
	slices.Reverse(tasks)
	var busy [80]time.Duration
	last := time.Duration(0)
	for _, tsk := range tasks {
		best, end := 0, time.Duration(math.MaxInt64)
		for i := range busy {
			if fin := busy[i] + time.Duration(float64(tsk)*slowdowns[i/slots]); fin < end {
				best, end = i, fin
			}
		}
		busy[best] = end
		last = max(last, end)
	}
	return last
}

func (sim *simulation) report(sc *simSidecar) {
	rep := rgqueue.NewReport(&sc.queue)
	sc.sequence++
	rep.Sequence = sc.sequence
	for _, ent := range sim.entries {
		sim.result.reports++
		sim.schedule(sim.reportDelay+networkDelay, func() {
			rgfleet.RecordReport(&ent.fleet, rep, sim.clock())
			if sim.noEjection {
				ent.fleet.Members[rep.Sidecar].Health = rgfleet.Health{}
			}
		})
	}
	rgqueue.ExpireRecords(&sc.queue, sim.clock())
	sim.handleExpired(sc, rgqueue.ExpireQueued(&sc.queue, sim.clock()))
	sim.schedule(cmp.Or(sim.reportPeriod, defaultPeriod), func() { sim.report(sc) })
}

// place sends the tasks in batches, or reservations for them. It fails the job if there is no candidate or no retry left.
func (sim *simulation) place(jb *simJob, tasks []rgmodel.Task, retry int) {
	ent := jb.entry
	sel := rgfleet.Selector{Exclude: jb.excluded, Limit: rgplacement.SampleSize(len(tasks))}
	inf := rgplacement.JobInfo{Flow: jb.batch.Flow, DeclaredRunTime: jb.batch.RunTime.Duration, Entries: sim.entryCount}
	var cans []rgplacement.Candidate
	for _, mem := range rgfleet.Sample(&ent.fleet, sel, sim.random, sim.clock()) {
		if _, probes := sim.policy.(rgplacement.PowerOfChoices); probes {
			cpy := *mem
			cpy.Report, cpy.SentSinceReport = rgqueue.NewReport(&sim.sidecars[mem.Sidecar.Name].queue), nil
			mem = &cpy
		}
		cans = append(cans, rgplacement.NewCandidate(&ent.fleet, mem, inf, sim.clock()))
	}
	plc := rgplacement.Distribute(sim.policy, cans, len(tasks), sim.random)
	sim.addMessages(jb, 2*plc.Probes, false)
	if retry > 0 {
		sim.result.wantedRetries += len(plc.Assignments)
	}
	if len(plc.Assignments) == 0 || (retry > 0 && !rgadmission.TakeRetries(&ent.admission, len(plc.Assignments))) {
		sim.fail(jb)
		return
	}
	delay := networkDelay
	if plc.Probes > 0 {
		delay = 3 * networkDelay
	}
	jb.reserved = plc.Reservations
	next := 0
	for _, asg := range plc.Assignments {
		bat := jb.batch
		if plc.Reservations {
			bat.Tasks = make([]rgmodel.Task, asg.Tasks)
			for i := range bat.Tasks {
				bat.Tasks[i].Index = i
			}
		} else {
			bat.Tasks = tasks[next : next+asg.Tasks]
			next += asg.Tasks
		}
		if retry > 0 {
			sim.result.retries++
		} else {
			sim.result.firstAttempts++
			rgadmission.CountBatch(&ent.admission)
		}
		jb.reservations += asg.Tasks
		rgfleet.CountSent(&ent.fleet, asg.Sidecar, jb.batch.Flow, asg.Tasks)
		sim.addMessages(jb, 1, false)
		sim.schedule(delay, func() { sim.accept(sim.sidecars[asg.Sidecar.Name], jb, bat, retry) })
	}
}

// accept delivers a batch or reservations to a sidecar. Refused tasks are placed again on other sidecars, up to maxRetries times,
// and refused reservations are released.
func (sim *simulation) accept(sc *simSidecar, jb *simJob, bat rgmodel.Batch, retry int) {
	if jb.failed {
		return
	}
	name := sc.queue.Self.Name
	bat.Remaining.Duration = max(0, jb.arrival+deadline-sim.now)
	rgqueue.Accept(&sc.queue, bat, sim.clock())
	outs, final := rgqueue.Outcomes(&sc.queue, bat.ID, []int{bat.Tasks[0].Index})
	if !final {
		jb.openTasks[name] += len(bat.Tasks)
		sim.start(sc)
		return
	}
	if outs[0].Verdict != rgmodel.NotRun {
		panic("a new batch is already final")
	}
	sim.addMessages(jb, 2, true)
	sim.addMessages(jb, -1, false)
	if jb.reserved {
		sim.releaseReservations(jb, len(bat.Tasks))
		return
	}
	sim.schedule(networkDelay, func() {
		jb.excluded[sc.queue.Self.Key()] = true
		if retry == maxRetries {
			sim.fail(jb)
		}
		if !jb.failed {
			sim.place(jb, bat.Tasks, retry+1)
		}
	})
}

// releaseReservations drops reservations and fails the job if too few are left.
func (sim *simulation) releaseReservations(jb *simJob, count int) {
	jb.reservations -= count
	if jb.reservations < len(jb.runTimes)-jb.assignedTasks {
		sim.fail(jb)
	}
}

// start starts tasks on the free slots of a sidecar. With late binding, the sidecar first requests a task for each reservation.
func (sim *simulation) start(sc *simSidecar) {
	res := rgqueue.StartNext(&sc.queue, sim.clock())
	sim.handleExpired(sc, res.Expired)
	for _, stt := range res.Started {
		jb := sim.jobs[stt.ID]
		if !jb.reserved {
			sim.run(sc, jb, stt, stt.Task.Index)
			continue
		}
		// The slot stays idle while the sidecar requests a task.
		sim.addMessages(jb, 2, jb.assignedTasks >= len(jb.runTimes))
		sim.schedule(2*networkDelay, func() {
			if jb.assignedTasks >= len(jb.runTimes) || jb.failed {
				rgqueue.Finish(&sc.queue, stt, rgmodel.Outcome{Index: stt.Task.Index, Reason: rgmodel.ReasonCancelled}, 2*networkDelay)
				sim.start(sc)
				return
			}
			jb.assignedTasks++
			jb.reservations--
			sim.run(sc, jb, stt, jb.assignedTasks-1)
		})
	}
}

// run executes the task with the given index in the slot of a started task or reservation.
func (sim *simulation) run(sc *simSidecar, jb *simJob, stt rgqueue.StartedTask, index int) {
	name := sc.queue.Self.Name
	took := time.Duration(float64(jb.runTimes[index]) * sc.slowdown)
	out := rgmodel.Outcome{Index: stt.Task.Index, Verdict: rgmodel.RanOK}
	switch remaining := jb.arrival + deadline - sim.now; {
	case name == sim.failing:
		took, out.Verdict = failureTime, rgmodel.RanFailed
	case name == sim.hung || took > remaining:
		took, out.Verdict, out.Reason = remaining, rgmodel.MayHaveRun, rgmodel.ReasonUpstreamTimeout
	}
	sim.schedule(took, func() {
		rgqueue.Finish(&sc.queue, stt, out, took)
		jb.openTasks[name]--
		if out.Verdict != rgmodel.RanOK {
			sim.result.lost++
			sim.fail(jb)
		}
		// A batch has one reply for all its tasks. With late binding, each task has its own reply.
		if jb.openTasks[name] == 0 || jb.reserved {
			sim.addMessages(jb, 1, false)
		}
		jb.remaining--
		if jb.remaining == 0 && !jb.failed {
			sim.schedule(networkDelay, func() { sim.complete(jb) })
		}
		sim.start(sc)
	})
}

func (sim *simulation) complete(jb *simJob) {
	sim.result.complete++
	sim.result.responseRatios = append(sim.result.responseRatios, float64(sim.now-jb.arrival)/float64(jb.ideal))
	sim.result.arrivals = append(sim.result.arrivals, jb.arrival)
	sim.result.messages += jb.messages
	sim.result.wasted += jb.wasted
}

func (sim *simulation) handleExpired(sc *simSidecar, ids []rgmodel.SubmissionID) {
	for _, id := range ids {
		jb := sim.jobs[id]
		jb.openTasks[sc.queue.Self.Name]--
		if jb.reserved {
			sim.releaseReservations(jb, 1)
		} else {
			sim.fail(jb)
		}
	}
}

// fail cancels the queued tasks of a job and counts all its messages as wasted.
func (sim *simulation) fail(jb *simJob) {
	if jb.failed || jb.remaining == 0 {
		return
	}
	jb.failed = true
	for _, name := range sim.names {
		if jb.openTasks[name] > 0 {
			sim.addMessages(jb, 1, true)
			queue := &sim.sidecars[name].queue
			sim.schedule(2*networkDelay, func() { rgqueue.Cancel(queue, []rgmodel.SubmissionID{jb.batch.ID}, sim.clock()) })
		}
	}
	sim.result.messages += jb.messages
	sim.result.wasted += jb.messages
}

func (sim *simulation) addMessages(jb *simJob, messages int, wasted bool) {
	jb.messages += messages
	if wasted {
		jb.wasted += messages
	}
}

// quantile returns the quantile of the values, of which there must be at least one.
func quantile(vals []float64, level float64) float64 {
	vals = slices.Sorted(slices.Values(vals))
	return vals[int(level*float64(len(vals)-1))]
}
