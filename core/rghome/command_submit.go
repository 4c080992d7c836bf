package rghome

import (
	"math/rand/v2"
	"time"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

// Submit decides how to handle a submission. GeneratedHere is set if this entry has just generated the id.
func Submit(sta *State, jb rgmodel.Job, generatedHere bool, now time.Time, rnd *rand.Rand) Decision {
	dec := decide(sta, jb, generatedHere, now, rnd)
	if fin, ok := dec.(FinalAnswer); ok && !generatedHere {
		fin.Answer = downgradeNotRun(sta, fin.Answer, now)
		return fin
	}
	return dec
}

// Finish stores the final answer of a job and returns it in the form in which it may be sent to callers.
func Finish(sta *State, ans rgmodel.Answer, locs []rgsubmission.TaskLocation, now time.Time) rgmodel.Answer {
	if sub := sta.Submissions.Submissions[ans.ID]; sub != nil && !sub.GeneratedHere {
		ans = downgradeNotRun(sta, ans, now)
	}
	rgsubmission.Finish(&sta.Submissions, ans, locs)
	return ans
}

func decide(sta *State, jb rgmodel.Job, generatedHere bool, now time.Time, rnd *rand.Rand) Decision {
	switch res := rgsubmission.Lookup(&sta.Submissions, jb.ID, jb.Digest).(type) {
	case rgsubmission.Conflict:
		return conflictAnswer(jb)
	case rgsubmission.Answered:
		return FinalAnswer{Answer: res.Answer, AlreadyFinal: true}
	case rgsubmission.Running:
		return Attach{}
	case rgsubmission.Dropped:
		stt := startJob(sta, jb, generatedHere, rgjob.Plan{Parts: recordedParts(jb, res.Locations)}, now)
		stt.AlreadyFinal = true
		return stt
	default:
		return submitUnknown(sta, jb, generatedHere, now, rnd)
	}
}

func submitUnknown(sta *State, jb rgmodel.Job, generatedHere bool, now time.Time, rnd *rand.Rand) Decision {
	created, err := jb.ID.Created()
	if err != nil {
		// The HTTP interface refuses invalid ids, so this happens only if a caller of Submit has not checked the id.
		return uniformFinalAnswer(jb, rgmodel.NotRun, rgmodel.ReasonNotReady, err.Error())
	}
	if windowPassed(sta, jb, created, now) {
		return uniformFinalAnswer(jb, rgmodel.MayHaveRun, rgmodel.ReasonRecordLost, "the team's resubmission window for the id has passed")
	}
	switch res := rgring.Lookup(&sta.Ring, jb.ID, created, generatedHere).(type) {
	case rgring.HomeElsewhere:
		return Forward{Home: res.Home}
	case rgring.NotReady:
		return Park{}
	case rgring.RecordsLost:
		return uniformFinalAnswer(jb, rgmodel.MayHaveRun, rgmodel.ReasonRecordLost, "records that may concern the id are lost")
	case rgring.Recorded:
		return resume(sta, jb, res.Records, created.Before(sta.Ring.RecordsLostBefore), now, rnd)
	default:
		return submitNew(sta, jb, generatedHere, now, rnd)
	}
}

func submitNew(sta *State, jb rgmodel.Job, generatedHere bool, now time.Time, rnd *rand.Rand) Decision {
	if sta.Draining && now.Sub(sta.DrainBegan) < HandoverTime {
		return Park{}
	}
	if rfs := admit(sta, jb, now, rnd); rfs.Reason != "" {
		dec := uniformFinalAnswer(jb, rgmodel.NotRun, rfs.Reason, rfs.Detail)
		dec.RetryAfter = rfs.RetryAfter
		return dec
	}
	return startJob(sta, jb, generatedHere, rgjob.Plan{Parts: place(sta, jb, jb.Tasks, nil, now, rnd)}, now)
}

// admit refuses a job or takes its tasks from the team's quota.
func admit(sta *State, jb rgmodel.Job, now time.Time, rnd *rand.Rand) rgadmission.Refusal {
	switch {
	case sta.Draining:
		return rgadmission.Refusal{Reason: rgmodel.ReasonDraining, Detail: "the entry is stopping"}
	case !rgfleet.AnyFits(&sta.Fleet, jb.Requires):
		return rgadmission.Refusal{Reason: rgmodel.ReasonNeverRunnable, Detail: "no upstream has the resources that the job requires"}
	case len(candidates(sta, jb, nil, now, rnd)) == 0:
		return rgadmission.Refusal{
			Reason: rgmodel.ReasonNoUpstream, Detail: "no upstream can take work now", RetryAfter: rgfleet.IdleReportInterval,
		}
	default:
		// The wait is checked first, because a refused job must not spend the team's quota.
		if rfs := rgadmission.CheckWait(sidecarLoads(sta, jb, now), sta.Teams, jb); rfs.Reason != "" {
			return rfs
		}
		return rgadmission.TakeQuota(&sta.Admission, rgadmission.QuotaRequest{
			Team: sta.Teams[jb.Flow.Team], Tasks: len(jb.Tasks), Ring: sta.Ring.Ring, Self: sta.Ring.Self,
		}, now)
	}
}

// resume continues a job that another home has started: recorded tasks are collected, and the others are placed unless
// their records may be lost.
func resume(sta *State, jb rgmodel.Job, srs []rgring.SidecarRecord, recordsMayBeLost bool, now time.Time, rnd *rand.Rand) Decision {
	for _, sr := range srs {
		if sr.Record.Digest != jb.Digest {
			return conflictAnswer(jb)
		}
	}
	locs, tried := rgring.RecordedTasks(srs)
	pln := rgjob.Plan{Parts: recordedParts(jb, locs)}
	var rest []rgmodel.Task
	for _, tsk := range unrecordedTasks(jb, locs) {
		if recordsMayBeLost {
			pln.KnownOutcomes = append(pln.KnownOutcomes, rgmodel.Outcome{Index: tsk.Index, Reason: rgmodel.ReasonRecordLost})
			continue
		}
		rest = append(rest, tsk)
	}
	pln.Parts = append(pln.Parts, place(sta, jb, rest, tried, now, rnd)...)
	return startJob(sta, jb, false, pln, now)
}

func startJob(sta *State, jb rgmodel.Job, generatedHere bool, pln rgjob.Plan, now time.Time) StartJob {
	rgsubmission.Register(&sta.Submissions, jb, generatedHere, rgmodel.RecordRetention, now)
	for range pln.Parts {
		rgadmission.CountBatch(&sta.Admission)
	}
	return StartJob{Plan: pln}
}

// Replan places tasks that are known not to have run on other sidecars, within the retry budget.
// It returns nothing if there is no candidate or the budget is spent.
func Replan(
	sta *State, jb rgmodel.Job, tasks []rgmodel.Task, tried map[rgmodel.SidecarKey]bool, now time.Time, rnd *rand.Rand,
) []rgjob.Part {
	pts := place(sta, jb, tasks, tried, now, rnd)
	if !rgadmission.TakeRetries(&sta.Admission, len(pts)) {
		return nil
	}
	return pts
}

// place chooses sidecars for the tasks and counts the tasks as sent. It returns nothing if there is no candidate.
func place(
	sta *State, jb rgmodel.Job, tasks []rgmodel.Task, tried map[rgmodel.SidecarKey]bool, now time.Time, rnd *rand.Rand,
) []rgjob.Part {
	if len(tasks) == 0 {
		return nil
	}
	pol := sta.Policy
	if pol == nil {
		pol = rgplacement.EarliestFinish{}
	}
	var pts []rgjob.Part
	next := 0
	for _, asg := range rgplacement.Distribute(pol, candidates(sta, jb, tried, now, rnd), len(tasks), rnd).Assignments {
		pts = append(pts, rgjob.Part{Sidecar: asg.Sidecar, Tasks: tasks[next : next+asg.Tasks]})
		next += asg.Tasks
		rgfleet.CountSent(&sta.Fleet, asg.Sidecar, jb.Flow, asg.Tasks)
	}
	return pts
}
