package rgconfig

import "time"

const (
	// RepairDelay is how long after a change a sidecar may report that it has not got it, before the entries that do not
	// push to it at once step in. A sidecar reports a change within 300 ms, and once a second at rest.
	RepairDelay = 2 * time.Second
	// RecentTime is how long an entry remembers which teams have changed.
	RecentTime = time.Minute
)

type (
	// Recent is a change that an entry has taken in.
	Recent struct {
		At time.Time
		// Before and After are the sums of all revisions at the entry.
		Before uint64
		After  uint64
		Teams  []string
	}

	// History holds the changes of the last RecentTime, in order; the zero value is empty.
	History struct {
		Changes []Recent
	}
)
