package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// endPlaceWaits returns the queued tasks whose wait for a preferred place no longer pays. It is called after all tasks that fit have been
// started.
func endPlaceWaits(sta *State, now time.Time) []Effect {
	var efs []Effect
	kept := sta.Queue[:0]
	for _, act := range sta.Queue {
		if !placeWaitEnded(now, act) {
			kept = append(kept, act)
			continue
		}
		efs = append(efs, returnTask(sta, act, rgmodel.ReasonPlaceWait))
		if con := sta.Conns[act.Conn]; con != nil {
			// The entry needs the current load to place the task again.
			con.ReportNow = true
		}
	}
	sta.Queue = kept
	return efs
}

// placeWaitEnded reports whether a queued task has waited for its place as long as pays. A task that may have been started stays, because
// it would be reported as lost.
func placeWaitEnded(now time.Time, act AcceptedTask) bool {
	return act.Task.MaxQueueTime > 0 && act.UnrefusedStarts == 0 && now.Sub(act.Queued) >= act.Task.MaxQueueTime
}
