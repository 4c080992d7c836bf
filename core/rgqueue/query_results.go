package rgqueue

// isCurrent reports whether the submission has had no pending task since the completion.
func isCurrent(sta *State, com FinalizedSubmission) bool {
	rec := sta.Records[com.ID]
	return rec != nil && rec.Pending == 0 && rec.LastFinalized == com.Sequence
}

func resultBytes(rec *SubmissionRecord) int {
	sum := 0
	for _, tsk := range rec.Tasks {
		sum += len(tsk.Outcome.Result)
	}
	return sum
}
