package rgexecutor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	simStep     = 10 * time.Millisecond
	simDuration = 20 * time.Second
	simCores    = 8
	// simRecoveryTime is how long the system may take to recover from the faults. It covers two resends with their deadlines
	// and the order that is delivered latest.
	simRecoveryTime = 8 * time.Second
)

type (
	// simSidecar is a sidecar with its executor.
	simSidecar struct {
		exe            *simExecutor
		sta            State
		suspendedUntil time.Time
		// process is the number of the sidecar's current process. Replies to an earlier process are dropped.
		process       int
		lastHeartbeat time.Time
		heartbeats    uint64
		// saved is the description of the executor in the store.
		saved rgmodel.Executor
	}

	// simEvent is an action that is scheduled for a time.
	simEvent struct {
		at     time.Time
		action func()
	}

	// simJob is a job with one task.
	simJob struct {
		task  rgmodel.TaskKey
		cores float64
	}

	// simStart identifies a start order.
	simStart struct {
		exe        *simExecutor
		fenceToken uint64
		task       rgmodel.TaskKey
		run        uint64
	}

	simulation struct {
		rnd      *rand.Rand
		now      time.Time
		events   []simEvent
		sidecars []*simSidecar
		// aliveConns holds the connections of entries that send heartbeats.
		aliveConns map[EntryConnID]bool
		lastConn   EntryConnID
		// startConns holds the connection for whose task each start order was sent. A connection has only one task. started and
		// returned hold the connections whose task an executor has started and the sidecar has returned.
		startConns        map[simStart]EntryConnID
		started, returned map[EntryConnID]bool
		// lostFromQueue counts the tasks that left a queue after a start that may have been carried out.
		lostFromQueue int
		jobs          int
		done          int
		// faultFree stops the injection of faults, to check that the system recovers from the earlier ones.
		faultFree bool
		violation error
		// returnViolation is the first case of a task that was returned as not started although it had been or was later started.
		returnViolation error
	}
)

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), aliveConns: map[EntryConnID]bool{},
		startConns: map[simStart]EntryConnID{}, started: map[EntryConnID]bool{}, returned: map[EntryConnID]bool{},
	}
	for range 2 {
		exe := &simExecutor{sim: sim, clockRate: 0.98 + 0.02*sim.rnd.Float64()}
		exe.restart()
		sim.sidecars = append(sim.sidecars, &simSidecar{exe: exe})
	}
	return sim
}

func (sim *simulation) after(dur time.Duration, action func()) {
	sim.events = append(sim.events, simEvent{at: sim.now.Add(dur), action: action})
}

func (sim *simulation) failf(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = sim.errorf(format, args...)
	}
}

func (sim *simulation) failReturn(format string, args ...any) {
	if sim.returnViolation == nil {
		sim.returnViolation = sim.errorf(format, args...)
	}
}

func (sim *simulation) errorf(format string, args ...any) error {
	return fmt.Errorf("at %s: %w", sim.now.Sub(time.Unix(1000, 0)), fmt.Errorf(format, args...))
}

// applyEffects sends the orders to the executor and counts the tasks that are done.
func (sim *simulation) applyEffects(sc *simSidecar, efs []Effect) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case SendOrder:
			if ord, ok := eff.Order.(rgmodel.StartOrder); ok {
				key := simStart{exe: sc.exe, fenceToken: ord.FenceToken, task: ord.Task, run: ord.Run}
				sim.startConns[key] = sc.sta.Runs[ord.Task].AcceptedTask.Conn
			}
			if pol, ok := eff.Order.(rgmodel.PollOrder); ok && pol.Delay > 0 {
				process := sc.process
				sim.after(pol.Delay, func() { sim.runWhenResumed(sc, process, func() { sim.deliver(sc, pol) }) })
				continue
			}
			sim.deliver(sc, eff.Order)
		case ReportEnd:
			sim.recordEnd(eff)
		}
	}
}

// recordEnd counts the tasks that are done and checks that a returned task has not been started.
func (sim *simulation) recordEnd(eff ReportEnd) {
	switch eff.End.Status {
	case rgmodel.EndSucceeded:
		sim.done++
	case rgmodel.EndLost:
		// A run that ends as lost has no reason of the queue.
		if eff.End.Reason == rgmodel.ReasonExpired || eff.End.Reason == rgmodel.ReasonExpectedWait {
			sim.lostFromQueue++
		}
	case rgmodel.EndReturned:
		if sim.started[eff.Conn] {
			sim.failReturn("the task of connection %d is returned (%s) after it was started", eff.Conn, eff.End.Reason)
		}
		sim.returned[eff.Conn] = true
	}
}

