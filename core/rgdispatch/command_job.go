package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

// DetectStall records that the process runs at this time and detects that it was suspended before. It must be called
// before each other command.
func DetectStall(sta *State, now time.Time) {
	if !sta.LastEvent.IsZero() && now.Sub(sta.LastEvent) > maxGap {
		sta.ResumedAt = now
	}
	sta.LastEvent = now
}

// Submit admits a job and places its first tasks, or refuses it.
func Submit(sta *State, now time.Time, cid CallerID, req Request) []Effect {
	if jb := sta.Jobs[req.ID]; jb != nil {
		// The caller has lost its first connection. Its job goes on and answers here.
		efs := []Effect{Answer{Caller: jb.Caller, Job: req.ID, Verdict: rgmodel.MayHaveRun, Reason: rgmodel.ReasonConnectionLost}}
		jb.Caller = cid
		return efs
	}
	jb := newJob(now, cid, req)
	if rsn := refusal(sta, now, req); rsn != "" {
		return []Effect{answer(now, jb, rgmodel.NotRun, rsn)}
	}
	pln, rsn := plan(sta, now, jb)
	if rsn != "" {
		return []Effect{answer(now, jb, rgmodel.NotRun, rsn)}
	}
	if sta.Jobs == nil {
		sta.Jobs = map[string]*Job{}
	}
	sta.Jobs[req.ID] = jb
	return commit(sta, now, jb, pln)
}

func newJob(now time.Time, cid CallerID, req Request) *Job {
	for i := range req.Steps {
		if req.Steps[i].Estimate <= 0 {
			req.Steps[i].Estimate = defaultEstimate
		}
	}
	if req.Route.Attempts <= 0 {
		req.Route.Attempts = rgroute.DefaultAttempts
	}
	wait := req.CallerWait
	if req.Route.Timeout > 0 {
		wait = min(wait, req.Route.Timeout)
	}
	jb := &Job{Request: req, Caller: cid, Arrived: now, Deadline: now.Add(wait), Tasks: make([][]Task, len(req.Steps))}
	jb.SoftDeadline = now.Add(objective(req))
	open(jb)
	return jb
}

// open makes the tasks of all steps whose earlier steps are done.
func open(jb *Job) {
	for i, stp := range jb.Request.Steps {
		if jb.Tasks[i] == nil && ready(jb, stp) {
			jb.Tasks[i] = make([]Task, stp.Count)
		}
	}
}

// Abandon ends a job whose caller has left, and stops its tasks.
func Abandon(sta *State, cid CallerID, id string) []Effect {
	jb := sta.Jobs[id]
	if jb == nil || jb.Caller != cid {
		return nil
	}
	return remove(sta, jb)
}

// Cancel ends a job on request of its caller, and reports whether it was in progress here.
func Cancel(sta *State, now time.Time, id string) ([]Effect, bool) {
	jb := sta.Jobs[id]
	if jb == nil {
		return nil, false
	}
	return giveUp(sta, now, jb, rgmodel.ReasonCancelled), true
}

// giveUp answers the caller at once and stops what runs.
func giveUp(sta *State, now time.Time, jb *Job, rsn rgmodel.Reason) []Effect {
	vdt := rgmodel.NotRun
	if jb.MayHaveRun || outstanding(jb) {
		vdt = rgmodel.MayHaveRun
	}
	return conclude(sta, now, jb, vdt, rsn)
}

// conclude ends a job with its final answer.
func conclude(sta *State, now time.Time, jb *Job, vdt rgmodel.Verdict, rsn rgmodel.Reason) []Effect {
	ans := answer(now, jb, vdt, rsn)
	return append(remove(sta, jb), ans)
}

// remove forgets a job and recalls its tasks.
func remove(sta *State, jb *Job) []Effect {
	delete(sta.Jobs, jb.Request.ID)
	recalls := map[ConnID][]rgmodel.Ticket{}
	for _, tsks := range jb.Tasks {
		for i := range tsks {
			tsk := &tsks[i]
			if sc := sta.Sidecars[tsk.Conn]; tsk.State == TaskPlaced && sc != nil {
				delete(sc.Assigned, tsk.Ticket)
				recalls[tsk.Conn] = append(recalls[tsk.Conn], tsk.Ticket)
			}
		}
	}
	efs := make([]Effect, 0, len(recalls))
	for con, tks := range recalls {
		efs = append(efs, Recall{Conn: con, Tickets: tks})
	}
	return efs
}

func answer(now time.Time, jb *Job, vdt rgmodel.Verdict, rsn rgmodel.Reason) Effect {
	ans := Answer{Caller: jb.Caller, Job: jb.Request.ID, Verdict: vdt, Reason: rsn, Took: now.Sub(jb.Arrived), Detail: describe(now, jb)}
	if vdt == rgmodel.NotRun {
		ans.RetryAfter = retryAfter
	}
	return ans
}

// Finish takes note of the ends of placed tasks.
func RecordEnds(sta *State, now time.Time, con ConnID, ends []rgmodel.TaskEnd) []Effect {
	sc := sta.Sidecars[con]
	if sc == nil {
		return nil
	}
	var efs []Effect
	for _, end := range ends {
		ref, ok := sc.Assigned[end.Ticket]
		if !ok {
			continue
		}
		delete(sc.Assigned, end.Ticket)
		if jb := sta.Jobs[ref.Job]; jb != nil {
			efs = append(efs, finish(sta, now, jb, &jb.Tasks[ref.Step][ref.Index], sc.Name, end)...)
		}
	}
	return efs
}

func finish(sta *State, now time.Time, jb *Job, tsk *Task, sidecar string, end rgmodel.TaskEnd) []Effect {
	jb.MayHaveRun = jb.MayHaveRun || end.Status != rgmodel.EndReturned
	tsk.State = TaskWaiting
	switch end.Status {
	case rgmodel.EndDone:
		tsk.State = TaskDone
		open(jb)
		if done(jb) {
			return conclude(sta, now, jb, rgmodel.RanOK, "")
		}
	case rgmodel.EndFailed:
		tsk.Failures++
		avoid(tsk, sidecar)
		if tsk.Failures >= jb.Request.Route.Attempts {
			return conclude(sta, now, jb, rgmodel.RanFailed, end.Reason)
		}
	case rgmodel.EndLost, rgmodel.EndReturned:
		avoid(tsk, sidecar)
		if end.Reason == rgmodel.ReasonExpectedWait {
			tsk.Reassignments++
		}
	}
	return resume(sta, now, jb, end.Reason)
}

func avoid(tsk *Task, sidecar string) {
	if tsk.AvoidedSidecars == nil {
		tsk.AvoidedSidecars = map[string]bool{}
	}
	tsk.AvoidedSidecars[sidecar] = true
}

// resume places the waiting tasks of a job, or gives the job up if it can no longer end before its deadline.
func resume(sta *State, now time.Time, jb *Job, rsn rgmodel.Reason) []Effect {
	if !waiting(jb) {
		return nil
	}
	if hopeless(sta, now, jb) {
		return giveUp(sta, now, jb, rsn)
	}
	pln, why := plan(sta, now, jb)
	switch why {
	case "":
		return commit(sta, now, jb, pln)
	case rgmodel.ReasonNoUpstream:
		// A sidecar may come back; the next tick tries again.
		return nil
	default:
		return giveUp(sta, now, jb, why)
	}
}
