package rgentry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

const (
	// cancelDelay gathers cancellations, so that a wave of them is one message for each sidecar.
	cancelDelay = 10 * time.Millisecond
	// zoneDistance is the assumed round trip to another availability zone.
	zoneDistance = 3 * time.Millisecond
)

// plan is where the tasks of a job go, and the outcomes that are known already.
type plan struct {
	parts []part
	known []rgmodel.Outcome
}

// submit decides what happens to a submission.
func (pro *Process) submit(work context.Context, sta *state, evt submitted, now time.Time) {
	jb := evt.job
	switch std := rgsubmission.Find(&sta.submissions, jb.ID, jb.Digest).(type) {
	case rgsubmission.Conflict:
		evt.reply <- refuse(jb, rgmodel.NotRun, rgmodel.ReasonDigestMismatch, "the id was used with another body")
	case rgsubmission.Answered:
		evt.reply <- settled{answer: sta.limitVerdicts(std.Answer, evt.own, now)}
	case rgsubmission.Running:
		evt.reply <- sta.attach(jb.ID)
	case rgsubmission.Dropped:
		pro.startJob(work, sta, evt, plan{parts: recordedParts(jb, std.Places)}, now)
	case rgsubmission.Unknown:
		pro.submitUnknown(work, sta, evt, now)
	}
}

func (pro *Process) submitUnknown(work context.Context, sta *state, evt submitted, now time.Time) {
	jb := evt.job
	created, err := jb.ID.Created()
	if err != nil {
		evt.reply <- refuse(jb, rgmodel.NotRun, rgmodel.ReasonNotReady, err.Error())
		return
	}
	switch std := rgring.Find(&sta.ring, jb.ID, created, evt.own).(type) {
	case rgring.Elsewhere:
		evt.reply <- forward{home: std.Home}
	case rgring.NotReady:
		sta.park(evt, now)
	case rgring.Uncertain:
		evt.reply <- refuse(jb, rgmodel.MayHaveRun, rgmodel.ReasonRecordLost, "records that may concern the id are lost")
	case rgring.Recorded:
		pro.resume(work, sta, evt, std.Sightings, created.Before(sta.ring.Horizon), now)
	case rgring.Fresh:
		pro.submitFresh(work, sta, evt, now)
	}
}

func (pro *Process) submitFresh(work context.Context, sta *state, evt submitted, now time.Time) {
	jb := evt.job
	if sta.draining && !evt.own && !now.Before(sta.leaseUntil) && now.Sub(sta.drainedSince) < HandoverTime {
		// Only the next ring tells who is the home now that the lease is given back.
		sta.park(evt, now)
		return
	}
	if rfs := pro.admit(sta, jb, now); rfs.Reason != "" {
		pro.scope.Tagged(map[string]string{"reason": string(rfs.Reason)}).Counter("refusals").Inc(1)
		dec := refuse(jb, rgmodel.NotRun, rfs.Reason, rfs.Detail)
		dec.answer = sta.limitVerdicts(dec.answer, evt.own, now)
		dec.retryAfter = rfs.RetryAfter
		evt.reply <- dec
		return
	}
	pro.startJob(work, sta, evt, plan{parts: pro.place(sta, jb, jb.Tasks, nil, now)}, now)
}

func (pro *Process) admit(sta *state, jb rgmodel.Job, now time.Time) rgadmission.Refusal {
	switch {
	case sta.draining:
		return rgadmission.Refusal{Reason: rgmodel.ReasonDraining, Detail: "the entry is stopping"}
	case !rgfleet.Runnable(&sta.fleet, jb.Requires):
		return rgadmission.Refusal{Reason: rgmodel.ReasonNeverRunnable, Detail: "no upstream has the resources that the job requires"}
	case len(candidates(sta, pro.self, jb, nil, now)) == 0:
		return rgadmission.Refusal{
			Reason: rgmodel.ReasonNoUpstream, Detail: "no upstream can take work now", RetryAfter: rgfleet.ReportInterval,
		}
	default:
		return rgadmission.TakeQuota(&sta.admission, sta.teams[jb.Flow.Team], len(jb.Tasks), len(sta.ring.Ring.Entries), now)
	}
}

