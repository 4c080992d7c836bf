package rgplacement_test

import (
	"time"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgqueue"
)

type (
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
)

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

// releaseReservations drops reservations and fails the job if too few are left.
func (sim *simulation) releaseReservations(jb *simJob, count int) {
	jb.reservations -= count
	if jb.reservations < len(jb.runTimes)-jb.assignedTasks {
		sim.fail(jb)
	}
}

func (sim *simulation) complete(jb *simJob) {
	sim.result.complete++
	sim.result.responseRatios = append(sim.result.responseRatios, float64(sim.now-jb.arrival)/float64(jb.ideal))
	sim.result.arrivals = append(sim.result.arrivals, jb.arrival)
	sim.result.messages += jb.messages
	sim.result.wasted += jb.wasted
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
