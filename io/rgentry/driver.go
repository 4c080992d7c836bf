package rgentry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
	"ragwortgap/io/rgwire"
)

const (
	// answerGrace is how long after the deadline an entry waits for the sidecars' own verdicts.
	answerGrace = 250 * time.Millisecond
	// maxRetries is how often a task may be sent to another sidecar.
	maxRetries = 2
	// resendPause keeps a call to a peer whose connection is just being lost from being repeated at once.
	resendPause = 20 * time.Millisecond
)

type (
	// driver is the traffic goroutine of one job.
	driver struct {
		process    *Process
		job        rgmodel.Job
		run        uint64
		generation uint64
		deadline   time.Time
	}

	partResult struct {
		part     part
		outcomes []rgmodel.Outcome
	}

	// ledger is what the driver has gathered so far.
	ledger struct {
		outcomes []rgmodel.Outcome
		retries  []int
		tried    map[rgmodel.SidecarKey]bool
		places   map[rgmodel.SidecarKey][]int
		failed   bool
	}
)

// drive runs the parts of a job until all outcomes are final, and reports the answer to the control goroutine.
func (drv driver) drive(ctx, work context.Context, pln plan) {
	led := ledger{
		outcomes: make([]rgmodel.Outcome, len(drv.job.Tasks)),
		retries:  make([]int, len(drv.job.Tasks)),
		tried:    map[rgmodel.SidecarKey]bool{},
		places:   map[rgmodel.SidecarKey][]int{},
	}
	for i, tsk := range drv.job.Tasks {
		led.outcomes[i] = rgmodel.Outcome{Index: tsk.Index, Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonNoUpstream}
	}
	for _, out := range pln.known {
		led.outcomes[out.Index] = out
	}
	results := make(chan partResult)
	var running conc.WaitGroup
	pending := 0
	launch := func(pts []part) {
		pending += len(pts)
		for _, prt := range pts {
			running.Go(func() {
				outs := drv.runPart(ctx, prt)
				drv.process.tell(work, partEnded{part: prt})
				results <- partResult{part: prt, outcomes: outs}
			})
		}
	}
	launch(pln.parts)
	for pending > 0 {
		res := <-results
		pending--
		launch(drv.settle(ctx, work, &led, res))
	}
	running.Wait()
	drv.process.tell(work, jobEnded{run: drv.run, answer: rgmodel.Answer{ID: drv.job.ID, Outcomes: led.outcomes}, places: led.list()})
}

// settle enters the outcomes of a part and returns the parts that replace what was refused.
func (drv driver) settle(ctx, work context.Context, led *ledger, res partResult) []part {
	led.tried[res.part.sidecar] = true
	var again []rgmodel.Task
	for i, out := range res.outcomes {
		led.outcomes[out.Index] = out
		if retryable(out) && led.retries[out.Index] < maxRetries {
			led.retries[out.Index]++
			again = append(again, res.part.tasks[i])
		}
		if out.Verdict == rgmodel.RanOK {
			led.places[res.part.sidecar] = append(led.places[res.part.sidecar], out.Index)
		}
		led.failed = led.failed || (out.Verdict == rgmodel.NotRun && !retryable(out))
	}
	var pts []part
	if len(again) > 0 && !led.failed && ctx.Err() == nil {
		rep := make(chan []part, 1)
		// An error means that ctx has ended, and then the outcomes stand as they are.
		pts, _ = ask(ctx, drv.process, replanned{run: drv.run, job: drv.job, tasks: again, tried: led.copyTried(), reply: rep}, rep)
	}
	if len(again) > 0 && len(pts) == 0 {
		led.failed = true
	}
	if led.failed {
		drv.process.tell(work, jobFailed{run: drv.run})
	}
	return pts
}