// resume continues a job that another home has begun: recorded tasks are collected, the others are placed, unless a
// lost record may concern them.
func (pro *Process) resume(
	work context.Context, sta *state, evt submitted, sigs []rgring.Sighting, uncertain bool, now time.Time,
) {
	jb := evt.job
	for _, sig := range sigs {
		if sig.Record.Digest != jb.Digest {
			evt.reply <- refuse(jb, rgmodel.NotRun, rgmodel.ReasonDigestMismatch, "the id was used with another body")
			return
		}
	}
	places, tried := rgring.Claims(sigs)
	pln := plan{parts: recordedParts(jb, places)}
	claimed := map[int]bool{}
	for _, plc := range places {
		for _, idx := range plc.Indexes {
			claimed[idx] = true
		}
	}
	var rest []rgmodel.Task
	for _, tsk := range jb.Tasks {
		switch {
		case claimed[tsk.Index]:
		case uncertain:
			pln.known = append(pln.known, rgmodel.Outcome{Index: tsk.Index, Reason: rgmodel.ReasonRecordLost})
		default:
			rest = append(rest, tsk)
		}
	}
	pln.parts = append(pln.parts, pro.place(sta, jb, rest, tried, now)...)
	pro.startJob(work, sta, evt, pln, now)
}

// place chooses sidecars for the tasks. It returns nothing when there is none.
func (pro *Process) place(
	sta *state, jb rgmodel.Job, tasks []rgmodel.Task, tried map[rgmodel.SidecarKey]bool, now time.Time,
) []part {
	if len(tasks) == 0 {
		return nil
	}
	cans := candidates(sta, pro.self, jb, tried, now)
	var pts []part
	next := 0
	for _, sha := range rgplacement.Plan(sta.policy, cans, len(tasks), sta.random) {
		pts = append(pts, part{sidecar: sha.Sidecar, tasks: tasks[next : next+sha.Tasks]})
		next += sha.Tasks
	}
	return pts
}

func candidates(
	sta *state, self rgmodel.Entry, jb rgmodel.Job, tried map[rgmodel.SidecarKey]bool, now time.Time,
) []rgplacement.Candidate {
	var cans []rgplacement.Candidate
	for _, mem := range rgfleet.Usable(&sta.fleet, now) {
		key := mem.Sidecar.Key()
		if tried[key] || !jb.Requires.Fits(mem.Sidecar.Capacity.Resources) {
			continue
		}
		can := rgplacement.Candidate{
			Sidecar:     key,
			Slots:       mem.Sidecar.Capacity.Slots,
			Load:        mem.Report.Queued + mem.Report.Running + mem.SentSince,
			ServiceTime: rgfleet.ServiceTime(mem, jb.Flow.Kind, jb.RunTime.Duration),
		}
		if mem.Sidecar.AvailabilityZone != self.AvailabilityZone {
			can.Distance = zoneDistance
		}
		cans = append(cans, can)
	}
	return cans
}

// startJob registers the job and hands it to a traffic goroutine.
func (pro *Process) startJob(work context.Context, sta *state, evt submitted, pln plan, now time.Time) {
	jb := evt.job
	rgsubmission.Register(&sta.submissions, jb, window(sta, jb.Flow.Team), now)
	sta.runCount++
	ctx, stop := context.WithTimeout(work, jb.Deadline.Duration+answerGrace)
	rn := &run{id: jb.ID, flow: jb.Flow, own: evt.own, began: now, sidecars: map[rgmodel.SidecarKey]bool{}, stop: stop}
	sta.runs[sta.runCount] = rn
	countParts(sta, rn, pln.parts)
	for range pln.parts {
		rgadmission.CountBatch(&sta.admission)
	}
	evt.reply <- sta.attach(jb.ID)
	drv := driver{
		process: pro, job: jb, run: sta.runCount, generation: sta.ring.Ring.Generation,
		window: window(sta, jb.Flow.Team), deadline: now.Add(jb.Deadline.Duration),
	}
	pro.traffic.Go(func() {
		defer stop()
		drv.drive(ctx, work, pln)
	})
}

