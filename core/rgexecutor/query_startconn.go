package rgexecutor

import "ragwortgap/core/rgmodel"

// idleStartConn returns a connection to the known incarnation without an order in flight, or nil.
func idleStartConn(sta *State) *StartConn {
	for i := range sta.StartConns {
		if con := &sta.StartConns[i]; !con.Busy && con.Incarnation == sta.Executor.Incarnation {
			return con
		}
	}
	return nil
}

// countStartConns returns the number of connections whose incarnation is not known yet, and of those to the known incarnation.
func countStartConns(sta *State) (opening, open int) {
	for _, con := range sta.StartConns {
		switch con.Incarnation {
		case rgmodel.ExecutorIncarnation{}:
			opening++
		case sta.Executor.Incarnation:
			open++
		}
	}
	return opening, open
}

// countStartable returns the number of queued tasks that could start now.
func countStartable(sta *State) int {
	count, used := 0, Used(sta)
	for _, act := range sta.Queue {
		used = used.Plus(act.Requires)
		if !used.Fits(allocatable(sta)) || sta.Runs[act.Task.Key] != nil {
			break
		}
		count++
	}
	if count == 0 && len(sta.Queue) > 0 && fits(sta, sta.Queue[0]) {
		return 1
	}
	return count
}

// shownIncarnation returns the incarnation that has replied to a poll. A reply that names no start time counts as one of the known
// incarnation, unless its clock has gone back.
func shownIncarnation(sta *State, ord rgmodel.PollOrder, rep rgmodel.OrderReply) (rgmodel.ExecutorIncarnation, bool) {
	switch {
	case !rep.Replied, rep.Refusal != rgmodel.RefusalNone:
		return rgmodel.ExecutorIncarnation{}, false
	case rep.StartedMillis != 0:
		return rgmodel.ExecutorIncarnation{ID: ord.Incarnation.ID, StartedMillis: rep.StartedMillis}, true
	default:
		return ord.Incarnation, ord.Incarnation == sta.Executor.Incarnation && rep.Clock >= sta.Executor.Clock
	}
}