// runPart gets the outcomes of one part from one sidecar, over as many connections as that takes.
// The message may be sent again to the same incarnation, whose record keeps a task from being started twice.
func (drv driver) runPart(ctx context.Context, prt part) []rgmodel.Outcome {
	unsure := prt.recorded
	for {
		rep := make(chan peerState, 1)
		pst, err := ask(ctx, drv.process, peerAwaited{key: prt.sidecar, reply: rep}, rep)
		if err != nil {
			return giveUp(prt, unsure, rgmodel.ReasonDeadlineExceeded)
		}
		if pst.lost {
			return giveUp(prt, unsure, rgmodel.ReasonSidecarLost)
		}
		msg := drv.message(prt)
		// The check comes after the generation was read: see moveAway.
		if ctx.Err() != nil {
			return giveUp(prt, unsure, rgmodel.ReasonDeadlineExceeded)
		}
		var ans rgwire.BatchReply
		switch res := pst.peer.Call(ctx, msg, &ans).(type) {
		case rgwire.Replied:
			if res.Err != nil {
				unsure = true
				break
			}
			if ans.Refused == "" && len(ans.Outcomes) == len(prt.tasks) {
				return ans.Outcomes
			}
			if ans.Refused != rgmodel.ReasonStaleGeneration {
				return giveUp(prt, unsure, ans.Refused)
			}
			// Another home has sealed the sidecar and may run the tasks.
			unsure = true
		case rgwire.Unsent:
		case rgwire.Unanswered:
			unsure = true
			drv.process.scope.Counter("unanswered").Inc(1)
		}
		pause(ctx, resendPause)
	}
}

// message reads the generation from the newest view: see moveAway for why before the check of the context.
func (drv driver) message(prt part) rgwire.Message {
	if prt.recorded {
		col := rgwire.Collect{ID: drv.job.ID}
		for _, tsk := range prt.tasks {
			col.Indexes = append(col.Indexes, tsk.Index)
		}
		return col
	}
	vie := drv.process.View()
	return rgwire.StartBatch{Batch: rgmodel.Batch{
		ID:         drv.job.ID,
		Digest:     drv.job.Digest,
		Generation: rgring.Generation(vie.Ring, drv.process.self, drv.job.ID, drv.generation),
		Flow:       drv.job.Flow,
		Urgency:    drv.job.Urgency,
		Remaining:  rgmodel.Duration{Duration: max(0, time.Until(drv.deadline))},
		RunTime:    drv.job.RunTime,
		Tasks:      prt.tasks,
	}}
}

// giveUp is the outcome of a part without an answer: unsure says that the sidecar may have got the message.
func giveUp(prt part, unsure bool, rsn rgmodel.Reason) []rgmodel.Outcome {
	vd := rgmodel.NotRun
	if unsure {
		vd = rgmodel.MayHaveRun
	}
	outs := make([]rgmodel.Outcome, len(prt.tasks))
	for i, tsk := range prt.tasks {
		outs[i] = rgmodel.Outcome{Index: tsk.Index, Verdict: vd, Reason: rsn}
	}
	return outs
}

// retryable reports whether another sidecar may do what this one has refused.
func retryable(out rgmodel.Outcome) bool {
	if out.Verdict != rgmodel.NotRun {
		return false
	}
	switch out.Reason {
	case rgmodel.ReasonQueueFull, rgmodel.ReasonDraining, rgmodel.ReasonNotReady,
		rgmodel.ReasonUpstreamUnreach, rgmodel.ReasonSidecarLost:
		return true
	default:
		return false
	}
}

func (led *ledger) copyTried() map[rgmodel.SidecarKey]bool {
	cpy := make(map[rgmodel.SidecarKey]bool, len(led.tried))
	for key := range led.tried {
		cpy[key] = true
	}
	return cpy
}

func (led *ledger) list() []rgsubmission.Place {
	var plcs []rgsubmission.Place
	for key, idxs := range led.places {
		plcs = append(plcs, rgsubmission.Place{Sidecar: key, Indexes: idxs})
	}
	return plcs
}

func (pro *Process) sendCancel(work context.Context, per *rgwire.Peer, key rgmodel.SidecarKey, ids []rgmodel.SubmissionID) {
	pro.traffic.Go(func() {
		ctx, stop := context.WithTimeout(work, callTimeout)
		defer stop()
		if err := per.Ask(ctx, rgwire.Cancel{IDs: ids}, nil); err != nil {
			pro.log.Warn("cancel not sent", logSidecar(key), zap.Int("jobs", len(ids)), zap.Error(err))
		}
	})
}

func pause(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}