func countParts(sta *state, rn *run, pts []part) {
	for _, prt := range pts {
		rn.sidecars[prt.sidecar] = true
		sta.outstanding[prt.sidecar]++
		if !prt.recorded {
			rgfleet.Sent(&sta.fleet, prt.sidecar, len(prt.tasks))
		}
	}
}

// replan finds other sidecars for tasks that are known not to have run, within the retry budget.
func (pro *Process) replan(sta *state, evt replanned, now time.Time) []part {
	rn := sta.runs[evt.run]
	if rn == nil || rn.moved || rn.cancelled {
		return nil
	}
	pts := pro.place(sta, evt.job, evt.tasks, evt.tried, now)
	for range pts {
		if !rgadmission.TakeRetry(&sta.admission) {
			pro.scope.Counter("retriesRefused").Inc(1)
			return nil
		}
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
	rgsubmission.Finish(&sta.submissions, evt.answer, evt.places)
	ans := sta.limitVerdicts(evt.answer, rn.own, time.Now())
	for _, cal := range sta.callers[rn.id] {
		cal <- ans
	}
	delete(sta.callers, rn.id)
	pro.scope.Counter("jobs").Inc(1)
	pro.scope.Timer("jobTime").Record(time.Since(rn.began))
}

// limitVerdicts replaces "not run" by "may have run" once the lease has lapsed: another entry may be the home by then and
// may have run the job. An id that nobody else has seen keeps its verdicts.
func (sta *state) limitVerdicts(ans rgmodel.Answer, own bool, now time.Time) rgmodel.Answer {
	if own || now.Before(sta.leaseUntil) {
		return ans
	}
	ans.Outcomes = slices.Clone(ans.Outcomes)
	for i, out := range ans.Outcomes {
		if out.Verdict == rgmodel.NotRun {
			ans.Outcomes[i].Verdict = rgmodel.MayHaveRun
		}
	}
	return ans
}

// attach adds a caller to those who get the answer of a running job.
func (sta *state) attach(id rgmodel.SubmissionID) wait {
	ans := make(chan rgmodel.Answer, 1)
	sta.callers[id] = append(sta.callers[id], ans)
	return wait{answer: ans}
}

// park keeps a submission until the next unpark or its deadline.
func (sta *state) park(evt submitted, now time.Time) {
	if evt.arrived.IsZero() {
		evt.arrived = now
	}
	sta.parked = append(sta.parked, evt)
}

// unpark decides anew on the submissions that waited for sidecars to answer a seal.
func (pro *Process) unpark(work context.Context, sta *state) {
	evts := sta.parked
	sta.parked = nil
	for _, evt := range evts {
		pro.submit(work, sta, evt, time.Now())
	}
}

func (pro *Process) expireParked(sta *state, now time.Time) {
	var kept []submitted
	handover := sta.draining && now.Sub(sta.drainedSince) >= HandoverTime
	for _, evt := range sta.parked {
		if !handover && now.Sub(evt.arrived) < evt.job.Deadline.Duration {
			kept = append(kept, evt)
			continue
		}
		evt.reply <- refuse(evt.job, rgmodel.MayHaveRun, rgmodel.ReasonNotReady, "the ring has changed, and answers are missing")
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
		per := sta.peers[key]
		if per == nil {
			continue
		}
		pro.sendCancel(work, per, key, ids)
	}
	clear(sta.cancels)
}

func window(sta *state, team string) time.Duration {
	if win := sta.teams[team].ResubmissionWindow.Duration; win > 0 {
		return win
	}
	return rgmodel.DefaultResubmissionWindow
}

func recordedParts(jb rgmodel.Job, places []rgsubmission.Place) []part {
	var pts []part
	for _, plc := range places {
		prt := part{sidecar: plc.Sidecar, recorded: true}
		for _, idx := range plc.Indexes {
			prt.tasks = append(prt.tasks, jb.Tasks[idx])
		}
		pts = append(pts, prt)
	}
	return pts
}

func refuse(jb rgmodel.Job, vd rgmodel.Verdict, rsn rgmodel.Reason, detail string) settled {
	return settled{answer: rgmodel.RefuseAll(jb, vd, rsn, detail)}
}

func logSidecar(key rgmodel.SidecarKey) zap.Field {
	return zap.String("sidecar", key.Name)
}
