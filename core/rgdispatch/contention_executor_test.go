package rgdispatch

import (
	"slices"
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
)

// contentionExecutor carries out the orders of its sidecar.
type contentionExecutor struct {
	running  map[rgmodel.TaskKey]uint64
	ended    []rgmodel.EndedRun
	sequence uint64
	// polls holds the polls that wait for the end of a run.
	polls []rgmodel.PollOrder
}

// carryOut carries out an order at the executor.
func (con *contention) carryOut(sc *contentionSidecar, ord rgmodel.Order) {
	exe := &sc.exe
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		exe.running[ord.Task] = ord.Run
		con.start(sc, ord)
		con.reply(sc, func(rep rgmodel.OrderReply) []rgexecutor.Effect {
			return rgexecutor.HandleStartReply(&sc.sta, con.now, ord, rep)
		})
	case rgmodel.StopOrder:
		if exe.running[ord.Task] == ord.Run {
			con.endRun(sc, ord.Task, rgmodel.EndLost)
		}
		con.reply(sc, func(rep rgmodel.OrderReply) []rgexecutor.Effect {
			return rgexecutor.HandleStopReply(&sc.sta, con.now, ord, rep)
		})
	case rgmodel.PollOrder:
		exe.ended = slices.DeleteFunc(exe.ended, func(end rgmodel.EndedRun) bool { return end.Sequence <= ord.AckedSequence })
		if ord.Wait == 0 || len(exe.ended) > 0 {
			con.replyToPoll(sc, ord)
			return
		}
		exe.polls = append(exe.polls, ord)
		con.after(ord.Wait, func() {
			at := slices.IndexFunc(exe.polls, func(pol rgmodel.PollOrder) bool { return pol.Sent.Equal(ord.Sent) })
			if at >= 0 {
				exe.polls = slices.Delete(exe.polls, at, at+1)
				con.replyToPoll(sc, ord)
			}
		})
	}
}

// start starts a run whose length depends on the executor's speed and on whether it is near the data of the job.
func (con *contention) start(sc *contentionSidecar, ord rgmodel.StartOrder) {
	jb := con.jobs[ord.Task.Job]
	took := float64(jb.runs[ord.Task.Step][ord.Task.Index]) / sc.speed
	if jb.label != "" && jb.label != sc.label {
		took *= con.lod.remoteFactor
	}
	con.used += con.lod.taskCores * took / float64(time.Second)
	con.after(time.Duration(took), func() {
		if sc.exe.running[ord.Task] == ord.Run {
			con.endRun(sc, ord.Task, rgmodel.EndSucceeded)
		}
	})
}

func (con *contention) endRun(sc *contentionSidecar, tsk rgmodel.TaskKey, sts rgmodel.EndStatus) {
	exe := &sc.exe
	exe.sequence++
	exe.ended = append(exe.ended, rgmodel.EndedRun{Sequence: exe.sequence, Task: tsk, Run: exe.running[tsk], Status: sts})
	delete(exe.running, tsk)
	for _, pol := range exe.polls {
		con.replyToPoll(sc, pol)
	}
	exe.polls = nil
}

func (con *contention) replyToPoll(sc *contentionSidecar, ord rgmodel.PollOrder) {
	ended := slices.Clone(sc.exe.ended)
	var running []rgmodel.RunningRun
	for tsk, num := range sc.exe.running {
		running = append(running, rgmodel.RunningRun{Task: tsk, Run: num})
	}
	con.reply(sc, func(rep rgmodel.OrderReply) []rgexecutor.Effect {
		rep.Running, rep.Ended = running, ended
		return rgexecutor.HandlePollReply(&sc.sta, con.now, ord, rep)
	})
}

func (con *contention) reply(sc *contentionSidecar, receive func(rgmodel.OrderReply) []rgexecutor.Effect) {
	rep := rgmodel.OrderReply{
		Replied: true, StartedMillis: 1, Clock: rgmodel.ExecutorTime(5000 + con.now.Sub(time.Unix(1000, 0)).Milliseconds()),
	}
	con.after(localLatency, func() { con.handle(sc, receive(rep)) })
}
