package rgconfig

import "time"

const (
	// RepairDelay is the age of a change after which any entry sends it to a sidecar that does not report it, not only the
	// entries assigned to push it. A sidecar reports a change within 300 ms, and once a second when idle.
	RepairDelay = 2 * time.Second
	// HistoryDuration is how long an entry keeps the changes in its History.
	HistoryDuration = time.Minute
)

type (
	// AppliedChange is a change of configurations that an entry has applied.
	AppliedChange struct {
		At time.Time
		// Before and After are the sums of all revisions at the entry before and after the change.
		Before uint64
		After  uint64
		Teams  []string
	}

	// History holds the changes of the last HistoryDuration, oldest first; the zero value is empty.
	History struct {
		Changes []AppliedChange
	}
)
