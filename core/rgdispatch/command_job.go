package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

// DetectSuspension records that the process is running now and reports whether it was suspended before. It must be called before
// every other command.
func DetectSuspension(sta *State, now time.Time) bool {
	if sta.StartedAt.IsZero() {
		sta.StartedAt = now
	}
	suspended := !sta.LastEvent.IsZero() && now.Sub(sta.LastEvent) > suspensionThreshold
	if suspended {
		sta.ResumedAt = now
	}
	sta.LastEvent = now
	return suspended
}

// Submit admits a job and places the tasks of its first steps, or refuses it. A job that cannot be placed by an entry that has
// just started waits for the sidecars that are not connected yet. The job of a caller that has left is refused, because its tasks may
// be running elsewhere; if the job is in progress here, it stays with the caller that waits for it.
func Submit(sta *State, now time.Time, cid CallerID, req Request) []Effect {
	if req.CallerLeft {
		return []Effect{newAnswer(now, newJob(now, cid, req), rgmodel.NotRun, rgmodel.ReasonCallerLeft)}
	}
	if jb := sta.Jobs[req.ID]; jb != nil {
		// The caller has lost its first connection and sent the job again. The job continues, and its answer goes to the connection
		// of the later request, which may be handled first if the earlier one was held.
		earlier := min(jb.Caller, cid)
		jb.Caller = max(jb.Caller, cid)
		return []Effect{
			SendAnswer{Caller: earlier, Job: req.ID, Verdict: rgmodel.MayHaveRun, Reason: rgmodel.ReasonConnectionLost},
		}
	}
	jb := newJob(now, cid, req)
	if rsn := refusalReason(sta, now, jb); rsn != "" {
		return []Effect{newAnswer(now, jb, rgmodel.NotRun, rsn)}
	}
	if until := sta.RunsEndedBy[req.ID]; now.Before(until) {
		return awaitEarlierRuns(sta, now, jb, until)
	}
	pln, rsn := plan(sta, now, jb)
	if rsn != "" && !mayWaitForSidecars(sta, now, jb) {
		return []Effect{newAnswer(now, jb, rgmodel.NotRun, rsn)}
	}
	if cannotEndInTime(sta, now, jb) {
		return []Effect{newAnswer(now, jb, rgmodel.NotRun, rgmodel.ReasonExpired)}
	}
	addJob(sta, jb)
	return placeTasks(sta, now, jb, pln)
}

func addJob(sta *State, jb *Job) {
	if sta.Jobs == nil {
		sta.Jobs = map[string]*Job{}
	}
	sta.Jobs[jb.Request.ID] = jb
}

// awaitEarlierRuns admits a job whose tasks may still run because of an earlier submission. They are placed once these runs have
// ended. The caller has sent the job again after the resend delay, but the entry may have cancelled the tasks only just now, because
// it learned late that the caller had left.
func awaitEarlierRuns(sta *State, now time.Time, jb *Job, until time.Time) []Effect {
	for _, tsks := range jb.Tasks {
		for i := range tsks {
			tsks[i] = Task{State: TaskUnknown, EndedBy: until}
		}
	}
	if willMissDeadline(sta, now, jb) {
		return []Effect{newAnswer(now, jb, rgmodel.NotRun, rgmodel.ReasonExpired)}
	}
	addJob(sta, jb)
	return nil
}

func newJob(now time.Time, cid CallerID, req Request) *Job {
	for i := range req.Steps {
		if req.Steps[i].Estimate <= 0 {
			req.Steps[i].Estimate = defaultEstimate
		}
	}
	if req.Route.MaxAttempts <= 0 {
		req.Route.MaxAttempts = rgroute.DefaultMaxAttempts
	}
	arrived := now
	if receivedBefore(req, now) {
		arrived = req.Received
	}
	jb := &Job{Request: req, Caller: cid, Arrived: arrived, Deadline: arrived.Add(timeLimit(req)), Tasks: make([][]Task, len(req.Steps))}
	jb.SoftDeadline = arrived.Add(timeToSoftDeadline(req))
	createReadyTasks(jb)
	return jb
}

// createReadyTasks creates the tasks of all steps whose dependencies are done.
func createReadyTasks(jb *Job) {
	for i, stp := range jb.Request.Steps {
		if jb.Tasks[i] == nil && isStepReady(jb, stp) {
			jb.Tasks[i] = make([]Task, stp.Count)
		}
	}
}

// HandleCallerDisconnect ends a job whose caller has disconnected, and cancels its tasks.
func HandleCallerDisconnect(sta *State, cid CallerID, id string) []Effect {
	jb := sta.Jobs[id]
	if jb == nil || jb.Caller != cid {
		return nil
	}
	return removeJob(sta, jb)
}

// Cancel ends a job at the request of its caller and reports whether it was in progress here.
func Cancel(sta *State, now time.Time, id string) ([]Effect, bool) {
	jb := sta.Jobs[id]
	if jb == nil {
		return nil, false
	}
	return abortJob(sta, now, jb, rgmodel.ReasonCancelled), true
}

