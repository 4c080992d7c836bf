package rgburn

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Classify returns what a job's answer means for the error budget. Took is the time until the answer, and wait is how
// long the caller waits; a wait of zero means that every complete answer is in time.
//
// The class is the cause of the failure: tasks that were cancelled because another task of the job had failed do not
// decide it. An answer in which tasks were only cancelled is one that the caller gave up.
func Classify(ans rgmodel.Answer, took, wait time.Duration) Class {
	if ans.Complete() {
		if wait > 0 && took > wait {
			return Late
		}
		return Good
	}
	cls := Uncounted
	for _, out := range ans.Outcomes {
		cls = worse(cls, classifyTask(out))
	}
	return cls
}

func classifyTask(out rgmodel.Outcome) Class {
	switch out.Reason {
	case rgmodel.ReasonCancelled, rgmodel.ReasonDigestMismatch, rgmodel.ReasonNeverRunnable:
		return Uncounted
	}
	switch out.Verdict {
	case rgmodel.RanOK:
		return Uncounted
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

// worse returns the class that leaves the caller with less. The order of the constants is that of the damage.
func worse(fst, snd Class) Class {
	if fst == Uncounted {
		return snd
	}
	if snd == Uncounted {
		return fst
	}
	return max(fst, snd)
}
