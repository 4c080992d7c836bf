package rgadmission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgqueue"
)

const (
	floodSeed    = 20261204
	sidecars     = 10
	slots        = 8
	floodStart   = 10 * time.Second
	measureStart = 15 * time.Second
	measureEnd   = 135 * time.Second
	jobDeadline  = 5 * time.Second
	reportEvery  = 200 * time.Millisecond
	// longTask is the run time of the fraction longFraction of the tasks of every kind.
	longTask     = 3 * time.Second
	longFraction = 0.0005
)

type (
	// kindLoad is the load of one kind, as a fraction of the capacity.
	kindLoad struct {
		name     string
		urgency  rgmodel.Urgency
		weight   int
		mean     time.Duration
		tasks    int
		fraction float64
	}

	// policy enables the mechanisms under test: fair queueing and admission by expected wait.
	policy struct{ fair, admission bool }

	// flood is additional load of one kind, as a multiple of the capacity. The zero value is no flood.
	flood struct {
		kind   string
		factor float64
	}

	event interface{ isEvent() }

	jobArrives struct {
		load    kindLoad
		ofFlood bool
		rnd     *rand.Rand
		rate    float64
	}
	taskEnds struct {
		sidecar int
		start   rgqueue.StartedTask
		took    time.Duration
		out     rgmodel.Outcome
	}
	reportDue struct{ sidecar int }

	timedEvent struct {
		at    time.Duration
		order int
		event event
	}
	eventHeap []timedEvent

	jobRun struct {
		load      kindLoad
		ofFlood   bool
		arrivedAt time.Duration
		remaining int
		runTimes  []time.Duration
		failed    bool
		// slotTime is the slot time that the job has used.
		slotTime time.Duration
	}

	kindResult struct {
		jobs, complete int
		response       *hdrhistogram.Histogram
	}

	// floodRun is a simulation of a fleet and one entry in virtual time.
	floodRun struct {
		policy         policy
		now            time.Duration
		events         eventHeap
		order          int
		queues         []*rgqueue.State
		fleet          rgfleet.State
		teams          map[string]rgmodel.TeamConfig
		jobs           map[rgmodel.SubmissionID]*jobRun
		results        map[string]*kindResult
		random         *rand.Rand
		batches        int
		refusedBatches int
		// usedSlotTime is the slot time of the tasks that ended in the measured period.
		usedSlotTime time.Duration
		sequence     uint64
	}
)

func (jobArrives) isEvent() {}
func (taskEnds) isEvent()   {}
func (reportDue) isEvent()  {}

func (eh eventHeap) Len() int      { return len(eh) }
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }
func (eh eventHeap) Less(i, j int) bool {
	if eh[i].at != eh[j].at {
		return eh[i].at < eh[j].at
	}
	return eh[i].order < eh[j].order
}

// Push is called by container/heap only.
func (eh *eventHeap) Push(evt any) { *eh = append(*eh, evt.(timedEvent)) }

// Pop is called by container/heap only.
func (eh *eventHeap) Pop() any {
	old := *eh
	last := old[len(old)-1]
	*eh = old[:len(old)-1]
	return last
}

// simulate runs the loads and the flood until all events are handled.
func simulate(pol policy, loads []kindLoad, fld flood) *floodRun {
	run := &floodRun{
		policy: pol, jobs: map[rgmodel.SubmissionID]*jobRun{}, results: map[string]*kindResult{},
		random: rand.New(rand.NewPCG(floodSeed, 0)), teams: map[string]rgmodel.TeamConfig{},
	}
	tc := rgmodel.TeamConfig{Team: "t"}
	wgts := map[rgmodel.Flow]int{}
	for _, lod := range loads {
		tc.Kinds = append(tc.Kinds, rgmodel.KindConfig{Kind: lod.name, Weight: lod.weight})
		wgts[rgmodel.Flow{Team: "t", Kind: lod.name}] = lod.weight
	}
	run.teams["t"] = tc
	ent := rgmodel.Entry{Incarnation: "e"}
	for i := range sidecars {
		sc := rgmodel.Sidecar{Name: fmt.Sprint(i), Capacity: rgmodel.Capacity{Slots: slots}}
		que := &rgqueue.State{Self: sc}
		rgqueue.AdoptRing(que, rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{ent}})
		// The entry stays in contact for the whole run.
		rgqueue.RecordContact(que, ent, at(24*time.Hour))
		rgqueue.SetWeights(que, wgts)
		run.queues = append(run.queues, que)
		rgfleet.Announce(&run.fleet, sc, at(0))
		rgfleet.MarkSealed(&run.fleet, sc.Key())
		run.schedule(reportEvery*time.Duration(i)/sidecars, reportDue{sidecar: i})
	}
	for i, lod := range loads {
		run.results[lod.name] = &kindResult{response: hdrhistogram.New(1, 100_000_000, 3)}
		run.addSource(lod, lod.fraction, false, 0, uint64(i)+1)
		if lod.name == fld.kind {
			run.addSource(lod, fld.factor, true, floodStart, 99)
		}
	}
	for len(run.events) > 0 {
		evt := heap.Pop(&run.events).(timedEvent)
		run.now = evt.at
		run.handle(evt.event)
	}
	return run
}

