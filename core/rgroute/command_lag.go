package rgroute

import "time"

const (
	// storeWait is how long an entry waits to receive a newer version from the store before it requests it from another entry.
	storeWait = 250 * time.Millisecond
	// requestInterval is the shortest time between two requests. The transfer of a configuration with many routes takes a while
	// on a slow network connection.
	requestInterval = 600 * time.Millisecond
)

// VersionLag tracks how long an entry has lacked a newer version of the configuration that another entry has.
type VersionLag struct {
	// BehindSince is when the entry first learned of a newer version; zero if it knows of none.
	BehindSince time.Time
	LastRequest time.Time
}

// ObserveVersion records the version that another entry has and reports whether to request it from that entry. The
// request is delayed, because most entries receive the version from the store in the meantime. The other entry then does
// not have to send it to all of them.
func ObserveVersion(lag *VersionLag, now time.Time, cur *Config, version uint64) bool {
	if cur != nil && version <= cur.Version || version == 0 {
		return false
	}
	if lag.BehindSince.IsZero() {
		lag.BehindSince = now
	}
	if now.Sub(lag.BehindSince) < storeWait || now.Sub(lag.LastRequest) < requestInterval {
		return false
	}
	lag.LastRequest = now
	return true
}

// ResetLag resets the lag once a newer version is in force.
func ResetLag(lag *VersionLag) { *lag = VersionLag{} }
