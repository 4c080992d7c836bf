package rgplacement_test

import (
	"cmp"
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

type simSidecar struct {
	queue    rgqueue.State
	slowdown float64
	sequence uint64
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
