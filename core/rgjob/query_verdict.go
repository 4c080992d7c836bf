package rgjob

import "ragwortgap/core/rgmodel"

// UnansweredOutcomes returns the outcomes of a part that was not answered. Unsure says that the sidecar may have
// received the message, or that another home may run the tasks.
func UnansweredOutcomes(prt Part, unsure bool, rsn rgmodel.Reason) []rgmodel.Outcome {
	vd := rgmodel.NotRun
	if unsure {
		vd = rgmodel.MayHaveRun
	}
	outs := make([]rgmodel.Outcome, len(prt.Tasks))
	for i, tsk := range prt.Tasks {
		outs[i] = rgmodel.Outcome{Index: tsk.Index, Verdict: vd, Reason: rsn}
	}
	return outs
}

// Retryable reports whether another sidecar may do what this one has refused.
func Retryable(out rgmodel.Outcome) bool {
	if out.Verdict != rgmodel.NotRun {
		return false
	}
	switch out.Reason {
	case rgmodel.ReasonQueueFull, rgmodel.ReasonDraining, rgmodel.ReasonNotReady,
		rgmodel.ReasonUpstreamUnreachable, rgmodel.ReasonSidecarLost:
		return true
	default:
		return false
	}
}
