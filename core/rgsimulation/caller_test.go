package rgsimulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

const (
	// resendDelay is the time after which a caller sends a job again if the answer was lost.
	resendDelay = 1300 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 1500 * time.Millisecond
	// longCallerWait is how long patient callers wait.
	longCallerWait = 5 * time.Second
	// maxResends is how often a caller sends a job again.
	maxResends = 3
	minRunTime = 50 * time.Millisecond
	maxRunTime = 1200 * time.Millisecond
	// longRunTime is longer than the resend delay.
	longRunTime = 4 * time.Second
	// maxTasks is the largest number of tasks of a step.
	maxTasks = 3
	// maxHoldTime is how long a cut may hold back a request.
	maxHoldTime = 4 * time.Second
	// maxEndDelay is how much later than the request its entry reads the end of a connection that the caller has closed before.
	maxEndDelay = 5 * time.Millisecond
)

type (
	// job is a job of a caller. All of its tasks have the same run time.
	job struct {
		id       string
		steps    int
		tasks    int
		runTime  time.Duration
		estimate time.Duration
		// requiredKind is the label that the executors of its tasks must have, or empty.
		requiredKind string
		attempts     int
	}

	// attempt is one submission of a job.
	attempt struct {
		job    *job
		number int
		// label identifies the attempt. It is passed on to the executor as the specification of the job.
		label  string
		ent    *entry
		con    *callerConn
		caller rgdispatch.CallerID
		// arrives is when the request arrives at the entry.
		arrives time.Time
		// received is when the entry process reads the request, and handled when its control goroutine handles it.
		received, handled time.Time
		// endReceived is set once the socket of the entry has received the end of the connection. The process learns of it later.
		endReceived bool
		// over is set once the caller has an answer or no longer waits. left is when it has left without a final answer.
		over    bool
		left    time.Time
		contact contact
	}
)

// newJob returns a job whose estimate is off by up to 40 %.
func (sim *simulation) newJob() *job {
	sim.jobs++
	rnd := sim.jobRnd
	jb := &job{id: fmt.Sprintf("job%d", sim.jobs), steps: 1, tasks: 1 + rnd.IntN(maxTasks)}
	jb.runTime = between(rnd, minRunTime, sim.maxRunTime)
	jb.estimate = between(rnd, jb.runTime*6/10, jb.runTime*14/10)
	if rnd.IntN(3) == 0 && jb.runTime < callerWait/3 {
		jb.steps = 2
	}
	if sim.labelsRequired {
		jb.requiredKind = kinds[sim.jobs%len(kinds)]
	}
	return jb
}

// submitJobs submits new jobs until a time, with random intervals.
func (sim *simulation) submitJobs(meanInterval time.Duration, until time.Time) {
	if sim.now.After(until) {
		return
	}
	sim.submit(sim.newJob(), nil)
	sim.after(between(sim.jobRnd, 0, 2*meanInterval), func() { sim.submitJobs(meanInterval, until) })
}

// submit sends a job to any entry that is up, but not to the avoided one.
func (sim *simulation) submit(jb *job, avoided *entry) {
	var ents []*entry
	for _, ent := range sim.entries {
		if ent.up && ent != avoided {
			ents = append(ents, ent)
		}
	}
	if len(ents) == 0 {
		return
	}
	ent := ents[sim.rnd.IntN(len(ents))]
	jb.attempts++
	con, handshake := sim.openConn(ent)
	att := &attempt{
		job: jb, number: jb.attempts, ent: ent, con: con, label: fmt.Sprintf("%s attempt %d at %s", jb.id, jb.attempts, ent.name),
	}
	sim.attempts[att.label] = att
	hold := time.Duration(0)
	if sim.rnd.IntN(100) < sim.heldPercent {
		hold = sim.between(0, maxHoldTime)
	}
	if sim.rnd.IntN(100) < sim.leavingPercent || hold > 0 {
		sim.after(sim.between(0, callerWait), func() { sim.leave(att) })
	}
	sim.note(jb.id, "%s is sent, held back for %v, run time %v, estimate %v", att.label, hold, jb.runTime, jb.estimate)
	att.arrives = sim.now.Add(handshake + hold + sim.between(minLatency, maxLatency))
	sim.at(att.arrives, func() {
		if !ent.up || con.generation != ent.generation {
			sim.breakOff(att, "broken connection")
			return
		}
		ent.handlers[att] = true
		con.read(att)
	})
	sim.disturbContact(att)
	sim.after(sim.callerWait, func() { sim.leave(att) })
}

