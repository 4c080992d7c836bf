package rghome

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

// StoredAnswer returns the final answer of a submission in the form in which it may be sent to callers now.
func StoredAnswer(sta *State, id rgmodel.SubmissionID, now time.Time) rgmodel.Answer {
	sub := sta.Submissions.Submissions[id]
	if sub == nil || !sub.Final {
		return rgmodel.Answer{}
	}
	return downgradeNotRun(sta, rgsubmission.FinalAnswer(sub, id), now)
}

// downgradeNotRun changes the verdict NotRun to MayHaveRun unless this entry holds the ring lease, because another home
// may have run the tasks. The reasons are unchanged.
func downgradeNotRun(sta *State, ans rgmodel.Answer, now time.Time) rgmodel.Answer {
	if rgring.HoldsRingLease(&sta.Ring, now) {
		return ans
	}
	ans.Outcomes = slices.Clone(ans.Outcomes)
	for i, out := range ans.Outcomes {
		if out.Verdict == rgmodel.NotRun {
			ans.Outcomes[i].Verdict = rgmodel.MayHaveRun
			ans.Outcomes[i].Detail = "not run here, but another entry may have become the home"
		}
	}
	return ans
}