// addSource schedules the first job of a Poisson process whose load is a fraction of the capacity.
// Each source has its own random number generator, so that a kind has the same jobs with and without a flood.
func (run *floodRun) addSource(lod kindLoad, fraction float64, ofFlood bool, from time.Duration, stream uint64) {
	mean := lod.mean.Seconds()*(1-longFraction) + longTask.Seconds()*longFraction
	rate := fraction * sidecars * slots / mean / float64(lod.tasks)
	run.schedule(from, jobArrives{load: lod, ofFlood: ofFlood, rate: rate, rnd: rand.New(rand.NewPCG(floodSeed, stream))})
}

func (run *floodRun) schedule(when time.Duration, evt event) {
	run.order++
	heap.Push(&run.events, timedEvent{at: when, order: run.order, event: evt})
}

func (run *floodRun) handle(evt event) {
	switch evt := evt.(type) {
	case jobArrives:
		run.submit(evt)
		if next := run.now + time.Duration(evt.rnd.ExpFloat64()/evt.rate*float64(time.Second)); next < measureEnd {
			run.schedule(next, evt)
		}
	case taskEnds:
		que := run.queues[evt.sidecar]
		rgqueue.Finish(que, evt.start, evt.out, evt.took)
		run.jobs[evt.start.ID].slotTime += evt.took
		if run.now >= measureStart && run.now < measureEnd {
			run.usedSlotTime += evt.took
		}
		run.recordOutcome(evt.start.ID, evt.out)
		run.startNext(evt.sidecar)
	case reportDue:
		que := run.queues[evt.sidecar]
		run.expire(rgqueue.ExpireQueued(que, at(run.now)))
		run.sequence++
		rep := rgqueue.NewReport(que)
		rep.Sequence = run.sequence
		rgfleet.RecordReport(&run.fleet, rep, at(run.now))
		if run.now < measureEnd+jobDeadline {
			run.schedule(run.now+reportEvery, evt)
		}
	}
}

func (run *floodRun) submit(evt jobArrives) {
	lod := evt.load
	jb := rgmodel.Job{
		ID: rgmodel.SubmissionID(fmt.Sprintf("%d", len(run.jobs))), Flow: rgmodel.Flow{Team: "t", Kind: lod.name},
		Urgency: lod.urgency, Deadline: rgmodel.Duration{Duration: jobDeadline},
		// The declared run time is ten times too long.
		RunTime: rgmodel.Duration{Duration: 10 * lod.mean},
	}
	if !run.policy.fair {
		jb.Flow.Kind, jb.Urgency = "all", rgmodel.UrgencyNormal
	}
	jr := &jobRun{load: lod, ofFlood: evt.ofFlood, arrivedAt: run.now, remaining: lod.tasks}
	for i := range lod.tasks {
		jb.Tasks = append(jb.Tasks, rgmodel.Task{Index: i})
		runTime := lod.mean/2 + time.Duration(evt.rnd.ExpFloat64()*float64(lod.mean)/2)
		if evt.rnd.Float64() < longFraction {
			runTime = longTask
		}
		jr.runTimes = append(jr.runTimes, runTime)
	}
	run.jobs[jb.ID] = jr
	if run.isMeasured(jr) {
		run.results[lod.name].jobs++
	}
	mems := rgfleet.Usable(&run.fleet, at(run.now))
	if run.policy.admission && rgadmission.CheckWait(sidecarLoads(mems), run.teams, jb).Reason != "" {
		run.recordOutcome(jb.ID, rgmodel.Outcome{Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonExpectedWait})
		return
	}
	run.place(jb, mems)
}