// deliver carries out an order. Most orders get a reply within 60 ms; some are carried out without a reply, and some of
// these only seconds later.
func (sim *simulation) deliver(sc *simSidecar, ord rgmodel.Order) {
	process := sc.process
	reply := func(rep rgmodel.OrderReply) {
		sim.runWhenResumed(sc, process, func() { sim.applyEffects(sc, handleReply(&sc.sta, sim.now, ord, rep)) })
	}
	loseReply := func() { sim.after(100*time.Millisecond, func() { reply(rgmodel.OrderReply{}) }) }
	switch draw := sim.rnd.IntN(100); {
	case sim.faultFree:
		sim.after(simStep, func() { reply(sc.exe.apply(ord)) })
	case draw < 4:
		sim.after(2*time.Second+time.Duration(sim.rnd.Int64N(int64(3*time.Second))), func() { sc.exe.apply(ord) })
		loseReply()
	case draw < 7:
		sim.after(simStep, func() { sc.exe.apply(ord) })
		loseReply()
	default:
		sim.after(time.Duration(sim.rnd.Int64N(int64(30*time.Millisecond))), func() {
			rep := sc.exe.apply(ord)
			sim.after(time.Duration(sim.rnd.Int64N(int64(30*time.Millisecond))), func() { reply(rep) })
		})
	}
}

// runWhenResumed runs an action of a sidecar process. The action is delayed while the process is suspended and dropped if the
// process has ended.
func (sim *simulation) runWhenResumed(sc *simSidecar, process int, action func()) {
	switch {
	case process != sc.process:
	case sim.now.Before(sc.suspendedUntil):
		sim.after(sc.suspendedUntil.Sub(sim.now)+simStep, func() { sim.runWhenResumed(sc, process, action) })
	default:
		action()
	}
}

func handleReply(sta *State, now time.Time, ord rgmodel.Order, rep rgmodel.OrderReply) []Effect {
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		return HandleStartReply(sta, now, ord, rep)
	case rgmodel.StopOrder:
		return HandleStopReply(sta, now, ord, rep)
	case rgmodel.PollOrder:
		return HandlePollReply(sta, now, ord, rep)
	default:
		return nil
	}
}

// submit connects a new entry, which places the task of a job on the sidecar with the given index. If the entry is lost, the
// caller sends the job up to the given number of times to another entry, which places the task on the other sidecar.
func (sim *simulation) submit(job simJob, index, resends int) {
	sc := sim.sidecars[index]
	if sim.now.Before(sc.suspendedUntil) {
		return
	}
	sim.lastConn++
	id := sim.lastConn
	sim.aliveConns[id] = true
	Connect(&sc.sta, sim.now, id)
	deadline := sim.now.Add(1500 * time.Millisecond)
	sim.applyEffects(sc, Place(&sc.sta, sim.now, id, rgmodel.Placement{
		Issued: rgmodel.SidecarTimeOf(sim.now), Deadline: rgmodel.SidecarTimeOf(deadline), Service: "desk",
		TimeToSoftDeadline: time.Second, Requires: rgmodel.Resources{Cores: job.cores},
		Tasks: []rgmodel.PlacedTask{{Ticket: 1, Key: job.task, Estimate: 300 * time.Millisecond}},
	}))
	lossDelay := time.Duration(sim.rnd.Int64N(int64(1400 * time.Millisecond)))
	if sim.rnd.IntN(3) > 0 || resends == 0 {
		// The caller stops waiting at the deadline at the latest.
		lossDelay = deadline.Sub(sim.now)
	}
	noDisconnect := sim.rnd.IntN(2) == 0
	process := sc.process
	sim.after(lossDelay, func() {
		delete(sim.aliveConns, id)
		if !noDisconnect {
			sim.runWhenResumed(sc, process, func() { sim.applyEffects(sc, Disconnect(&sc.sta, sim.now, id)) })
		}
		if resends > 0 {
			sim.after(1300*time.Millisecond, func() { sim.submit(job, 1-index, resends-1) })
		}
	})
}

