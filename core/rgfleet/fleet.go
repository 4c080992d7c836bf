// Package rgfleet tracks the membership, load and health of the sidecars that an entry knows.
package rgfleet

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// IdleReportInterval is how often a sidecar reports when nothing changes.
	IdleReportInterval = time.Second
	// MissedReportLimit is the number of missed reports after which a sidecar gets no new tasks.
	MissedReportLimit = 3
	// LostAfter is how long a sidecar may be disconnected before it counts as lost. It is longer than IsolationLimit, so
	// that a lost sidecar has stopped accepting batches from the entries that it is still connected to.
	LostAfter = rgmodel.IsolationLimit + 5*time.Second
	// FailedReportLimit is the number of consecutive reports with failures and no success that eject a sidecar.
	FailedReportLimit = 3
	// FailedTaskLimit is the number of failures since the last success that eject a sidecar. An upstream that fails
	// in a few milliseconds reaches it with its first report.
	FailedTaskLimit = 10
	// HungFactor is the time without a completed task, as a multiple of the service time, above which a sidecar with running
	// tasks counts as hung.
	HungFactor = 10
	// MinHungTime is the time without a completed task up to which a sidecar never counts as hung. Tasks commonly take
	// one second.
	MinHungTime = time.Second
	// MinEjectionTime is the duration of a first ejection; each repetition doubles it up to MaxEjectionTime.
	MinEjectionTime = time.Second
	// MaxEjectionTime bounds the duration of an ejection.
	MaxEjectionTime = 30 * time.Second
	// SlowStartTime is the time in which the weight of a sidecar rises from MinWeight to 1 after an ejection.
	SlowStartTime = 10 * time.Second
	// MinWeight is the weight right after an ejection, and the lowest weight of a sidecar whose tasks fail.
	MinWeight = 0.1
)

type (
	// Member is a sidecar with its known load and health.
	Member struct {
		Sidecar    rgmodel.Sidecar
		Report     rgmodel.LoadReport
		ReportedAt time.Time
		Connected  bool
		// Sealed is set once the sidecar has replied to the seal on its latest connection.
		Sealed bool
		// Leaving is set once the sidecar has announced that it is leaving.
		Leaving bool
		// DisconnectedAt is when the connection was lost.
		DisconnectedAt time.Time
		// SentSinceReport counts, for each flow, the tasks that this entry has sent since the latest report.
		SentSinceReport []rgmodel.FlowLoad
		Health          Health
	}

	// Health is the outlier detection state of a member.
	Health struct {
		// FailedTasks and FailedReports count failures and reports with failures since the last success or ejection.
		FailedTasks   uint64
		FailedReports int
		// LastProgress is when a report last showed a completed task or followed a report without running tasks.
		LastProgress time.Time
		// ConsecutiveEjections counts the ejections since the last recovery.
		ConsecutiveEjections int
		EjectedUntil         time.Time
	}

	// State is an entry's view of the fleet. The zero value is an empty fleet.
	State struct {
		Members map[string]*Member
		// MemberList holds the same members as a list, from which samples are drawn by index. Its order has no meaning.
		MemberList []*Member
		Departed   []rgmodel.Departure
		// ServiceTimes holds the moving average of the learned service times of all members, by kind.
		ServiceTimes map[string]time.Duration
	}

	// Selector selects members for a job.
	Selector struct {
		Requires rgmodel.Resources
		// Exclude holds the sidecars that must not be selected.
		Exclude map[rgmodel.SidecarKey]bool
		// Limit is the largest number of members to select.
		Limit int
	}
)
