package rgexecutor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	worldStep  = 10 * time.Millisecond
	worldSpan  = 20 * time.Second
	worldCores = 8
	// worldRecovery is when everything has to work again: two resends with their deadlines, and the longest late order.
	worldRecovery = 8 * time.Second
)

type (
	// worldRun is a run on an executor of the world.
	worldRun struct {
		number uint64
		cores  float64
		until  time.Time
	}

	// worldExecutor carries orders out as executors do, and checks what it is told.
	worldExecutor struct {
		wor     *world
		born    int64
		clock   float64
		rate    float64
		fence   uint64
		lease   rgmodel.ExecutorTime
		runs    map[rgmodel.TaskKey]worldRun
		highest map[rgmodel.TaskKey]uint64
		ended   []rgmodel.EndedRun
		number  uint64
	}

	// worldSidecar is a sidecar process beside an executor.
	worldSidecar struct {
		exe    *worldExecutor
		sta    State
		frozen time.Time
		// process numbers the processes, so that answers to an earlier one are dropped.
		process int
		beat    time.Time
		beats   uint64
		// saved is what the store remembers of the executor.
		saved rgmodel.Executor
	}

	// worldEvent is something that happens at a time.
	worldEvent struct {
		at time.Time
		do func()
	}

	// worldJob is a task that an entry has placed, and that its caller sends again if the entry is lost.
	worldJob struct {
		task  rgmodel.TaskKey
		cores float64
	}

	world struct {
		rnd      *rand.Rand
		now      time.Time
		events   []worldEvent
		sidecars []*worldSidecar
		// alive holds the links of entries that send pulses.
		alive map[ConnID]bool
		links ConnID
		jobs  int
		done  int
		// calm ends all accidents, to see whether everything has recovered from them.
		calm  bool
		fault error
	}
)

func newWorld(seed uint64) *world {
	wor := &world{rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), alive: map[ConnID]bool{}}
	for range 2 {
		exe := &worldExecutor{wor: wor, rate: 0.98 + 0.02*wor.rnd.Float64(), clock: 5000}
		exe.restart()
		wor.sidecars = append(wor.sidecars, &worldSidecar{exe: exe})
	}
	return wor
}

func (wor *world) after(dur time.Duration, do func()) {
	wor.events = append(wor.events, worldEvent{at: wor.now.Add(dur), do: do})
}

func (wor *world) failf(format string, args ...any) {
	if wor.fault == nil {
		wor.fault = fmt.Errorf("at %s: %w", wor.now.Sub(time.Unix(1000, 0)), fmt.Errorf(format, args...))
	}
}

func (exe *worldExecutor) restart() {
	exe.born++
	exe.fence, exe.lease, exe.number, exe.ended = 0, 0, 0, nil
	exe.runs, exe.highest = map[rgmodel.TaskKey]worldRun{}, map[rgmodel.TaskKey]uint64{}
}

func (exe *worldExecutor) lifetime() rgmodel.ExecutorIncarnation {
	return rgmodel.ExecutorIncarnation{ID: "i-1", StartedMillis: exe.born}
}

func (exe *worldExecutor) end(tsk rgmodel.TaskKey, sts rgmodel.EndStatus) {
	exe.number++
	exe.ended = append(exe.ended, rgmodel.EndedRun{Sequence: exe.number, Task: tsk, Run: exe.runs[tsk].number, Status: sts})
	delete(exe.runs, tsk)
}

// step ends runs that are over, or all of them when the lease lapses.
func (exe *worldExecutor) step() {
	exe.clock += exe.rate * float64(worldStep.Milliseconds())
	for tsk, run := range exe.runs {
		switch {
		case exe.clock > float64(exe.lease):
			exe.end(tsk, rgmodel.EndLost)
		case exe.wor.now.After(run.until):
			exe.end(tsk, rgmodel.EndDone)
		}
	}
}

func (exe *worldExecutor) apply(ord rgmodel.Order) rgmodel.OrderReply {
	rep := rgmodel.OrderReply{Answered: true, Clock: rgmodel.ExecutorTime(exe.clock), StartedMillis: exe.born}
	inc, fen := orderOf(ord)
	if inc != exe.lifetime() {
		return rgmodel.OrderReply{Answered: true, Refusal: rgmodel.RefusalWrongIncarnation}
	}
	if fen < exe.fence {
		rep.Refusal = rgmodel.RefusalFenced
		return rep
	}
	exe.fence = fen
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		rep.Refusal = exe.start(ord)
	case rgmodel.StopOrder:
		exe.highest[ord.Task] = max(exe.highest[ord.Task], ord.Run)
		if run, found := exe.runs[ord.Task]; found && run.number <= ord.Run {
			exe.end(ord.Task, rgmodel.EndLost)
		}
	case rgmodel.PollOrder:
		exe.lease = max(exe.lease, ord.Lease)
		for tsk, run := range exe.runs {
			rep.Running = append(rep.Running, rgmodel.RunningRun{Task: tsk, Run: run.number})
		}
		for _, row := range exe.ended {
			if row.Sequence > ord.AckedSequence {
				rep.Ended = append(rep.Ended, row)
			}
		}
	}
	return rep
}

