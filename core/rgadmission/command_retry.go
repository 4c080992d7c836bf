package rgadmission

// CountBatch earns a part of a retry for a batch that is sent for the first time.
// No more than RetryReserve retries are kept, so that a quiet period does not pay for a storm of retries.
func CountBatch(sta *State) {
	sta.RetryCredit = min(sta.RetryCredit+1, 0)
}

// TakeRetries spends num retries at once and returns true, or spends none and returns false.
// A job is only complete with all its tasks, so that a part of its retries would be wasted.
func TakeRetries(sta *State, num int) bool {
	if num < 0 || sta.RetryCredit+(RetryReserve-num)*BatchesPerRetry < 0 {
		return false
	}
	sta.RetryCredit -= num * BatchesPerRetry
	return true
}
