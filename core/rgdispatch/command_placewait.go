package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// beginPlaceWait records whether a task that is placed now waits for a preferred place.
func beginPlaceWait(now time.Time, tsk *Task, plt plannedTask) {
	switch {
	case plt.worthwhileWait > 0:
		tsk.PlaceWait = &PlaceWait{Since: now, Expected: plt.wait, Returns: placeReturns(tsk)}
	case tsk.PlaceWait != nil:
		tsk.PlaceWait.Since = time.Time{}
	}
}

// endPlaceWait records the end of a placed task that may have waited for a preferred place, and appends an effect if it has. It returns
// the reason of the end, which is ReasonPlaceWait if the sidecar has returned the task because of its wait: such returns do not count as
// placement retries, so that the task may still be returned as often by places elsewhere.
func endPlaceWait(now time.Time, tsk *Task, end rgmodel.TaskEnd, efs []Effect) (rgmodel.Reason, []Effect) {
	wait := tsk.PlaceWait
	if wait == nil || wait.Since.IsZero() {
		return end.Reason, efs
	}
	waited := now.Sub(wait.Since)
	wait.Since = time.Time{}
	switch {
	case end.Status == rgmodel.EndReturned:
		wait.Returns++
		efs = append(efs, CountPlaceWait{Waited: waited})
		if end.Reason == rgmodel.ReasonExpectedWait {
			return rgmodel.ReasonPlaceWait, efs
		}
	case end.Status == rgmodel.EndSucceeded && wait.Expected > 0:
		efs = append(efs, CountPlaceWait{PaidOff: true, Waited: max(0, waited-end.Took)})
	}
	return end.Reason, efs
}
