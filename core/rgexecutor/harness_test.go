package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// bench is a sidecar with one entry and an executor that the test plays.
type bench struct {
	sta State
	now time.Time
	efs []Effect
}

const benchLink = ConnID(1)

// newBench returns a sidecar that is in control of an executor with 8 cores.
func newBench(t *testing.T) *bench {
	t.Helper()
	bnc := &bench{now: time.Unix(1000, 0)}
	Connect(&bnc.sta, bnc.now, benchLink)
	bnc.announce(executor(1))
	bnc.look(t, nil, nil)
	if bnc.sta.Phase != PhaseServing {
		t.Fatalf("phase %v after the first look", bnc.sta.Phase)
	}
	bnc.take()
	return bnc
}

func executor(born int64) rgmodel.Executor {
	return rgmodel.Executor{
		Incarnation: rgmodel.ExecutorIncarnation{ID: "i-1", StartedMillis: born}, Service: "desk",
		Capacity: rgmodel.Resources{Cores: 8, MemoryBytes: 1 << 30}, Clock: 5000, Sequence: 1,
	}
}

func (bnc *bench) announce(exe rgmodel.Executor) {
	bnc.efs = append(bnc.efs, UpdateExecutor(&bnc.sta, bnc.now, exe)...)
}

// placeOne asks for a task of one core and 100 ms, with the slack and the patience.
func (bnc *bench) placeOne(slack, patience time.Duration) {
	bnc.efs = append(bnc.efs, Place(&bnc.sta, bnc.now, benchLink, rgmodel.Placement{
		Issued: rgmodel.InstantOf(bnc.now), Deadline: rgmodel.InstantOf(bnc.now.Add(2 * time.Second)), Service: "desk",
		Slack: slack, Needs: rgmodel.Resources{Cores: 1}, Tasks: []rgmodel.PlacedTask{{
			Ticket: 1, Key: rgmodel.TaskKey{Job: "job"}, Estimate: 100 * time.Millisecond, MaxWait: patience,
		}},
	})...)
}

// take returns the effects since the last call.
func (bnc *bench) take() []Effect {
	efs := bnc.efs
	bnc.efs = nil
	return efs
}

// wait lets time pass, with an entry that stays alive.
func (bnc *bench) wait(dur time.Duration) {
	for ; dur > 0; dur -= TickInterval {
		bnc.now = bnc.now.Add(min(dur, TickInterval))
		RecordHeartbeat(&bnc.sta, benchLink, bnc.now)
		bnc.efs = append(bnc.efs, Tick(&bnc.sta, bnc.now)...)
	}
}

func (bnc *bench) clock() rgmodel.ExecutorTime {
	return rgmodel.ExecutorTime(5000 + bnc.now.Sub(time.Unix(1000, 0)).Milliseconds())
}

// place asks for tasks of one core and 100 ms.
func (bnc *bench) place(job string, count int) {
	plc := rgmodel.Placement{
		Issued: rgmodel.InstantOf(bnc.now), Deadline: rgmodel.InstantOf(bnc.now.Add(2 * time.Second)), Service: "desk",
		Slack: 500 * time.Millisecond, Needs: rgmodel.Resources{Cores: 1, MemoryBytes: 1},
	}
	for i := range count {
		plc.Tasks = append(plc.Tasks, rgmodel.PlacedTask{
			Ticket: rgmodel.Ticket(len(job)*1000 + i), Key: rgmodel.TaskKey{Job: job, Index: i},
			Estimate: 100 * time.Millisecond,
		})
	}
	bnc.efs = append(bnc.efs, Place(&bnc.sta, bnc.now, benchLink, plc)...)
}

// starts answers all start orders among the effects in the same way, and returns how many there were.
func (bnc *bench) starts(rep rgmodel.OrderReply) int {
	count := 0
	for _, eff := range bnc.take() {
		giv, ok := eff.(SendOrder)
		if !ok {
			continue
		}
		if ord, ok := giv.Order.(rgmodel.StartOrder); ok {
			count++
			bnc.efs = append(bnc.efs, StartAnswered(&bnc.sta, bnc.now, ord, rep)...)
		}
	}
	return count
}

// stops answers all stop orders among the effects in the same way, and returns how many looks that leads to.
func (bnc *bench) stops(rep rgmodel.OrderReply) int {
	looks := 0
	for _, eff := range bnc.take() {
		giv, ok := eff.(SendOrder)
		if !ok {
			continue
		}
		if ord, ok := giv.Order.(rgmodel.StopOrder); ok {
			bnc.efs = append(bnc.efs, StopAnswered(&bnc.sta, bnc.now, ord, rep)...)
		}
	}
	for _, eff := range bnc.efs {
		if giv, ok := eff.(SendOrder); ok {
			if ord, ok := giv.Order.(rgmodel.PollOrder); ok && ord.Wait == 0 {
				looks++
			}
		}
	}
	return looks
}

// lookOrder returns the first look that is under way.
func (bnc *bench) lookOrder() rgmodel.PollOrder {
	return rgmodel.PollOrder{Incarnation: bnc.sta.Executor.Incarnation, Fence: bnc.sta.Fence, Sent: bnc.sta.Polls[0]}
}

// refuse lets another lifetime answer the look that is under way, under the same id or under another one.
func (bnc *bench) refuse(sameID bool) {
	ord := bnc.lookOrder()
	rep := rgmodel.OrderReply{Answered: true, Clock: 1, StartedMillis: 2}
	if !sameID {
		rep = rgmodel.OrderReply{Answered: true, Refusal: rgmodel.RefusalWrongIncarnation}
	}
	bnc.efs = append(bnc.efs, PollAnswered(&bnc.sta, bnc.now, ord, rep)...)
}

// lost says whether the loss of a task was reported since the last call.
func (bnc *bench) lost() bool {
	found := false
	for _, eff := range bnc.take() {
		tel, ok := eff.(ReportEnd)
		found = found || ok && tel.End.Status == rgmodel.EndLost
	}
	return found
}

// look answers the look that is under way.
func (bnc *bench) look(t *testing.T, running []rgmodel.RunningRun, ended []rgmodel.EndedRun) {
	t.Helper()
	if len(bnc.sta.Polls) == 0 {
		t.Fatal("no look under way")
	}
	ord := bnc.lookOrder()
	rep := rgmodel.OrderReply{Answered: true, Clock: bnc.clock(), StartedMillis: ord.Incarnation.StartedMillis, Running: running, Ended: ended}
	bnc.efs = append(bnc.efs, PollAnswered(&bnc.sta, bnc.now, ord, rep)...)
}

// end lists the end of each run.
func (bnc *bench) end(t *testing.T, sts rgmodel.EndStatus) {
	t.Helper()
	var ended []rgmodel.EndedRun
	for tsk, run := range bnc.sta.Runs {
		ended = append(ended, rgmodel.EndedRun{Sequence: bnc.sta.AckedSequence + uint64(len(ended)) + 1, Task: tsk, Run: run.Number, Status: sts})
	}
	bnc.look(t, nil, ended)
}

func (bnc *bench) accepted() rgmodel.OrderReply {
	return rgmodel.OrderReply{Answered: true, Clock: bnc.clock()}
}
