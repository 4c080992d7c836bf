package rgexecutor

import "time"

// startsAfter reports whether the first task is queued behind the second one. The queue is ordered by the latest start that is still on
// time or, for a task that is late already, the latest start at which its end still has a value. Tasks whose end has no value any
// more go last, by priority. An order by priority alone would starve long tasks of low priority, although they have the least time to
// wait. An order in which all late tasks go last lets short tasks, whose slack is small, wait behind all long ones in an overload.
func startsAfter(sta *State, now time.Time, one, two AcceptedTask) bool {
	oneAt, oneUseful := latestUsefulStart(sta, now, one)
	twoAt, twoUseful := latestUsefulStart(sta, now, two)
	switch {
	case oneUseful != twoUseful:
		return twoUseful
	case one.Priority != two.Priority && !oneUseful:
		return one.Priority > two.Priority
	default:
		return oneAt.After(twoAt)
	}
}

// latestUsefulStart returns the latest start of a task that is still on time or, if that has passed, at which its end still has a value. It
// reports false if there is none.
func latestUsefulStart(sta *State, now time.Time, act AcceptedTask) (time.Time, bool) {
	onTime := latestStart(sta, act)
	if !onTime.Before(now) {
		return onTime, true
	}
	if act.LateDeadline.IsZero() {
		return onTime, false
	}
	late := act.LateDeadline.Add(-expectedRunTime(sta, act))
	return late, !late.Before(now)
}
