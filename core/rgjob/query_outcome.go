package rgjob

import "ragwortgap/core/rgmodel"

// OutcomesWithoutReply returns the outcomes of a part that got no reply. MayHaveRun is set if the sidecar may have
// received the message, or if another home may run the tasks.
func OutcomesWithoutReply(prt Part, mayHaveRun bool, rsn rgmodel.Reason) []rgmodel.Outcome {
	vd := rgmodel.NotRun
	if mayHaveRun {
		vd = rgmodel.MayHaveRun
	}
	outs := make([]rgmodel.Outcome, len(prt.Tasks))
	for i, tsk := range prt.Tasks {
		outs[i] = rgmodel.Outcome{Index: tsk.Index, Verdict: vd, Reason: rsn}
	}
	return outs
}

// Retryable reports whether a task with this outcome may be retried on another sidecar.
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
