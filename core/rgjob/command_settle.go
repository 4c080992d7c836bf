package rgjob

import "ragwortgap/core/rgmodel"

// NewTracker returns the tracker of a job. Tasks that the plan neither places nor knows stay at the verdict not run.
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

// RecordOutcomes records the outcomes of a part and returns the tasks that another sidecar may take.
// If none takes them, the caller calls MarkFailed.
func RecordOutcomes(trk *Tracker, prt Part, outs []rgmodel.Outcome) []rgmodel.Task {
	trk.Tried[prt.Sidecar] = true
	var again []rgmodel.Task
	for i, out := range outs {
		trk.Outcomes[out.Index] = out
		switch {
		case out.Verdict == rgmodel.RanOK:
			trk.ResultIndexes[prt.Sidecar] = append(trk.ResultIndexes[prt.Sidecar], out.Index)
		case Retryable(out) && trk.Retries[out.Index] < MaxRetries:
			trk.Retries[out.Index]++
			again = append(again, prt.Tasks[i])
		case out.Verdict == rgmodel.NotRun:
			trk.Failed = true
		}
	}
	if trk.Failed {
		return nil
	}
	return again
}

// MarkFailed records that refused tasks cannot be placed elsewhere.
func MarkFailed(trk *Tracker) {
	trk.Failed = true
}