// abortJob answers the caller at once and cancels the tasks of the job.
func abortJob(sta *State, now time.Time, jb *Job, rsn rgmodel.Reason) []Effect {
	vdt := rgmodel.NotRun
	if jb.MayHaveRun || hasOutstanding(jb) {
		vdt = rgmodel.MayHaveRun
	}
	return endJob(sta, now, jb, vdt, rsn)
}

// endJob ends a job with its final answer.
func endJob(sta *State, now time.Time, jb *Job, vdt rgmodel.Verdict, rsn rgmodel.Reason) []Effect {
	ans := newAnswer(now, jb, vdt, rsn)
	return append(removeJob(sta, jb), ans)
}

// removeJob removes a job and cancels its placed tasks. The time by which their runs have ended is kept until then.
func removeJob(sta *State, jb *Job) []Effect {
	delete(sta.Jobs, jb.Request.ID)
	if hasOutstanding(jb) {
		if sta.RunsEndedBy == nil {
			sta.RunsEndedBy = map[string]time.Time{}
		}
		sta.RunsEndedBy[jb.Request.ID] = runsEndedBy(sta, jb)
	}
	cancelled := map[SidecarConnID][]rgmodel.Ticket{}
	for _, tsks := range jb.Tasks {
		for i := range tsks {
			tsk := &tsks[i]
			if sc := sta.Sidecars[tsk.Conn]; tsk.State == TaskPlaced && sc != nil {
				delete(sc.Placed, tsk.Ticket)
				cancelled[tsk.Conn] = append(cancelled[tsk.Conn], tsk.Ticket)
			}
		}
	}
	efs := make([]Effect, 0, len(cancelled))
	for con, tks := range cancelled {
		efs = append(efs, CancelTasks{Conn: con, Tickets: tks})
	}
	return efs
}

func newAnswer(now time.Time, jb *Job, vdt rgmodel.Verdict, rsn rgmodel.Reason) Effect {
	ans := SendAnswer{
		Caller: jb.Caller, Job: jb.Request.ID, Verdict: vdt, Reason: rsn, Took: now.Sub(jb.Arrived), Detail: newDetail(now, jb),
	}
	if vdt == rgmodel.NotRun {
		ans.RetryAfter = retryAfter
	}
	return ans
}

// RecordEnds processes the ends of placed tasks.
func RecordEnds(sta *State, now time.Time, con SidecarConnID, ends []rgmodel.TaskEnd) []Effect {
	sc := sta.Sidecars[con]
	if sc == nil {
		return nil
	}
	var efs []Effect
	for _, end := range ends {
		ref, ok := sc.Placed[end.Ticket]
		if !ok {
			continue
		}
		delete(sc.Placed, end.Ticket)
		if jb := sta.Jobs[ref.Job]; jb != nil {
			tsk := &jb.Tasks[ref.Step][ref.Index]
			end.Reason, efs = endPlaceWait(now, tsk, end, efs)
			efs = append(efs, recordEnd(sta, now, jb, tsk, sc.Name, end)...)
		}
	}
	return efs
}

func recordEnd(sta *State, now time.Time, jb *Job, tsk *Task, sidecar string, end rgmodel.TaskEnd) []Effect {
	jb.MayHaveRun = jb.MayHaveRun || end.Status != rgmodel.EndReturned
	jb.UnrefusedStarts += end.UnrefusedStarts
	tsk.State = TaskWaiting
	switch end.Status {
	case rgmodel.EndSucceeded:
		tsk.State = TaskDone
		createReadyTasks(jb)
		if isJobDone(jb) {
			return endJob(sta, now, jb, rgmodel.RanOK, "")
		}
	case rgmodel.EndFailed:
		tsk.Failures++
		avoidSidecar(tsk, sidecar)
		if tsk.Failures >= jb.Request.Route.MaxAttempts {
			return endJob(sta, now, jb, rgmodel.RanFailed, end.Reason)
		}
	case rgmodel.EndLost, rgmodel.EndReturned:
		avoidSidecar(tsk, sidecar)
		if end.Status == rgmodel.EndLost {
			tsk.Sidecar, tsk.EndProof = sidecar, ProofReported
		}
		if end.Reason == rgmodel.ReasonExpectedWait {
			tsk.PlacementRetries++
		}
	}
	return placeWaiting(sta, now, jb, end.Reason)
}

func avoidSidecar(tsk *Task, sidecar string) {
	if tsk.AvoidedSidecars == nil {
		tsk.AvoidedSidecars = map[string]bool{}
	}
	tsk.AvoidedSidecars[sidecar] = true
}

// placeWaiting places the waiting tasks of a job, or aborts the job if it can no longer end before its deadline.
func placeWaiting(sta *State, now time.Time, jb *Job, rsn rgmodel.Reason) []Effect {
	if !hasWaiting(jb) {
		return nil
	}
	if willMissDeadline(sta, now, jb) {
		return abortJob(sta, now, jb, rsn)
	}
	pln, refusal := plan(sta, now, jb)
	switch {
	case refusal == "":
		return placeTasks(sta, now, jb, pln)
	case refusal == rgmodel.ReasonNoUpstream, mayWaitForSidecars(sta, now, jb):
		// A sidecar may connect later. The next tick tries again.
		return nil
	default:
		return abortJob(sta, now, jb, refusal)
	}
}
