package rgentry

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// arrivalTime returns when a submission that had to be parked arrived, or now for any other one.
func (evt Submitted) arrivalTime(now time.Time) time.Time {
	if evt.Arrived.IsZero() {
		return now
	}
	return evt.Arrived
}

// jobVerdict returns the verdict for a whole job: ranOK if all tasks are complete, and else the least certain verdict of a
// task, in the order mayHaveRun, ranFailed, notRun.
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

func boolToFloat(val bool) float64 {
	if val {
		return 1
	}
	return 0
}