func (exe *worldExecutor) start(ord rgmodel.StartOrder) rgmodel.Refusal {
	if float64(ord.Lease) < exe.clock {
		return rgmodel.RefusalLeaseExpired
	}
	exe.lease = max(exe.lease, ord.Lease)
	if run, found := exe.runs[ord.Task]; found && run.number == ord.Run {
		return rgmodel.RefusalNone
	}
	if ord.Run <= exe.highest[ord.Task] {
		return rgmodel.RefusalStaleRun
	}
	for _, sid := range exe.wor.sidecars {
		if _, found := sid.exe.runs[ord.Task]; found {
			exe.wor.failf("task %v runs twice at the same time", ord.Task)
		}
	}
	sum := 1.0
	for _, run := range exe.runs {
		sum += run.cores
	}
	if sum > worldCores {
		exe.wor.failf("%v cores of %d in use", sum, worldCores)
	}
	exe.highest[ord.Task] = ord.Run
	length := 50*time.Millisecond + time.Duration(exe.wor.rnd.Int64N(int64(900*time.Millisecond)))
	exe.runs[ord.Task] = worldRun{number: ord.Run, cores: 1, until: exe.wor.now.Add(length)}
	return rgmodel.RefusalNone
}

func orderOf(ord rgmodel.Order) (rgmodel.ExecutorIncarnation, uint64) {
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		return ord.Incarnation, ord.Fence
	case rgmodel.StopOrder:
		return ord.Incarnation, ord.Fence
	case rgmodel.PollOrder:
		return ord.Incarnation, ord.Fence
	default:
		return rgmodel.ExecutorIncarnation{}, 0
	}
}

// act carries orders out: most at once, some without an answer, some of these seconds later.
func (wor *world) act(sid *worldSidecar, efs []Effect) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case SendOrder:
			wor.give(sid, eff.Order)
		case ReportEnd:
			if eff.End.Status == rgmodel.EndDone {
				wor.done++
			}
		}
	}
}

func (wor *world) give(sid *worldSidecar, ord rgmodel.Order) {
	process := sid.process
	answer := func(rep rgmodel.OrderReply) {
		wor.later(sid, process, func() { wor.act(sid, answered(&sid.sta, wor.now, ord, rep)) })
	}
	lost := func() { wor.after(100*time.Millisecond, func() { answer(rgmodel.OrderReply{}) }) }
	switch luck := wor.rnd.IntN(100); {
	case wor.calm:
		wor.after(worldStep, func() { answer(sid.exe.apply(ord)) })
	case luck < 4:
		wor.after(2*time.Second+time.Duration(wor.rnd.Int64N(int64(3*time.Second))), func() { sid.exe.apply(ord) })
		lost()
	case luck < 7:
		wor.after(worldStep, func() { sid.exe.apply(ord) })
		lost()
	default:
		wor.after(time.Duration(wor.rnd.Int64N(int64(30*time.Millisecond))), func() {
			rep := sid.exe.apply(ord)
			wor.after(time.Duration(wor.rnd.Int64N(int64(30*time.Millisecond))), func() { answer(rep) })
		})
	}
}

// later runs what a process does, which waits while it is frozen and never happens if it has ended.
func (wor *world) later(sid *worldSidecar, process int, do func()) {
	switch {
	case process != sid.process:
	case wor.now.Before(sid.frozen):
		wor.after(sid.frozen.Sub(wor.now)+worldStep, func() { wor.later(sid, process, do) })
	default:
		do()
	}
}

func answered(sta *State, now time.Time, ord rgmodel.Order, rep rgmodel.OrderReply) []Effect {
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		return StartAnswered(sta, now, ord, rep)
	case rgmodel.StopOrder:
		return StopAnswered(sta, now, ord, rep)
	case rgmodel.PollOrder:
		return PollAnswered(sta, now, ord, rep)
	default:
		return nil
	}
}