// run injects faults for a while and then checks that tasks succeed again without faults.
func (sim *simulation) run(t *testing.T) {
	t.Helper()
	sim.advance(simDuration, 2)
	sim.faultFree = true
	for _, sc := range sim.sidecars {
		sc.suspendedUntil = sim.now
	}
	sim.advance(simRecoveryTime, 0)
	before := sim.done
	for range simCores {
		for i := range sim.sidecars {
			sim.jobs++
			sim.submit(simJob{task: rgmodel.TaskKey{Job: fmt.Sprint("job", sim.jobs)}, cores: 1}, i, 0)
		}
	}
	sim.advance(2*time.Second, 0)
	if sim.violation != nil {
		t.Fatal(sim.violation)
	}
	if got, want := sim.done-before, simCores*len(sim.sidecars); got != want {
		t.Errorf("%d of %d tasks done after the faults", got, want)
	}
}

// advance runs the simulation for a time span. New jobs are submitted only if resends is positive, and are each sent again up
// to that number of times.
func (sim *simulation) advance(span time.Duration, resends int) {
	end := sim.now.Add(span)
	for sim.now.Before(end) && sim.violation == nil {
		sim.now = sim.now.Add(simStep)
		due := sim.events
		sim.events = nil
		for _, evt := range due {
			if evt.at.After(sim.now) {
				sim.events = append(sim.events, evt)
				continue
			}
			evt.action()
		}
		for i, sc := range sim.sidecars {
			sc.exe.step()
			sim.stepSidecar(sc)
			if resends > 0 && sim.rnd.IntN(8) == 0 {
				sim.jobs++
				sim.submit(simJob{task: rgmodel.TaskKey{Job: fmt.Sprint("job", sim.jobs)}, cores: 1}, i, resends)
			}
		}
	}
}

// stepSidecar runs a sidecar for one step, and at random restarts or suspends it or restarts its executor.
func (sim *simulation) stepSidecar(sc *simSidecar) {
	fault := sim.rnd.IntN(500)
	if sim.faultFree {
		fault = -1
	}
	switch fault {
	case 0:
		sc.process++
		sc.sta = State{}
		if sc.saved.Service != "" {
			sim.applyEffects(sc, RestoreExecutor(&sc.sta, sim.now, sc.saved))
		}
	case 1:
		sc.suspendedUntil = sim.now.Add(time.Duration(sim.rnd.Int64N(int64(4 * time.Second))))
	case 2:
		sc.exe.restart()
	}
	if sim.now.Before(sc.suspendedUntil) {
		return
	}
	for id := range sim.aliveConns {
		RecordHeartbeat(&sc.sta, id, sim.now)
	}
	if sim.now.Sub(sc.lastHeartbeat) >= 300*time.Millisecond {
		sc.lastHeartbeat = sim.now
		sc.heartbeats++
		sc.saved = rgmodel.Executor{
			Incarnation: sc.exe.incarnation(), Service: "desk", Capacity: rgmodel.Resources{Cores: simCores},
		}
		exe := sc.saved
		exe.Clock, exe.Sequence = rgmodel.ExecutorTime(sc.exe.clock), sc.heartbeats
		sim.applyEffects(sc, UpdateExecutor(&sc.sta, sim.now, exe))
	}
	if sim.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
		sim.applyEffects(sc, Tick(&sc.sta, sim.now))
	}
}

// TestSimulation guards against a task that runs twice at the same time, against runs that exceed the executor's cores, and against
// tasks that no longer succeed after the faults. In the simulation, replies are lost, orders and replies are delayed, entries
// are lost, sidecars are suspended or restarted, and executors are restarted.
func TestSimulation(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSimulation(seed).run(t) })
	}
}

// TestSimulatedReturns guards against a task that is returned as not started, which its caller is promised in turn, although one of its
// start orders was or is later carried out. The faults are those of TestSimulation.
func TestSimulatedReturns(t *testing.T) {
	lost := 0
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(seed)
			sim.run(t)
			lost += sim.lostFromQueue
			if sim.returnViolation != nil {
				t.Error(sim.returnViolation)
			}
			if len(sim.returned) == 0 {
				t.Error("no task was returned")
			}
		})
	}
	if lost == 0 {
		t.Error("no task left a queue after a start that may have been carried out")
	}
}
