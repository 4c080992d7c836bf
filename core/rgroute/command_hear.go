package rgroute

import "time"

const (
	// storePatience is how long an entry waits for the store to tell it a version that another entry has.
	storePatience = 250 * time.Millisecond
	// askInterval is when another entry is asked. A configuration of many routes takes a while on a narrow link.
	askInterval = 600 * time.Millisecond
)

// VersionLag tracks newer versions of the configuration that an entry has heard of and does not have.
type VersionLag struct {
	// Since is when the first of them was heard of; zero if there is none.
	Since time.Time
	Asked time.Time
}

// ObserveVersion records the version that another entry has and reports whether to request it from that entry. The
// request is delayed, because most entries receive the version from the store in the meantime.
func ObserveVersion(lag *VersionLag, now time.Time, cur *Config, version uint64) bool {
	if cur != nil && version <= cur.Version || version == 0 {
		return false
	}
	if lag.Since.IsZero() {
		lag.Since = now
	}
	if now.Sub(lag.Since) < storePatience || now.Sub(lag.Asked) < askInterval {
		return false
	}
	lag.Asked = now
	return true
}

// CaughtUp resets the lag once a newer version is in force.
func CaughtUp(lag *VersionLag) { *lag = VersionLag{} }
