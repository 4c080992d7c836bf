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
	hop           = 1500 * time.Microsecond
	deadline      = 10 * time.Second
	maxRetries    = 2
	slots         = 8
	failTime      = 5 * time.Millisecond
)

type (
	// settings describe one run of the simulation. Load is a fraction of the fleet's capacity.
	settings struct {
		policy rgplacement.Policy
		load   float64
		length time.Duration
		// Sidecars report every reportPeriod, which is 200 ms when zero, and the entries get it reportDelay later.
		reportPeriod, reportDelay time.Duration
		senders                   int
		declared                  float64
		// largest is the largest number of tasks of a job; zero means 60.
		largest    int
		failing    string
		hanging    string
		noEjection bool
	}

	event struct {
		at  time.Duration
		num int
		run func()
	}

	eventHeap []event

	simSidecar struct {
		queue    rgqueue.State
		slowness float64
		sequence uint64
	}

	simEntry struct {
		fleet     rgfleet.State
		admission rgadmission.State
	}

	simJob struct {
		entry    *simEntry
		batch    rgmodel.Batch
		sizes    []time.Duration
		arrival  time.Duration
		ideal    time.Duration
		left     int
		bound    int
		failed   bool
		tried    map[rgmodel.SidecarKey]bool
		messages int
		wasted   int
		reserved bool
		// places counts the reservations that may still get a task.
		places int
		open   map[string]int
	}

	simulation struct {
		settings
		random   *rand.Rand
		now      time.Duration
		events   eventHeap
		count    int
		sidecars map[string]*simSidecar
		names    []string
		entries  []*simEntry
		jobs     map[rgmodel.SubmissionID]*simJob
		result   result
	}

	result struct {
		jobs, complete, tasks, lost, messages, wasted, reports, first, retries, wanted int
		// ratios holds the response times of complete jobs relative to the ideal, and arrivals when they came.
		ratios   []float64
		arrivals []time.Duration
	}
)

// slownesses are the run times on each upstream relative to the fastest.
var slownesses = []float64{1, 1, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 5}

// sizes are the shortest and the longest run time of each kind on the fastest upstream.
var sizes = map[string][2]float64{"short": {0.05, 0.15}, "middle": {0.15, 0.4}, "long": {0.4, 1}}

func (eh eventHeap) Len() int      { return len(eh) }
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }
func (eh eventHeap) Less(i, j int) bool {
	return eh[i].at < eh[j].at || (eh[i].at == eh[j].at && eh[i].num < eh[j].num)
}
func (eh *eventHeap) Push(elm any) { *eh = append(*eh, elm.(event)) }
func (eh *eventHeap) Pop() any {
	lst := (*eh)[len(*eh)-1]
	*eh = (*eh)[:len(*eh)-1]
	return lst
}

// simulate runs the pure decisions in virtual time. Equal seeds and loads give equal arrivals for all policies.
func simulate(set settings, seed uint64) result {
	sim := &simulation{
		settings: set, random: rand.New(rand.NewPCG(seed, 1)), sidecars: map[string]*simSidecar{}, jobs: map[rgmodel.SubmissionID]*simJob{},
	}
	period := cmp.Or(sim.reportPeriod, defaultPeriod)
	ring := rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{{Incarnation: "entry"}}}
	for range 3 {
		sim.entries = append(sim.entries, &simEntry{})
	}
	for i, slw := range slownesses {
		sc := &simSidecar{slowness: slw}
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
		sim.after(time.Duration(i)*period/10, func() { sim.report(sc) })
	}
	sim.arrivals(seed)
	for len(sim.events) > 0 {
		evt := heap.Pop(&sim.events).(event)
		if evt.at > set.length+2*deadline {
			break
		}
		sim.now = evt.at
		evt.run()
	}
	return sim.result
}

func (sim *simulation) clock() time.Time { return time.Unix(0, 0).Add(sim.now) }

func (sim *simulation) after(dur time.Duration, run func()) {
	sim.count++
	heap.Push(&sim.events, event{at: sim.now + dur, num: sim.count, run: run})
}