func sidecarLoads(mems []*rgfleet.Member) []rgadmission.SidecarLoad {
	var loads []rgadmission.SidecarLoad
	for _, mem := range mems {
		loads = append(loads, rgadmission.SidecarLoad{
			Slots: mem.Sidecar.Capacity.Slots, Report: mem.Report, SentSinceReport: mem.SentSinceReport,
		})
	}
	return loads
}

func (run *floodRun) place(jb rgmodel.Job, mems []*rgfleet.Member) {
	var cans []rgplacement.Candidate
	inf := rgplacement.JobInfo{Flow: jb.Flow, DeclaredRunTime: jb.RunTime.Duration, Entries: 1, Teams: run.teams}
	for _, mem := range mems {
		cans = append(cans, rgplacement.NewCandidate(&run.fleet, mem, inf, at(run.now)))
	}
	next := 0
	for _, asg := range rgplacement.Distribute(rgplacement.EarliestFinish{}, cans, len(jb.Tasks), run.random).Assignments {
		var sc int
		_, _ = fmt.Sscan(asg.Sidecar.Name, &sc)
		bat := rgmodel.Batch{
			ID: jb.ID, Generation: 1, Flow: jb.Flow, Urgency: jb.Urgency, Remaining: jb.Deadline, RunTime: jb.RunTime,
			Tasks: jb.Tasks[next : next+asg.Tasks],
		}
		next += asg.Tasks
		run.batches++
		rgfleet.CountSent(&run.fleet, asg.Sidecar, jb.Flow, asg.Tasks)
		rgqueue.Accept(run.queues[sc], bat, at(run.now))
		if outs, final := rgqueue.Outcomes(run.queues[sc], jb.ID, []int{bat.Tasks[0].Index}); final {
			run.refusedBatches++
			run.recordOutcome(jb.ID, outs[0])
		}
		run.startNext(sc)
	}
}

func (run *floodRun) startNext(sc int) {
	res := rgqueue.StartNext(run.queues[sc], at(run.now))
	run.expire(res.Expired)
	for _, stt := range res.Started {
		took, remaining := run.jobs[stt.ID].runTimes[stt.Task.Index], stt.Deadline.Sub(at(run.now))
		out := rgmodel.Outcome{Index: stt.Task.Index, Verdict: rgmodel.RanOK}
		if took > remaining {
			took, out.Verdict = remaining, rgmodel.MayHaveRun
		}
		run.schedule(run.now+took, taskEnds{sidecar: sc, start: stt, took: took, out: out})
	}
}

func (run *floodRun) expire(ids []rgmodel.SubmissionID) {
	for _, id := range ids {
		run.recordOutcome(id, rgmodel.Outcome{Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonExpired})
	}
}

// recordOutcome counts an outcome and cancels the queued tasks of a job that can no longer be complete.
func (run *floodRun) recordOutcome(id rgmodel.SubmissionID, out rgmodel.Outcome) {
	jr := run.jobs[id]
	switch {
	case jr.failed:
	case out.Verdict != rgmodel.RanOK:
		jr.failed = true
		for _, que := range run.queues {
			if rec := que.Records[id]; rec != nil && rec.Pending > 0 {
				rgqueue.Cancel(que, []rgmodel.SubmissionID{id}, at(run.now))
			}
		}
		if run.isMeasured(jr) {
			_ = run.results[jr.load.name].response.RecordValue(jobDeadline.Microseconds())
		}
	default:
		jr.remaining--
		if jr.remaining == 0 && run.isMeasured(jr) {
			run.results[jr.load.name].complete++
			_ = run.results[jr.load.name].response.RecordValue((run.now - jr.arrivedAt).Microseconds())
		}
	}
}

// wastedFraction returns the fraction of slot time that was used by jobs without a complete answer.
func (run *floodRun) wastedFraction() float64 {
	var total, wasted time.Duration
	for _, jr := range run.jobs {
		total += jr.slotTime
		if jr.failed {
			wasted += jr.slotTime
		}
	}
	return float64(wasted) / float64(total)
}

// isMeasured excludes the jobs of the flood and the jobs that arrive before the flood has filled the queues.
func (run *floodRun) isMeasured(jr *jobRun) bool {
	return !jr.ofFlood && jr.arrivedAt >= measureStart
}

func at(now time.Duration) time.Time {
	return time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC).Add(now)
}
