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
	// answerGrace is how long after the deadline an entry waits for the sidecars' own verdicts.
	answerGrace = 250 * time.Millisecond
	// resendPause keeps a call to a peer whose connection is just being lost from being repeated at once.
	resendPause = 20 * time.Millisecond
)

type (
	// JobRunner is the traffic goroutine of one job.
	JobRunner struct {
		Process    *Process
		Job        rgmodel.Job
		Run        uint64
		Generation uint64
		Deadline   time.Time
	}

	// PartResult is what became of the tasks of a part.
	PartResult struct {
		Part     rgjob.Part
		Outcomes []rgmodel.Outcome
	}
)

// drive runs the parts of a job until all outcomes are final, and reports the answer to the control goroutine.
func (drv JobRunner) drive(ctx, work context.Context, pln rgjob.Plan) {
	trk := rgjob.NewTracker(drv.Job, pln)
	results := make(chan PartResult)
	var running conc.WaitGroup
	pending := 0
	launch := func(pts []rgjob.Part) {
		pending += len(pts)
		for _, prt := range pts {
			running.Go(func() {
				outs := drv.runPart(ctx, prt)
				drv.Process.tell(work, PartEnded{Part: prt})
				results <- PartResult{Part: prt, Outcomes: outs}
			})
		}
	}
	launch(pln.Parts)
	for pending > 0 {
		res := <-results
		pending--
		launch(drv.settle(ctx, work, trk, res))
	}
	running.Wait()
	drv.Process.tell(work, JobEnded{Run: drv.Run, Answer: trk.Answer(drv.Job.ID), Locations: trk.Locations()})
}

// settle enters the outcomes of a part and returns the parts that replace what was refused.
func (drv JobRunner) settle(ctx, work context.Context, trk *rgjob.Tracker, res PartResult) []rgjob.Part {
	var pts []rgjob.Part
	if again := rgjob.RecordOutcomes(trk, res.Part, res.Outcomes); len(again) > 0 {
		rep := make(chan []rgjob.Part, 1)
		// An error means that ctx has ended, and then the outcomes stand as they are.
		pts, _ = ask(ctx, drv.Process, ReplanRequested{Run: drv.Run, Job: drv.Job, Tasks: again, Tried: maps.Clone(trk.Tried), Reply: rep}, rep)
		if len(pts) == 0 {
			rgjob.MarkFailed(trk)
		}
	}
	if trk.Failed {
		drv.Process.tell(work, JobFailed{Run: drv.Run})
	}
	return pts
}

// runPart gets the outcomes of one part from one sidecar, over as many connections as that takes.
// The message may be sent again to the same incarnation, whose record keeps a task from being started twice.
func (drv JobRunner) runPart(ctx context.Context, prt rgjob.Part) []rgmodel.Outcome {
	unsure := prt.Recorded
	for {
		rep := make(chan PeerState, 1)
		pst, err := ask(ctx, drv.Process, PeerRequested{Key: prt.Sidecar, Reply: rep}, rep)
		if err != nil {
			return rgjob.UnansweredOutcomes(prt, unsure, rgmodel.ReasonDeadlineExceeded)
		}
		if pst.Lost {
			return rgjob.UnansweredOutcomes(prt, unsure, rgmodel.ReasonSidecarLost)
		}
		msg := drv.message(prt)
		// The check comes after the generation was read: see moveAway.
		if ctx.Err() != nil {
			return rgjob.UnansweredOutcomes(prt, unsure, rgmodel.ReasonDeadlineExceeded)
		}
		var ans rgwire.BatchReply
		switch res := pst.Peer.Call(ctx, msg, &ans).(type) {
		case rgwire.Replied:
			if res.Err != nil {
				unsure = true
				break
			}
			if ans.Refused == "" && len(ans.Outcomes) == len(prt.Tasks) {
				return ans.Outcomes
			}
			if ans.Refused != rgmodel.ReasonStaleGeneration {
				return rgjob.UnansweredOutcomes(prt, unsure, ans.Refused)
			}
			// Another home has sealed the sidecar and may run the tasks.
			unsure = true
		case rgwire.Unsent:
		case rgwire.Unanswered:
			unsure = true
			drv.Process.scope.Counter("unanswered").Inc(1)
		}
		rgclock.Pause(ctx, resendPause)
	}
}

// message reads the generation from the newest view: see moveAway for why before the check of the context.
func (drv JobRunner) message(prt rgjob.Part) rgwire.Message {
	if prt.Recorded {
		col := rgwire.Collect{ID: drv.Job.ID}
		for _, tsk := range prt.Tasks {
			col.Indexes = append(col.Indexes, tsk.Index)
		}
		return col
	}
	vie := drv.Process.View()
	return rgwire.StartBatch{Batch: rgmodel.Batch{
		ID:         drv.Job.ID,
		Digest:     drv.Job.Digest,
		Generation: rgring.BatchGeneration(vie.Ring, drv.Process.self, drv.Job.ID, drv.Generation),
		Flow:       drv.Job.Flow,
		Urgency:    drv.Job.Urgency,
		Remaining:  rgmodel.Duration{Duration: max(0, time.Until(drv.Deadline))},
		RunTime:    drv.Job.RunTime,
		Tasks:      prt.Tasks,
	}}
}
