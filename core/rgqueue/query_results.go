package rgqueue

// isCurrent reports whether the submission has had no pending task since this element of Finalized was added.
func isCurrent(sta *State, fs FinalizedSubmission) bool {
	rec := sta.Records[fs.ID]
	return rec != nil && rec.Pending == 0 && rec.LastFinalized == fs.Sequence
}

func resultBytes(rec *SubmissionRecord) int {
	sum := 0
	for _, tsk := range rec.Tasks {
		sum += len(tsk.Outcome.Result)
	}
	return sum
}
