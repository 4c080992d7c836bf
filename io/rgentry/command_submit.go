package rgentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rghome"
	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgwire"
)

// cancelDelay is how long cancellations are collected, so that many at a time become one message to each sidecar.
const cancelDelay = 10 * time.Millisecond

// submit decides what happens to a submission and carries out the decision.
func (pro *Process) submit(workCtx context.Context, sta *State, evt Submitted, now time.Time) {
	switch dec := rghome.Submit(&sta.Home, evt.Job, evt.GeneratedHere, now, sta.Random).(type) {
	case rghome.Forward:
		evt.Reply <- ReplyForward{Home: dec.Home}
	case rghome.Park:
		if evt.Arrived.IsZero() {
			evt.Arrived = now
		}
		sta.Parked = append(sta.Parked, evt)
	case rghome.Attach:
		evt.Reply <- sta.attach(evt.Job.ID)
	case rghome.FinalAnswer:
		if !dec.AlreadyFinal {
			pro.countRefusal(sta, evt, dec.Answer, now)
		}
		evt.Reply <- ReplyFinal{Answer: dec.Answer, RetryAfter: dec.RetryAfter}
	case rghome.StartJob:
		pro.startJob(workCtx, sta, evt, dec, now)
	}
}

// startJob starts a traffic goroutine for a registered job.
func (pro *Process) startJob(workCtx context.Context, sta *State, evt Submitted, stt rghome.StartJob, now time.Time) {
	jb := evt.Job
	sta.LastRunID++
	ctx, stop := context.WithTimeout(workCtx, jb.Deadline.Duration+answerGrace)
	rn := &JobRun{
		ID: jb.ID, Flow: jb.Flow, Began: evt.arrivalTime(now), AlreadyFinal: stt.AlreadyFinal,
		Sidecars: map[rgmodel.SidecarKey]bool{}, Stop: stop,
	}
	sta.Runs[sta.LastRunID] = rn
	countParts(sta, rn, stt.Plan.Parts)
	evt.Reply <- sta.attach(jb.ID)
	jr := JobRunner{
		Process: pro, Job: jb, RunID: sta.LastRunID, Generation: sta.Home.Ring.Ring.Generation,
		Deadline: now.Add(jb.Deadline.Duration),
	}
	pro.traffic.Go(func() {
		defer stop()
		jr.run(ctx, workCtx, stt.Plan)
	})
}

func countParts(sta *State, rn *JobRun, pts []rgjob.Part) {
	for _, prt := range pts {
		rn.Sidecars[prt.Sidecar] = true
		sta.OutstandingParts[prt.Sidecar]++
	}
}

// replan returns parts that retry refused tasks at other sidecars, or none if the run has ended or no retry is possible.
func (pro *Process) replan(sta *State, evt ReplanRequested, now time.Time) []rgjob.Part {
	rn := sta.Runs[evt.RunID]
	if rn == nil || rn.Moved || rn.Cancelled {
		return nil
	}
	pts := rghome.Replan(&sta.Home, evt.Job, evt.Tasks, evt.Tried, now, sta.Random)
	if len(pts) == 0 {
		pro.scope.Counter("retriesRefused").Inc(1)
	}
	pro.scope.Counter("retries").Inc(int64(len(pts)))
	countParts(sta, rn, pts)
	return pts
}

func (pro *Process) endJob(sta *State, evt JobEnded) {
	rn := sta.Runs[evt.RunID]
	delete(sta.Runs, evt.RunID)
	if rn.Moved {
		return
	}
	ans := rghome.Finish(&sta.Home, evt.Answer, evt.Locations, time.Now())
	for _, cal := range sta.Callers[rn.ID] {
		cal <- ans
	}
	delete(sta.Callers, rn.ID)
	if !rn.AlreadyFinal {
		pro.countAnswer(sta, rn.Flow, ans, rn.Began, time.Now())
	}
}

// attach adds a caller that waits for the answer of a running job.
func (sta *State) attach(id rgmodel.SubmissionID) ReplyWait {
	ans := make(chan rgmodel.Answer, 1)
	sta.Callers[id] = append(sta.Callers[id], ans)
	return ReplyWait{Answer: ans}
}

// unpark decides again on all parked submissions.
func (pro *Process) unpark(workCtx context.Context, sta *State) {
	evts := sta.Parked
	sta.Parked = nil
	// Submissions that still have to wait are parked again and keep their time of arrival.
	for _, evt := range evts {
		pro.submit(workCtx, sta, evt, time.Now())
	}
}

// expireParked answers the parked submissions whose deadline has passed.
func (pro *Process) expireParked(sta *State, now time.Time) {
	var kept []Submitted
	for _, evt := range sta.Parked {
		if now.Sub(evt.Arrived) < evt.Job.Deadline.Duration {
			kept = append(kept, evt)
			continue
		}
		// The submission has waited for this entry to take over its id, or for a ring without this draining entry.
		detail := "sidecars have not answered for earlier work"
		ans := rgmodel.UniformAnswer(evt.Job, rgmodel.MayHaveRun, rgmodel.ReasonNotReady, detail)
		pro.countRefusal(sta, evt, ans, now)
		evt.Reply <- ReplyFinal{Answer: ans}
	}
	sta.Parked = kept
}

func cancelJob(sta *State, id rgmodel.SubmissionID) bool {
	for _, rn := range sta.Runs {
		if rn.ID == id && !rn.Moved {
			cancelRun(sta, rn)
			return true
		}
	}
	return false
}

func cancelRun(sta *State, rn *JobRun) {
	if rn == nil || rn.Cancelled {
		return
	}
	rn.Cancelled = true
	for key := range rn.Sidecars {
		sta.PendingCancels[key] = append(sta.PendingCancels[key], rn.ID)
	}
	if sta.CancelTimer == nil {
		sta.CancelTimer = time.After(cancelDelay)
	}
}

// flushCancels sends the pending cancellations, one message to each sidecar.
func (pro *Process) flushCancels(workCtx context.Context, sta *State) {
	sta.CancelTimer = nil
	for key, ids := range sta.PendingCancels {
		if per := sta.SidecarConns[key]; per != nil {
			pro.traffic.Go(func() { pro.sendCancel(workCtx, per, key, ids) })
		}
	}
	clear(sta.PendingCancels)
}

func (pro *Process) sendCancel(workCtx context.Context, per *rgwire.Peer, key rgmodel.SidecarKey, ids []rgmodel.SubmissionID) {
	ctx, stop := context.WithTimeout(workCtx, callTimeout)
	defer stop()
	if err := per.CallIdempotent(ctx, rgwire.CancelSubmissions{IDs: ids}, nil); err != nil {
		pro.log.Warn("failed to send cancellations", logSidecar(key), zap.Int("jobs", len(ids)), zap.Error(err))
	}
}

func logSidecar(key rgmodel.SidecarKey) zap.Field {
	return zap.String("sidecar", key.Name)
}
