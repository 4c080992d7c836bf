package rgqueue

// current reports whether the submission has had no pending task since the settlement.
func current(sta *State, old Completion) bool {
	rec := sta.Records[old.ID]
	return rec != nil && rec.Pending == 0 && rec.LastCompletion == old.Sequence
}

func resultBytes(rec *Record) int {
	sum := 0
	for _, tsk := range rec.Tasks {
		sum += len(tsk.Outcome.Result)
	}
	return sum
}