// arrivals draws Poisson arrivals of jobs of 1 to largest tasks, with the logarithm of the number uniform.
func (sim *simulation) arrivals(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(sim.load*100)))
	kinds := []string{"short", "middle", "long"}
	meanSize := (0.1 + 0.275 + 0.7) / 3
	largest := cmp.Or(sim.largest, 60)
	meanTasks, capacity := 0.0, 0.0
	for num := 1.0; num <= float64(largest); num++ {
		meanTasks += num * math.Log((num+1)/num) / math.Log(float64(largest+1))
	}
	for _, slw := range slownesses {
		capacity += slots / slw
	}
	rate := sim.load * capacity / meanSize / meanTasks
	for at := time.Duration(0); at < sim.length; at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		jb := &simJob{entry: sim.entries[rnd.IntN(3)], arrival: at, open: map[string]int{}, tried: map[rgmodel.SidecarKey]bool{}}
		kind := kinds[rnd.IntN(3)]
		bounds := sizes[kind]
		jb.batch = rgmodel.Batch{
			ID: rgmodel.SubmissionID(fmt.Sprint(len(sim.jobs))), Generation: 1, Flow: rgmodel.Flow{Team: "team", Kind: kind},
			RunTime: rgmodel.Duration{Duration: time.Duration(sim.declared * (bounds[0] + bounds[1]) / 2 * float64(time.Second))},
		}
		num := int(math.Exp(rnd.Float64() * math.Log(float64(largest+1))))
		for i := range min(largest, num) {
			jb.sizes = append(jb.sizes, time.Duration((bounds[0]+rnd.Float64()*(bounds[1]-bounds[0]))*float64(time.Second)))
			jb.batch.Tasks = append(jb.batch.Tasks, rgmodel.Task{Index: i})
		}
		jb.left, jb.ideal = len(jb.sizes), ideal(jb.sizes)
		sim.jobs[jb.batch.ID] = jb
		sim.after(at, func() { sim.place(jb, jb.batch.Tasks, 0) })
		sim.result.jobs++
		sim.result.tasks += len(jb.sizes)
	}
}

// ideal is the finish time of all tasks on the idle fleet: the largest first, each to the slot that finishes it first.
func ideal(tasks []time.Duration) time.Duration {
	tasks = slices.Sorted(slices.Values(tasks))
	slices.Reverse(tasks)
	var busy [80]time.Duration
	last := time.Duration(0)
	for _, tsk := range tasks {
		best, end := 0, time.Duration(math.MaxInt64)
		for i := range busy {
			if fin := busy[i] + time.Duration(float64(tsk)*slownesses[i/slots]); fin < end {
				best, end = i, fin
			}
		}
		busy[best] = end
		last = max(last, end)
	}
	return last
}

func (sim *simulation) report(sc *simSidecar) {
	rep := rgqueue.Report(&sc.queue)
	sc.sequence++
	rep.Sequence = sc.sequence
	for _, ent := range sim.entries {
		sim.result.reports++
		sim.after(sim.reportDelay+hop, func() {
			rgfleet.Report(&ent.fleet, rep, sim.clock())
			if sim.noEjection {
				ent.fleet.Members[rep.Sidecar].Health = rgfleet.Health{}
			}
		})
	}
	rgqueue.ExpireRecords(&sc.queue, sim.clock())
	sim.dropped(sc, rgqueue.ExpireQueued(&sc.queue, sim.clock()))
	sim.after(cmp.Or(sim.reportPeriod, defaultPeriod), func() { sim.report(sc) })
}

// place sends batches of the tasks, or reservations for them, and fails the job when there is no candidate.
func (sim *simulation) place(jb *simJob, tasks []rgmodel.Task, retry int) {
	ent := jb.entry
	sel := rgfleet.Selector{Exclude: jb.tried, Limit: rgplacement.SampleSize(len(tasks))}
	inf := rgplacement.JobInfo{Flow: jb.batch.Flow, DeclaredRunTime: jb.batch.RunTime.Duration, Senders: sim.senders}
	var cans []rgplacement.Candidate
	for _, mem := range rgfleet.Sample(&ent.fleet, sel, sim.random, sim.clock()) {
		if _, probe := sim.policy.(rgplacement.PowerOfChoices); probe {
			cpy := *mem
			cpy.Report, cpy.SentSinceReport = rgqueue.Report(&sim.sidecars[mem.Sidecar.Name].queue), nil
			mem = &cpy
		}
		cans = append(cans, rgplacement.NewCandidate(&ent.fleet, mem, inf, sim.clock()))
	}
	plc := rgplacement.Plan(sim.policy, cans, len(tasks), sim.random)
	sim.addMessages(jb, 2*plc.Probes, false)
	if retry > 0 {
		sim.result.wanted += len(plc.Assignments)
	}
	if len(plc.Assignments) == 0 || (retry > 0 && !rgadmission.TakeRetries(&ent.admission, len(plc.Assignments))) {
		sim.fail(jb)
		return
	}
	delay := hop
	if plc.Probes > 0 {
		delay = 3 * hop
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
			sim.result.first++
			rgadmission.CountBatch(&ent.admission)
		}
		jb.places += asg.Tasks
		rgfleet.CountSent(&ent.fleet, asg.Sidecar, jb.batch.Flow, asg.Tasks)
		sim.addMessages(jb, 1, false)
		sim.after(delay, func() { sim.accept(sim.sidecars[asg.Sidecar.Name], jb, bat, retry) })
	}
}

