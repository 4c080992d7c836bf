package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

type (
	// simRun is a run on a simulated executor.
	simRun struct {
		number uint64
		cores  float64
		endsAt time.Time
	}

	// simExecutor carries out orders and checks that they violate no invariant.
	simExecutor struct {
		sim           *simulation
		startedMillis int64
		clock         float64
		clockRate     float64
		fenceToken    uint64
		leaseEnd      rgmodel.ExecutorTime
		runs          map[rgmodel.TaskKey]simRun
		highestRun    map[rgmodel.TaskKey]uint64
		ended         []rgmodel.EndedRun
		sequence      uint64
	}
)

func (exe *simExecutor) restart() {
	exe.startedMillis++
	exe.clock = 0
	exe.fenceToken, exe.leaseEnd, exe.sequence, exe.ended = 0, 0, 0, nil
	exe.runs, exe.highestRun = map[rgmodel.TaskKey]simRun{}, map[rgmodel.TaskKey]uint64{}
}

func (exe *simExecutor) incarnation() rgmodel.ExecutorIncarnation {
	return rgmodel.ExecutorIncarnation{ID: "i-1", StartedMillis: exe.startedMillis}
}

func (exe *simExecutor) end(tsk rgmodel.TaskKey, sts rgmodel.EndStatus) {
	exe.sequence++
	exe.ended = append(exe.ended, rgmodel.EndedRun{Sequence: exe.sequence, Task: tsk, Run: exe.runs[tsk].number, Status: sts})
	delete(exe.runs, tsk)
}

// step advances the executor's clock by one step and ends the runs that are complete, or all of them once the lease has expired.
func (exe *simExecutor) step() {
	exe.clock += exe.clockRate * float64(simStep.Milliseconds())
	for tsk, run := range exe.runs {
		switch {
		case exe.clock > float64(exe.leaseEnd):
			exe.end(tsk, rgmodel.EndLost)
		case exe.sim.now.After(run.endsAt):
			exe.end(tsk, rgmodel.EndSucceeded)
		}
	}
}

func (exe *simExecutor) apply(ord rgmodel.Order) rgmodel.OrderReply {
	rep := rgmodel.OrderReply{Replied: true, Clock: rgmodel.ExecutorTime(exe.clock), StartedMillis: exe.startedMillis}
	inc, fence := orderHeader(ord)
	if inc != exe.incarnation() {
		return rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalWrongIncarnation}
	}
	if fence < exe.fenceToken {
		rep.Refusal = rgmodel.RefusalFenced
		return rep
	}
	exe.fenceToken = fence
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		rep.Refusal = exe.start(ord)
	case rgmodel.StopOrder:
		exe.highestRun[ord.Task] = max(exe.highestRun[ord.Task], ord.Run)
		if run, found := exe.runs[ord.Task]; found && run.number <= ord.Run {
			exe.end(ord.Task, rgmodel.EndLost)
		}
	case rgmodel.PollOrder:
		exe.leaseEnd = max(exe.leaseEnd, ord.LeaseEnd)
		for tsk, run := range exe.runs {
			rep.Running = append(rep.Running, rgmodel.RunningRun{Task: tsk, Run: run.number})
		}
		for _, end := range exe.ended {
			if end.Sequence > ord.AckedSequence {
				rep.Ended = append(rep.Ended, end)
			}
		}
	}
	return rep
}

func (exe *simExecutor) start(ord rgmodel.StartOrder) rgmodel.OrderRefusal {
	if float64(ord.LeaseEnd) < exe.clock {
		return rgmodel.RefusalLeaseExpired
	}
	exe.leaseEnd = max(exe.leaseEnd, ord.LeaseEnd)
	if run, found := exe.runs[ord.Task]; found && run.number == ord.Run {
		return rgmodel.RefusalNone
	}
	if ord.Run <= exe.highestRun[ord.Task] {
		return rgmodel.RefusalStaleRun
	}
	for _, sc := range exe.sim.sidecars {
		if _, found := sc.exe.runs[ord.Task]; found {
			exe.sim.failf("task %v runs twice at the same time", ord.Task)
		}
	}
	coresInUse := 1.0
	for _, run := range exe.runs {
		coresInUse += run.cores
	}
	if coresInUse > simCores {
		exe.sim.failf("%v cores of %d in use", coresInUse, simCores)
	}
	exe.recordStart(ord)
	exe.highestRun[ord.Task] = ord.Run
	runTime := 50*time.Millisecond + time.Duration(exe.sim.rnd.Int64N(int64(900*time.Millisecond)))
	exe.runs[ord.Task] = simRun{number: ord.Run, cores: 1, endsAt: exe.sim.now.Add(runTime)}
	return rgmodel.RefusalNone
}

// recordStart checks that the task that is started has not been returned before.
func (exe *simExecutor) recordStart(ord rgmodel.StartOrder) {
	id, found := exe.sim.startConns[simStart{exe: exe, fenceToken: ord.FenceToken, task: ord.Task, run: ord.Run}]
	if !found {
		exe.sim.failf("start of task %v, which no sidecar has ordered", ord.Task)
	}
	if exe.sim.returned[id] {
		exe.sim.failReturn("task %v is started after it was returned", ord.Task)
	}
	exe.sim.started[id] = true
}

func orderHeader(ord rgmodel.Order) (rgmodel.ExecutorIncarnation, uint64) {
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		return ord.Incarnation, ord.FenceToken
	case rgmodel.StopOrder:
		return ord.Incarnation, ord.FenceToken
	case rgmodel.PollOrder:
		return ord.Incarnation, ord.FenceToken
	default:
		return rgmodel.ExecutorIncarnation{}, 0
	}
}
