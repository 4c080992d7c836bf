package rgqueue

import (
	"slices"

	"ragwortgap/core/rgmodel"
)

// trimResults drops the results of the submissions that completed first until the byte bound is met. The submission that
// completed last keeps its results, because its answer has not been read yet.
func trimResults(sta *State) {
	limit := sta.MaxResultBytes
	if limit == 0 {
		limit = DefaultMaxResultBytes
	}
	for sta.ResultBytes > limit && len(sta.Finalized) > 1 {
		com := sta.Finalized[0]
		sta.Finalized = sta.Finalized[1:]
		if isCurrent(sta, com) {
			dropResults(sta, sta.Records[com.ID])
		}
	}
}

// dropResults drops the results of a record and keeps the verdicts, so that the tasks do not run again.
func dropResults(sta *State, rec *SubmissionRecord) {
	sta.ResultBytes -= resultBytes(rec)
	for _, tsk := range rec.Tasks {
		if len(tsk.Outcome.Result) > 0 {
			tsk.Outcome.Result = nil
			tsk.Outcome.Reason = rgmodel.ReasonResultDropped
		}
	}
}

// pruneCompletions removes the stale completions.
func pruneCompletions(sta *State) {
	sta.Finalized = slices.DeleteFunc(sta.Finalized, func(com FinalizedSubmission) bool { return !isCurrent(sta, com) })
}
