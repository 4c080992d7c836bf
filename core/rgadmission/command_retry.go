package rgadmission

// CountBatch counts the first attempt of a batch towards the retry budget. The budget is limited to RetryReserve retries,
// so that a quiet period does not allow a retry storm later.
func CountBatch(sta *State) {
	sta.RetryBalance = min(sta.RetryBalance+1, 0)
}

// TakeRetries takes num retries from the budget and returns true, or takes none and returns false.
// A job needs all its tasks, so a partial retry would be wasted.
func TakeRetries(sta *State, num int) bool {
	if num < 0 || sta.RetryBalance+(RetryReserve-num)*BatchesPerRetry < 0 {
		return false
	}
	sta.RetryBalance -= num * BatchesPerRetry
	return true
}
