package rghome

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
)

// doubt returns the answer without the verdict not run, unless this entry is the home beyond doubt: another home may
// have run what this one has not. The reasons stay.
func doubt(sta *State, ans rgmodel.Answer, now time.Time) rgmodel.Answer {
	if rgring.HoldsLease(&sta.Ring, now) {
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