func (sim *simulation) accept(sc *simSidecar, jb *simJob, bat rgmodel.Batch, retry int) {
	if jb.failed {
		return
	}
	name := sc.queue.Self.Name
	bat.Remaining.Duration = max(0, jb.arrival+deadline-sim.now)
	rgqueue.Accept(&sc.queue, bat, sim.clock())
	outs, final := rgqueue.Outcomes(&sc.queue, bat.ID, []int{bat.Tasks[0].Index})
	if !final {
		jb.open[name] += len(bat.Tasks)
		sim.start(sc)
		return
	}
	if outs[0].Verdict != rgmodel.NotRun {
		panic("a new batch is already final")
	}
	sim.addMessages(jb, 2, true)
	sim.addMessages(jb, -1, false)
	if jb.reserved {
		sim.release(jb, len(bat.Tasks))
		return
	}
	sim.after(hop, func() {
		jb.tried[sc.queue.Self.Key()] = true
		if retry == maxRetries {
			sim.fail(jb)
		}
		if !jb.failed {
			sim.place(jb, bat.Tasks, retry+1)
		}
	})
}

// release gives up reservations and fails the job when too few are left.
func (sim *simulation) release(jb *simJob, places int) {
	jb.places -= places
	if jb.places < len(jb.sizes)-jb.bound {
		sim.fail(jb)
	}
}

func (sim *simulation) start(sc *simSidecar) {
	prg := rgqueue.StartNext(&sc.queue, sim.clock())
	sim.dropped(sc, prg.Expired)
	for _, stt := range prg.Starts {
		jb := sim.jobs[stt.ID]
		if !jb.reserved {
			sim.run(sc, jb, stt, stt.Task.Index)
			continue
		}
		// The slot stays idle while the sidecar asks for a task.
		sim.addMessages(jb, 2, jb.bound >= len(jb.sizes))
		sim.after(2*hop, func() {
			if jb.bound >= len(jb.sizes) || jb.failed {
				rgqueue.Finish(&sc.queue, stt, rgmodel.Outcome{Index: stt.Task.Index, Reason: rgmodel.ReasonCancelled}, 2*hop)
				sim.start(sc)
				return
			}
			jb.bound++
			jb.places--
			sim.run(sc, jb, stt, jb.bound-1)
		})
	}
}

func (sim *simulation) run(sc *simSidecar, jb *simJob, stt rgqueue.Start, index int) {
	name := sc.queue.Self.Name
	took := time.Duration(float64(jb.sizes[index]) * sc.slowness)
	out := rgmodel.Outcome{Index: stt.Task.Index, Verdict: rgmodel.RanOK}
	switch left := jb.arrival + deadline - sim.now; {
	case name == sim.failing:
		took, out.Verdict = failTime, rgmodel.RanFailed
	case name == sim.hanging || took > left:
		took, out.Verdict, out.Reason = left, rgmodel.MayHaveRun, rgmodel.ReasonUpstreamTimeout
	}
	sim.after(took, func() {
		rgqueue.Finish(&sc.queue, stt, out, took)
		jb.open[name]--
		if out.Verdict != rgmodel.RanOK {
			sim.result.lost++
			sim.fail(jb)
		}
		// A batch is answered as a whole, and late binding answers each task.
		if jb.open[name] == 0 || jb.reserved {
			sim.addMessages(jb, 1, false)
		}
		jb.left--
		if jb.left == 0 && !jb.failed {
			sim.after(hop, func() { sim.complete(jb) })
		}
		sim.start(sc)
	})
}

func (sim *simulation) complete(jb *simJob) {
	sim.result.complete++
	sim.result.ratios = append(sim.result.ratios, float64(sim.now-jb.arrival)/float64(jb.ideal))
	sim.result.arrivals = append(sim.result.arrivals, jb.arrival)
	sim.result.messages += jb.messages
	sim.result.wasted += jb.wasted
}

func (sim *simulation) dropped(sc *simSidecar, ids []rgmodel.SubmissionID) {
	for _, id := range ids {
		jb := sim.jobs[id]
		jb.open[sc.queue.Self.Name]--
		if jb.reserved {
			sim.release(jb, 1)
		} else {
			sim.fail(jb)
		}
	}
}

// fail cancels the queued rest of a job. All its messages were for nothing.
func (sim *simulation) fail(jb *simJob) {
	if jb.failed || jb.left == 0 {
		return
	}
	jb.failed = true
	for _, name := range sim.names {
		if jb.open[name] > 0 {
			sim.addMessages(jb, 1, true)
			queue := &sim.sidecars[name].queue
			sim.after(2*hop, func() { rgqueue.Cancel(queue, []rgmodel.SubmissionID{jb.batch.ID}, sim.clock()) })
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

// quantile needs at least one value.
func quantile(vals []float64, qua float64) float64 {
	vals = slices.Sorted(slices.Values(vals))
	return vals[int(qua*float64(len(vals)-1))]
}