// leave ends the wait of a caller. The socket of the entry receives the end of the connection after the request, and its process reads it
// later if it is suspended.
func (sim *simulation) leave(att *attempt) {
	if att.over {
		return
	}
	sim.breakOff(att, "caller leaves")
	if att.contact.lost {
		return
	}
	gen := att.ent.generation
	var end func()
	end = func() {
		switch {
		case !att.ent.up || gen != att.ent.generation:
		case att.ent.isSuspended():
			sim.at(att.ent.suspendedUntil.Add(sim.between(0, maxEndDelay)), end)
		default:
			delete(att.ent.handlers, att)
			att.ent.post(att, func() { att.ent.disconnectCaller(att) })
		}
	}
	sim.at(later(sim.now.Add(sim.between(minLatency, maxLatency)), att.arrives).Add(sim.between(0, sim.endDelay)), func() {
		att.endReceived = true
		end()
	})
}

// breakOff ends an attempt without an answer. The caller sends the job again later.
func (sim *simulation) breakOff(att *attempt, why string) {
	if att.over {
		return
	}
	att.over = true
	sim.note(att.job.id, "%s ends: %s", att.label, why)
	att.left = sim.now
	sim.after(resendDelay, func() { sim.checkResend(att) })
	if att.number > maxResends {
		return
	}
	var avoided *entry
	if sim.now.Before(att.arrives) || att.contact.lost {
		avoided = att.ent
	}
	sim.after(resendDelay, func() { sim.submit(att.job, avoided) })
}

// answer delivers an answer. The caller sends a job that may have run again later.
func (sim *simulation) answer(att *attempt, vdt rgmodel.Verdict) {
	delete(att.ent.handlers, att)
	att.contact.over = true
	sim.after(sim.between(minLatency, maxLatency), func() {
		if att.contact.lost {
			return
		}
		if !att.over {
			att.ent.idleConns = append(att.ent.idleConns, att.con)
		}
		if vdt == rgmodel.MayHaveRun {
			sim.breakOff(att, "answer "+vdt.String())
			return
		}
		att.over = true
	})
}

func (ent *entry) submit(att *attempt) {
	now, jb := ent.sim.now, att.job
	ent.detectSuspension()
	ent.lastCaller++
	att.caller, att.handled = ent.lastCaller, now
	ent.callers[att.caller] = att
	req := rgdispatch.Request{
		ID: jb.id, CallerWait: ent.sim.callerWait, Spec: att.label, Received: att.received, CallerLeft: att.endReceived,
		Route: rgroute.Route{Name: "r", Service: service, LatencyAllowance: 60 * time.Millisecond, SlackFactor: 1.6, MaxAttempts: 2},
	}
	for i := range jb.steps {
		stp := rgdispatch.Step{
			Count: jb.tasks, Requires: rgmodel.Resources{Cores: 1}, Estimate: jb.estimate, RequiredLabel: jb.requiredKind,
		}
		if i > 0 {
			stp.DependsOn = []int{i - 1}
		}
		req.Steps = append(req.Steps, stp)
	}
	ent.sim.note(jb.id, "%s handles %s, caller %d", ent.name, att.label, att.caller)
	ent.perform(rgdispatch.Submit(&ent.sta, now, att.caller, req))
}

// endLeftCallers ends those of the jobs whose callers have left, as far as the sockets show it.
func (ent *entry) endLeftCallers(jbs []*rgdispatch.Job) {
	slices.SortFunc(jbs, func(one, two *rgdispatch.Job) int { return cmp.Compare(one.Request.ID, two.Request.ID) })
	for _, jb := range jbs {
		if att := ent.callers[jb.Caller]; att != nil && att.endReceived {
			ent.disconnectCaller(att)
		}
	}
}

// detectSuspension ends the jobs whose callers have left while the process was suspended.
func (ent *entry) detectSuspension() {
	if rgdispatch.DetectSuspension(&ent.sta, ent.sim.now) {
		ent.endLeftCallers(slices.Collect(maps.Values(ent.sta.Jobs)))
	}
}

func (ent *entry) disconnectCaller(att *attempt) {
	ent.detectSuspension()
	ent.sim.note(att.job.id, "%s sees that caller %d has left", ent.name, att.caller)
	delete(ent.callers, att.caller)
	att.contact.over = true
	ent.perform(rgdispatch.HandleCallerDisconnect(&ent.sta, att.caller, att.job.id))
}
