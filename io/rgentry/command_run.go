package rgentry

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

const (
	// answerGrace is how long after the deadline an entry still waits for the sidecars' verdicts.
	answerGrace = 250 * time.Millisecond
	// resendDelay delays the next attempt, so that calls over a connection that is being lost are not repeated in a busy loop.
	resendDelay = 20 * time.Millisecond
)

type (
	// JobRunner runs one job in a traffic goroutine.
	JobRunner struct {
		Process *Process
		Job     rgmodel.Job
		// RunID is the key of the run in State.Runs.
		RunID      uint64
		Generation uint64
		Deadline   time.Time
	}

	// PartResult holds the outcomes of the tasks of a part.
	PartResult struct {
		Part     rgjob.Part
		Outcomes []rgmodel.Outcome
	}
)

// run runs the parts of a job until all outcomes are final, and sends the answer to the control goroutine.
func (jr JobRunner) run(ctx, workCtx context.Context, pln rgjob.Plan) {
	trk := rgjob.NewTracker(jr.Job, pln)
	results := make(chan PartResult)
	var running conc.WaitGroup
	pending := 0
	startParts := func(pts []rgjob.Part) {
		pending += len(pts)
		for _, prt := range pts {
			running.Go(func() {
				outs := jr.runPart(ctx, prt)
				jr.Process.mailbox.Send(workCtx, PartEnded{Part: prt})
				results <- PartResult{Part: prt, Outcomes: outs}
			})
		}
	}
	startParts(pln.Parts)
	for pending > 0 {
		res := <-results
		pending--
		startParts(jr.recordResult(ctx, workCtx, trk, res))
	}
	running.Wait()
	jr.Process.mailbox.Send(workCtx, JobEnded{RunID: jr.RunID, Answer: trk.Answer(jr.Job.ID), Locations: trk.Locations()})
}

// recordResult records the outcomes of a part and returns the parts that retry refused tasks at other sidecars.
func (jr JobRunner) recordResult(ctx, workCtx context.Context, trk *rgjob.Tracker, res PartResult) []rgjob.Part {
	var pts []rgjob.Part
	if retry := rgjob.RecordOutcomes(trk, res.Part, res.Outcomes); len(retry) > 0 {
		rep := make(chan []rgjob.Part, 1)
		// An error means that ctx has ended; the outcomes recorded so far then stay.
		pts, _ = request(ctx, jr.Process, ReplanRequested{
			RunID: jr.RunID, Job: jr.Job, Tasks: retry, Tried: maps.Clone(trk.Tried), Reply: rep,
		}, rep)
		if len(pts) == 0 {
			rgjob.MarkCannotSucceed(trk)
		}
	}
	if trk.CannotSucceed {
		jr.Process.mailbox.Send(workCtx, JobCannotSucceed{RunID: jr.RunID})
	}
	return pts
}

// runPart returns the outcomes of one part from its sidecar. It calls again after a lost connection, an error reply and a
// refusal for a stale generation, until the sidecar is lost or ctx ends. Resending to the same incarnation is safe, because its
// record prevents a second start of a task.
func (jr JobRunner) runPart(ctx context.Context, prt rgjob.Part) []rgmodel.Outcome {
	mayHaveRun := prt.Recorded
	for {
		rep := make(chan SidecarConnState, 1)
		scs, err := request(ctx, jr.Process, SidecarConnRequested{Key: prt.Sidecar, Reply: rep}, rep)
		if err != nil {
			return rgjob.OutcomesWithoutReply(prt, mayHaveRun, rgmodel.ReasonDeadlineExceeded)
		}
		if scs.Lost {
			return rgjob.OutcomesWithoutReply(prt, mayHaveRun, rgmodel.ReasonSidecarLost)
		}
		msg := jr.batchMessage(prt)
		// The context must be checked after batchMessage has read the generation: see stopMoved.
		if ctx.Err() != nil {
			return rgjob.OutcomesWithoutReply(prt, mayHaveRun, rgmodel.ReasonDeadlineExceeded)
		}
		var rpl rgwire.BatchReply
		switch res := scs.Peer.Call(ctx, msg, &rpl).(type) {
		case rgwire.Replied:
			if res.Err != nil {
				mayHaveRun = true
				break
			}
			if rpl.Refused == "" && len(rpl.Outcomes) == len(prt.Tasks) {
				return rpl.Outcomes
			}
			// No record says that the tasks have not run: a newer home may run them, or the id was used with another body.
			mayHaveRun = true
			if rpl.Refused != rgmodel.ReasonStaleGeneration {
				return rgjob.OutcomesWithoutReply(prt, mayHaveRun, rpl.Refused)
			}
		case rgwire.Unsent:
		case rgwire.NoReply:
			mayHaveRun = true
			jr.Process.scope.Counter("unanswered").Inc(1)
		}
		rgclock.Sleep(ctx, resendDelay)
	}
}

// batchMessage builds the message for a part. It reads the generation from the newest view, which must happen before
// the context is checked: see stopMoved.
func (jr JobRunner) batchMessage(prt rgjob.Part) rgwire.Message {
	if prt.Recorded {
		col := rgwire.Collect{ID: jr.Job.ID}
		for _, tsk := range prt.Tasks {
			col.Indexes = append(col.Indexes, tsk.Index)
		}
		return col
	}
	vie := jr.Process.View()
	return rgwire.StartBatch{Batch: rgmodel.Batch{
		ID:         jr.Job.ID,
		Digest:     jr.Job.Digest,
		Generation: rgring.BatchGeneration(vie.Ring, jr.Process.self, jr.Job.ID, jr.Generation),
		Flow:       jr.Job.Flow,
		Urgency:    jr.Job.Urgency,
		Remaining:  rgmodel.Duration{Duration: max(0, time.Until(jr.Deadline))},
		RunTime:    jr.Job.RunTime,
		Tasks:      prt.Tasks,
	}}
}
