// Package rgfleet holds an entry's view of the sidecars that have announced themselves.
package rgfleet

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// ReportInterval is how often a sidecar reports when nothing changes.
	ReportInterval = time.Second
	// MissLimit is the number of missed reports after which a sidecar gets no new work.
	MissLimit = 3
	// LostAfter is how long a disconnected sidecar may take to come back before it counts as lost.
	LostAfter = 5 * time.Second
	// UnreachableWindow is how long a sidecar that never came back counts as possibly running. It is longer than the
	// partitions that are expected (minutes).
	UnreachableWindow = time.Hour
)

type (
	// Member is one sidecar and what is known of its load.
	Member struct {
		Sidecar   rgmodel.Sidecar
		Report    rgmodel.Report
		Reported  time.Time
		Connected bool
		// Sealed is set once the sidecar has answered the seal of its newest connection.
		Sealed bool
		// Leaving is set once the sidecar has said that it leaves. Its report that it drains may arrive later.
		Leaving bool
		// Cut is when the connection was lost.
		Cut time.Time
		// SentSince counts the tasks this entry has sent and that the newest report cannot include.
		SentSince int
		Health    Health
	}

	// Health is the state of a member's ejection.
	Health struct {
		Succeeded    uint64
		Failed       uint64
		Consecutive  int
		Ejections    int
		EjectedUntil time.Time
	}

	// State is the view; the zero value is empty.
	State struct {
		Members  map[string]*Member
		Departed []rgmodel.Departure
	}
)
