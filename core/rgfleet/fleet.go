// Package rgfleet holds an entry's view of the sidecars that have announced themselves.
package rgfleet

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// ReportInterval is how often a sidecar reports when nothing changes.
	ReportInterval = time.Second
	// MissedReportLimit is the number of missed reports after which a sidecar gets no new work.
	MissedReportLimit = 3
	// LostAfter is how long a disconnected sidecar may take to come back before it counts as lost. It is longer than
	// IsolationLimit, so that a lost sidecar has stopped taking batches from whomever it is still connected to.
	LostAfter = rgmodel.IsolationLimit + 5*time.Second
	// FailedReportLimit is the number of consecutive reports with failures and no success that eject a sidecar.
	FailedReportLimit = 3
	// FailedTaskLimit is the number of failures since the last success that eject a sidecar. An upstream that fails
	// in a few milliseconds reaches it with its first report.
	FailedTaskLimit = 10
	// HangFactor is how many times the learned service time may pass without a completion while tasks are running.
	HangFactor = 10
	// MinHangTime is the least time without a completion that ejects: one second is the length of common tasks.
	MinHangTime = time.Second
	// MinEjectionTime is the duration of a first ejection; each repetition doubles it up to MaxEjectionTime.
	MinEjectionTime = time.Second
	// MaxEjectionTime bounds the duration of an ejection.
	MaxEjectionTime = 30 * time.Second
	// SlowStartTime is how long the weight of a sidecar takes to rise from MinWeight to 1 after an ejection.
	SlowStartTime = 10 * time.Second
	// MinWeight is the weight at the return from an ejection, and the least weight of a sidecar whose tasks fail.
	MinWeight = 0.1
)

type (
	// Member is one sidecar and what is known of its load.
	Member struct {
		Sidecar    rgmodel.Sidecar
		Report     rgmodel.Report
		ReportedAt time.Time
		Connected  bool
		// Sealed is set once the sidecar has answered the seal of its newest connection.
		Sealed bool
		// Leaving is set once the sidecar has said that it leaves.
		Leaving bool
		// DisconnectedAt is when the connection was lost.
		DisconnectedAt time.Time
		// SentSinceReport holds the tasks this entry has sent and that the newest report cannot include.
		SentSinceReport []rgmodel.FlowLoad
		Health          Health
	}

	// Health is the state of a member's ejection.
	Health struct {
		// FailedTasks and FailedReports count failures and reports with failures since the last success or ejection.
		FailedTasks   uint64
		FailedReports int
		// LastProgress is when a report last showed a completed task, or the first running one.
		LastProgress time.Time
		// ConsecutiveEjections counts the ejections without a recovery between them.
		ConsecutiveEjections int
		EjectedUntil         time.Time
	}

	// State is the view; the zero value is empty.
	State struct {
		Members map[string]*Member
		// JoinOrder holds the members in the order in which they became known, for drawing samples.
		JoinOrder []*Member
		Departed  []rgmodel.Departure
		// ServiceTimes is a moving average of all members' learned service times of each kind.
		ServiceTimes map[string]time.Duration
	}

	// Selector selects the members that a job can use.
	Selector struct {
		Requires rgmodel.Resources
		// Exclude holds members that must not be drawn.
		Exclude map[rgmodel.SidecarKey]bool
		// Limit is the largest number of members that are needed.
		Limit int
	}
)
