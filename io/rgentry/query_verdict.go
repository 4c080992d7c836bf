package rgentry

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// since is when the submission arrived, for one that has waited for sidecars, or else now.
func (evt Submitted) since(now time.Time) time.Time {
	if evt.Arrived.IsZero() {
		return now
	}
	return evt.Arrived
}

// jobVerdict is the verdict of the task that leaves the caller with the least knowledge.
func jobVerdict(ans rgmodel.Answer) rgmodel.Verdict {
	if ans.Complete() {
		return rgmodel.RanOK
	}
	vd := rgmodel.NotRun
	for _, out := range ans.Outcomes {
		switch out.Verdict {
		case rgmodel.MayHaveRun:
			return rgmodel.MayHaveRun
		case rgmodel.RanFailed:
			vd = rgmodel.RanFailed
		}
	}
	return vd
}

func flag(val bool) float64 {
	if val {
		return 1
	}
	return 0
}
