package rgroute

import "time"

const (
	// storePatience is how long an entry waits for the store to tell it a version that another entry has.
	storePatience = 250 * time.Millisecond
	// askInterval is when another entry is asked. A configuration of many routes takes a while on a narrow link.
	askInterval = 600 * time.Millisecond
)

// Behind is what an entry knows of versions that it does not have.
type Behind struct {
	// Since is when the first of them was heard of; zero if there is none.
	Since time.Time
	Asked time.Time
}

// Hear takes note of the version that another entry has, and says whether to ask that entry for it. Most entries have it
// from the store by then, so that it is not sent to all of them.
func Hear(beh *Behind, now time.Time, cur *Config, version uint64) bool {
	if cur != nil && version <= cur.Version || version == 0 {
		return false
	}
	if beh.Since.IsZero() {
		beh.Since = now
	}
	if now.Sub(beh.Since) < storePatience || now.Sub(beh.Asked) < askInterval {
		return false
	}
	beh.Asked = now
	return true
}

// Caught takes note that a version is in force.
func Caught(beh *Behind) { *beh = Behind{} }
