package rgqueue

import (
	"slices"

	"ragwortgap/core/rgmodel"
)

// trimResults drops the results of the submissions that became final first until the byte bound is met. The submission that
// became final last keeps its results, because its answer has not been read yet.
func trimResults(sta *State) {
	limit := sta.MaxResultBytes
	if limit == 0 {
		limit = DefaultMaxResultBytes
	}
	for sta.ResultBytes > limit && len(sta.Finalized) > 1 {
		fs := sta.Finalized[0]
		sta.Finalized = sta.Finalized[1:]
		if isCurrent(sta, fs) {
			dropResults(sta, sta.Records[fs.ID])
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

// pruneFinalized removes the stale elements of Finalized.
func pruneFinalized(sta *State) {
	sta.Finalized = slices.DeleteFunc(sta.Finalized, func(fs FinalizedSubmission) bool { return !isCurrent(sta, fs) })
}