// submit lets a new entry place a task on a sidecar. The entry may be lost, and then the caller sends the task to another
// one, which places it on the other sidecar.
func (wor *world) submit(job worldJob, at, tries int) {
	sid := wor.sidecars[at]
	if wor.now.Before(sid.frozen) {
		return
	}
	wor.links++
	id := wor.links
	wor.alive[id] = true
	Connect(&sid.sta, wor.now, id)
	deadline := wor.now.Add(1500 * time.Millisecond)
	wor.act(sid, Place(&sid.sta, wor.now, id, rgmodel.Placement{
		Issued: rgmodel.InstantOf(wor.now), Deadline: rgmodel.InstantOf(deadline), Service: "desk",
		Slack: time.Second, Needs: rgmodel.Resources{Cores: job.cores},
		Tasks: []rgmodel.PlacedTask{{Ticket: 1, Key: job.task, Estimate: 300 * time.Millisecond}},
	}))
	lost := time.Duration(wor.rnd.Int64N(int64(1400 * time.Millisecond)))
	if wor.rnd.IntN(3) > 0 || tries == 0 {
		// The caller gives up at the deadline at the latest.
		lost = deadline.Sub(wor.now)
	}
	silent := wor.rnd.IntN(2) == 0
	process := sid.process
	wor.after(lost, func() {
		delete(wor.alive, id)
		if !silent {
			wor.later(sid, process, func() { wor.act(sid, Disconnect(&sid.sta, wor.now, id)) })
		}
		if tries > 0 {
			wor.after(1300*time.Millisecond, func() { wor.submit(job, 1-at, tries-1) })
		}
	})
}

// run plays accidents for a while and checks that tasks run as ever once they are over.
func (wor *world) run(t *testing.T) {
	t.Helper()
	wor.play(worldSpan, 2)
	wor.calm = true
	for _, sid := range wor.sidecars {
		sid.frozen = wor.now
	}
	wor.play(worldRecovery, 0)
	before := wor.done
	for range worldCores {
		for at := range wor.sidecars {
			wor.jobs++
			wor.submit(worldJob{task: rgmodel.TaskKey{Job: fmt.Sprint("job", wor.jobs)}, cores: 1}, at, 0)
		}
	}
	wor.play(2*time.Second, 0)
	if wor.fault != nil {
		t.Fatal(wor.fault)
	}
	if got, want := wor.done-before, worldCores*len(wor.sidecars); got != want {
		t.Errorf("%d of %d tasks done after the accidents", got, want)
	}
}

// play lets time pass, with jobs that are sent up to the number of tries again; without tries there are none.
func (wor *world) play(span time.Duration, tries int) {
	end := wor.now.Add(span)
	for wor.now.Before(end) && wor.fault == nil {
		wor.now = wor.now.Add(worldStep)
		due := wor.events
		wor.events = nil
		for _, evt := range due {
			if evt.at.After(wor.now) {
				wor.events = append(wor.events, evt)
				continue
			}
			evt.do()
		}
		for at, sid := range wor.sidecars {
			sid.exe.step()
			wor.live(sid)
			if tries > 0 && wor.rnd.IntN(8) == 0 {
				wor.jobs++
				wor.submit(worldJob{task: rgmodel.TaskKey{Job: fmt.Sprint("job", wor.jobs)}, cores: 1}, at, tries)
			}
		}
	}
}

// live lets a sidecar and its executor go on for a step, with an accident now and then.
func (wor *world) live(sid *worldSidecar) {
	accident := wor.rnd.IntN(500)
	if wor.calm {
		accident = -1
	}
	switch accident {
	case 0:
		sid.process++
		sid.sta = State{}
		if sid.saved.Service != "" {
			wor.act(sid, UpdateExecutor(&sid.sta, wor.now, sid.saved))
		}
	case 1:
		sid.frozen = wor.now.Add(time.Duration(wor.rnd.Int64N(int64(4 * time.Second))))
	case 2:
		sid.exe.restart()
	}
	if wor.now.Before(sid.frozen) {
		return
	}
	for id := range wor.alive {
		RecordHeartbeat(&sid.sta, id, wor.now)
	}
	if wor.now.Sub(sid.beat) >= 300*time.Millisecond {
		sid.beat = wor.now
		sid.beats++
		sid.saved = rgmodel.Executor{
			Incarnation: sid.exe.lifetime(), Service: "desk", Capacity: rgmodel.Resources{Cores: worldCores},
		}
		exe := sid.saved
		exe.Clock, exe.Sequence = rgmodel.ExecutorTime(sid.exe.clock), sid.beats
		wor.act(sid, UpdateExecutor(&sid.sta, wor.now, exe))
	}
	if wor.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
		wor.act(sid, Tick(&sid.sta, wor.now))
	}
}

// TestWorld guards against two runs of a task at the same time and against more runs than there is room, while orders are
// lost, carried out late or answered late, and entries, sidecars and executors are lost, frozen and started again.
func TestWorld(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newWorld(seed).run(t) })
	}
}
