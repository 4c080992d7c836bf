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

// cancelDelay gathers cancellations, so that a wave of them is one message for each sidecar.
const cancelDelay = 10 * time.Millisecond

// submit carries out the decision on a submission.
func (pro *Process) submit(work context.Context, sta *state, evt submitted, now time.Time) {
	switch dec := rghome.Submit(&sta.home, evt.job, evt.own, now, sta.random).(type) {
	case rghome.Forward:
		evt.reply <- forward{home: dec.Home}
	case rghome.Park:
		if evt.arrived.IsZero() {
			evt.arrived = now
		}
		sta.parked = append(sta.parked, evt)
	case rghome.Attach:
		evt.reply <- sta.attach(evt.job.ID)
	case rghome.Settled:
		if !dec.Again {
			pro.countRefusal(sta, evt, dec.Answer, now)
		}
		evt.reply <- settled{answer: dec.Answer, retryAfter: dec.RetryAfter}
	case rghome.Begin:
		pro.startJob(work, sta, evt, dec, now)
	}
}

// startJob hands a registered job to a traffic goroutine.
func (pro *Process) startJob(work context.Context, sta *state, evt submitted, beg rghome.Begin, now time.Time) {
	jb := evt.job
	sta.runCount++
	ctx, stop := context.WithTimeout(work, jb.Deadline.Duration+answerGrace)
	rn := &run{id: jb.ID, flow: jb.Flow, began: evt.since(now), again: beg.Again, sidecars: map[rgmodel.SidecarKey]bool{}, stop: stop}
	sta.runs[sta.runCount] = rn
	countParts(sta, rn, beg.Plan.Parts)
	evt.reply <- sta.attach(jb.ID)
	drv := driver{
		process: pro, job: jb, run: sta.runCount, generation: sta.home.Ring.Ring.Generation,
		deadline: now.Add(jb.Deadline.Duration),
	}
	pro.traffic.Go(func() {
		defer stop()
		drv.drive(ctx, work, beg.Plan)
	})
}

func countParts(sta *state, rn *run, pts []rgjob.Part) {
	for _, prt := range pts {
		rn.sidecars[prt.Sidecar] = true
		sta.outstanding[prt.Sidecar]++
	}
}

func (pro *Process) replan(sta *state, evt replanned, now time.Time) []rgjob.Part {
	rn := sta.runs[evt.run]
	if rn == nil || rn.moved || rn.cancelled {
		return nil
	}
	pts := rghome.Replan(&sta.home, evt.job, evt.tasks, evt.tried, now, sta.random)
	if len(pts) == 0 {
		pro.scope.Counter("retriesRefused").Inc(1)
	}
	pro.scope.Counter("retries").Inc(int64(len(pts)))
	countParts(sta, rn, pts)
	return pts
}

func (pro *Process) endJob(sta *state, evt jobEnded) {
	rn := sta.runs[evt.run]
	delete(sta.runs, evt.run)
	if rn.moved {
		return
	}
	ans := rghome.Finish(&sta.home, evt.answer, evt.places, time.Now())
	for _, cal := range sta.callers[rn.id] {
		cal <- ans
	}
	delete(sta.callers, rn.id)
	if !rn.again {
		pro.countAnswer(sta, rn.flow, ans, rn.began, time.Now())
	}
}

// attach adds a caller to those who get the answer of a running job.
func (sta *state) attach(id rgmodel.SubmissionID) wait {
	ans := make(chan rgmodel.Answer, 1)
	sta.callers[id] = append(sta.callers[id], ans)
	return wait{answer: ans}
}

// unpark decides anew on the submissions that waited for sidecars to answer a seal.
func (pro *Process) unpark(work context.Context, sta *state) {
	evts := sta.parked
	sta.parked = nil
	// Submissions that still have to wait are parked again, with the time of their arrival.
	for _, evt := range evts {
		pro.submit(work, sta, evt, time.Now())
	}
}

func (pro *Process) expireParked(sta *state, now time.Time) {
	var kept []submitted
	for _, evt := range sta.parked {
		if now.Sub(evt.arrived) < evt.job.Deadline.Duration {
			kept = append(kept, evt)
			continue
		}
		detail := "sidecars have not answered for earlier work"
		ans := rgmodel.RefuseAll(evt.job, rgmodel.MayHaveRun, rgmodel.ReasonNotReady, detail)
		pro.countRefusal(sta, evt, ans, now)
		evt.reply <- settled{answer: ans}
	}
	sta.parked = kept
}

func cancelJob(sta *state, id rgmodel.SubmissionID) bool {
	for _, rn := range sta.runs {
		if rn.id == id && !rn.moved {
			cancelRun(sta, rn)
			return true
		}
	}
	return false
}

func cancelRun(sta *state, rn *run) {
	if rn == nil || rn.cancelled {
		return
	}
	rn.cancelled = true
	for key := range rn.sidecars {
		sta.cancels[key] = append(sta.cancels[key], rn.id)
	}
	if sta.flush == nil {
		sta.flush = time.After(cancelDelay)
	}
}

// flushCancels sends the gathered cancellations, one message to each sidecar.
func (pro *Process) flushCancels(work context.Context, sta *state) {
	sta.flush = nil
	for key, ids := range sta.cancels {
		if per := sta.peers[key]; per != nil {
			pro.traffic.Go(func() { pro.sendCancel(work, per, key, ids) })
		}
	}
	clear(sta.cancels)
}

func (pro *Process) sendCancel(work context.Context, per *rgwire.Peer, key rgmodel.SidecarKey, ids []rgmodel.SubmissionID) {
	ctx, stop := context.WithTimeout(work, callTimeout)
	defer stop()
	if err := per.Ask(ctx, rgwire.Cancel{IDs: ids}, nil); err != nil {
		pro.log.Warn("cancel not sent", logSidecar(key), zap.Int("jobs", len(ids)), zap.Error(err))
	}
}

func logSidecar(key rgmodel.SidecarKey) zap.Field {
	return zap.String("sidecar", key.Name)
}
