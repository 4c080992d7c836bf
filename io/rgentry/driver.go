package rgentry

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgwire"
)

const (
	// answerGrace is how long after the deadline an entry waits for the sidecars' own verdicts.
	answerGrace = 250 * time.Millisecond
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
		part     rgjob.Part
		outcomes []rgmodel.Outcome
	}
)

// drive runs the parts of a job until all outcomes are final, and reports the answer to the control goroutine.
func (drv driver) drive(ctx, work context.Context, pln rgjob.Plan) {
	led := rgjob.Open(drv.job, pln)
	results := make(chan partResult)
	var running conc.WaitGroup
	pending := 0
	launch := func(pts []rgjob.Part) {
		pending += len(pts)
		for _, prt := range pts {
			running.Go(func() {
				outs := drv.runPart(ctx, prt)
				drv.process.tell(work, partEnded{part: prt})
				results <- partResult{part: prt, outcomes: outs}
			})
		}
	}
	launch(pln.Parts)
	for pending > 0 {
		res := <-results
		pending--
		launch(drv.settle(ctx, work, led, res))
	}
	running.Wait()
	drv.process.tell(work, jobEnded{run: drv.run, answer: led.Answer(drv.job.ID), places: led.List()})
}

// settle enters the outcomes of a part and returns the parts that replace what was refused.
func (drv driver) settle(ctx, work context.Context, led *rgjob.Ledger, res partResult) []rgjob.Part {
	var pts []rgjob.Part
	if again := rgjob.Settle(led, res.part, res.outcomes); len(again) > 0 {
		rep := make(chan []rgjob.Part, 1)
		// An error means that ctx has ended, and then the outcomes stand as they are.
		pts, _ = ask(ctx, drv.process, replanned{run: drv.run, job: drv.job, tasks: again, tried: maps.Clone(led.Tried), reply: rep}, rep)
		if len(pts) == 0 {
			rgjob.Fail(led)
		}
	}
	if led.Failed {
		drv.process.tell(work, jobFailed{run: drv.run})
	}
	return pts
}

// runPart gets the outcomes of one part from one sidecar, over as many connections as that takes.
// The message may be sent again to the same incarnation, whose record keeps a task from being started twice.
func (drv driver) runPart(ctx context.Context, prt rgjob.Part) []rgmodel.Outcome {
	unsure := prt.Recorded
	for {
		rep := make(chan peerState, 1)
		pst, err := ask(ctx, drv.process, peerAwaited{key: prt.Sidecar, reply: rep}, rep)
		if err != nil {
			return rgjob.GiveUp(prt, unsure, rgmodel.ReasonDeadlineExceeded)
		}
		if pst.lost {
			return rgjob.GiveUp(prt, unsure, rgmodel.ReasonSidecarLost)
		}
		msg := drv.message(prt)
		// The check comes after the generation was read: see moveAway.
		if ctx.Err() != nil {
			return rgjob.GiveUp(prt, unsure, rgmodel.ReasonDeadlineExceeded)
		}
		var ans rgwire.BatchReply
		switch res := pst.peer.Call(ctx, msg, &ans).(type) {
		case rgwire.Replied:
			if res.Err != nil {
				unsure = true
				break
			}
			if ans.Refused == "" && len(ans.Outcomes) == len(prt.Tasks) {
				return ans.Outcomes
			}
			if ans.Refused != rgmodel.ReasonStaleGeneration {
				return rgjob.GiveUp(prt, unsure, ans.Refused)
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
func (drv driver) message(prt rgjob.Part) rgwire.Message {
	if prt.Recorded {
		col := rgwire.Collect{ID: drv.job.ID}
		for _, tsk := range prt.Tasks {
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
		Tasks:      prt.Tasks,
	}}
}

func pause(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}
