package rgadmission

// CountBatch earns a part of a retry for a batch that is sent for the first time.
func CountBatch(sta *State) {
	prime(sta)
	sta.Retries = min(sta.Retries+RetryRatio, RetryReserve)
}

// TakeRetry spends a retry and returns whether there was one.
func TakeRetry(sta *State) bool {
	prime(sta)
	if sta.Retries < 1 {
		return false
	}
	sta.Retries--
	return true
}

func prime(sta *State) {
	if !sta.Primed {
		sta.Primed, sta.Retries = true, RetryReserve
	}
}
