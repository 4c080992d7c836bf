package rgqueue

import (
	"slices"

	"ragwortgap/core/rgmodel"
)

// trimResults drops the oldest settled results above the byte bound. The submission that settled last keeps its
// results, because its answer has not been read yet.
func trimResults(sta *State) {
	limit := sta.MaxResultBytes
	if limit == 0 {
		limit = DefaultMaxResultBytes
	}
	for sta.ResultBytes > limit && len(sta.Completions) > 1 {
		old := sta.Completions[0]
		sta.Completions = sta.Completions[1:]
		if current(sta, old) {
			dropResults(sta, sta.Records[old.ID])
		}
	}
}

// dropResults keeps the verdicts: the tasks ran, and they must not run again.
func dropResults(sta *State, rec *Record) {
	sta.ResultBytes -= resultBytes(rec)
	for _, tsk := range rec.Tasks {
		if len(tsk.Outcome.Result) > 0 {
			tsk.Outcome.Result = nil
			tsk.Outcome.Reason = rgmodel.ReasonResultDropped
		}
	}
}

// forgetSettled removes the entries that are out of date.
func forgetSettled(sta *State) {
	sta.Completions = slices.DeleteFunc(sta.Completions, func(old Completion) bool { return !current(sta, old) })
}
