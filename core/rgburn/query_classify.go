package rgburn

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Classify returns the class of a job with this answer. Took is the time until the answer, and wait is how long the caller
// waits; a wait of zero means that no complete answer counts as late.
//
// The class reflects the cause of the failure: tasks that were cancelled because another task of the job had failed do not
// affect it. If tasks were only cancelled, the caller cancelled the job.
func Classify(ans rgmodel.Answer, took, wait time.Duration) Class {
	if ans.Complete() {
		if wait > 0 && took > wait {
			return Late
		}
		return Good
	}
	cls := Excluded
	for _, out := range ans.Outcomes {
		cls = worseClass(cls, classifyTask(out))
	}
	return cls
}

func classifyTask(out rgmodel.Outcome) Class {
	switch out.Reason {
	case rgmodel.ReasonCancelled, rgmodel.ReasonDigestMismatch, rgmodel.ReasonNeverRunnable:
		return Excluded
	}
	switch out.Verdict {
	case rgmodel.RanOK:
		return Excluded
	case rgmodel.RanFailed:
		return Failed
	case rgmodel.NotRun:
		if out.Reason == rgmodel.ReasonExpired || out.Reason == rgmodel.ReasonDeadlineExceeded {
			return Late
		}
		return Refused
	default:
		return MayHaveRun
	}
}

// worseClass returns the class that is worse for the caller. The constants are ordered by severity, except for Excluded.
func worseClass(fst, snd Class) Class {
	if fst == Excluded {
		return snd
	}
	if snd == Excluded {
		return fst
	}
	return max(fst, snd)
}
