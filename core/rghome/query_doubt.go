package rghome

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
)

// doubt returns the answer without the verdict not run, unless this entry is the home beyond doubt: another home may
// have run what this one has not.
func doubt(sta *State, ans rgmodel.Answer, now time.Time) rgmodel.Answer {
	if rgring.Certain(&sta.Ring, now) {
		return ans
	}
	ans.Outcomes = slices.Clone(ans.Outcomes)
	for i, out := range ans.Outcomes {
		if out.Verdict == rgmodel.NotRun {
			detail := string(out.Reason) + " here, but another entry may have become the home"
			ans.Outcomes[i] = rgmodel.Outcome{Index: out.Index, Reason: rgmodel.ReasonHomeUncertain, Detail: detail}
		}
	}
	return ans
}
