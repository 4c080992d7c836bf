package rgjob

import "ragwortgap/core/rgmodel"

// NewTracker returns the tracker of a job. Tasks that the plan neither places nor has an outcome for keep the verdict NotRun.
func NewTracker(jb rgmodel.Job, pln Plan) *Tracker {
	trk := &Tracker{
		Outcomes:      make([]rgmodel.Outcome, len(jb.Tasks)),
		Retries:       make([]int, len(jb.Tasks)),
		Tried:         map[rgmodel.SidecarKey]bool{},
		ResultIndexes: map[rgmodel.SidecarKey][]int{},
	}
	for i, tsk := range jb.Tasks {
		trk.Outcomes[i] = rgmodel.Outcome{Index: tsk.Index, Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonNoUpstream}
	}
	for _, out := range pln.KnownOutcomes {
		trk.Outcomes[out.Index] = out
	}
	return trk
}

// RecordOutcomes records the outcomes of a part and returns the tasks to retry on another sidecar.
// If they cannot be placed, the caller calls MarkCannotSucceed.
func RecordOutcomes(trk *Tracker, prt Part, outs []rgmodel.Outcome) []rgmodel.Task {
	trk.Tried[prt.Sidecar] = true
	var retry []rgmodel.Task
	for i, out := range outs {
		trk.Outcomes[out.Index] = out
		switch {
		case out.Verdict == rgmodel.RanOK:
			trk.ResultIndexes[prt.Sidecar] = append(trk.ResultIndexes[prt.Sidecar], out.Index)
		case Retryable(out) && trk.Retries[out.Index] < MaxRetries:
			trk.Retries[out.Index]++
			retry = append(retry, prt.Tasks[i])
		case out.Verdict == rgmodel.NotRun:
			trk.CannotSucceed = true
		}
	}
	if trk.CannotSucceed {
		return nil
	}
	return retry
}

// MarkCannotSucceed records that the tasks to retry cannot be placed on another sidecar.
func MarkCannotSucceed(trk *Tracker) {
	trk.CannotSucceed = true
}
