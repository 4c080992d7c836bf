// Package rgqueue decides which tasks a sidecar accepts, starts and refuses, and keeps records of their outcomes.
//
// Tasks of different flows share the slots by start-time fair queueing
// (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996), with service time as the cost.
package rgqueue

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// cancellationTTL is how long a cancellation is kept, in case it arrives before a batch that it cancels. Such a batch
	// arrives within the deadline of its job.
	cancellationTTL = time.Minute
	// DefaultMaxQueued is the default of State.MaxQueued.
	DefaultMaxQueued = 4096
	// DefaultMaxResultBytes is the default bound of the results that are kept for resubmissions.
	DefaultMaxResultBytes = 16 << 20
	// MaxReportedFlows bounds the flows in a report. Callers choose the names of kinds, so their number is unbounded.
	MaxReportedFlows = 32
	// MaxReportedTimes bounds the service times in a report. It is larger than MaxReportedFlows because placement also
	// needs the service times of idle kinds.
	MaxReportedTimes = 64
	// LongTaskThreshold is the service time above which a start may not take a slot that other flows have used recently,
	// because they would wait too long for it. Shorter tasks free a slot often enough.
	LongTaskThreshold = 300 * time.Millisecond
	// VeryLongTaskThreshold is the service time above which a start also leaves slots free for bursts of other flows.
	VeryLongTaskThreshold = time.Second
	// veryLongReserveFactor is the reserve factor for very long tasks. In BenchmarkFlood with 2 s tasks, 1 raises the p99 of
	// other flows to up to 1.63 times that without a flood, and 2 leaves 23% of the slot time unused instead of 18%.
	veryLongReserveFactor = 1.5
	// usageTimeConstant is the time constant of FlowState.Usage.
	usageTimeConstant = 10 * time.Second
	// minUsage is the usage below which a flow without work counts as inactive.
	minUsage = 0.01
	// smoothingFactor is the weight of a new sample in the moving average of service times.
	smoothingFactor = 0.1
)

type (
	// QueuedTask is a task that waits for a slot.
	QueuedTask struct {
		ID       rgmodel.SubmissionID
		Task     rgmodel.Task
		Urgency  rgmodel.Urgency
		Deadline time.Time
		Arrival  uint64
		RunTime  time.Duration
	}

	// FlowState is the fair-queueing state of one flow.
	FlowState struct {
		Weight  int
		Queue   []QueuedTask
		Running int
		// FinishTag is the virtual finish time of the flow's last started task, in nanoseconds of service per unit of
		// weight.
		FinishTag float64
		// Usage is the number of slots that the flow has used recently, as a moving average.
		Usage float64
	}

	// TaskStatus is the state of one task in a SubmissionRecord.
	TaskStatus struct {
		State   rgmodel.TaskState
		Outcome rgmodel.Outcome
	}

	// SubmissionRecord is the state of one submission.
	SubmissionRecord struct {
		Digest  uint64
		Flow    rgmodel.Flow
		Tasks   map[int]*TaskStatus
		Expires time.Time
		// Pending is the number of tasks that are not final.
		Pending int
		// LastFinalized is the sequence number of the submission's latest FinalizedSubmission.
		LastFinalized uint64
	}

	// FinalizedSubmission records that the last pending task of a submission with results became final.
	FinalizedSubmission struct {
		ID       rgmodel.SubmissionID
		Sequence uint64
	}

	// State is the state of the queue of a sidecar. The zero value is an empty queue with the default bounds.
	State struct {
		Self rgmodel.Sidecar
		// MinGeneration is the lowest ring generation whose batches are accepted.
		MinGeneration uint64
		Draining      bool
		// Ring is the newest ring that the sidecar has received.
		Ring rgmodel.Ring
		// Contacts holds, by incarnation, the send time of the last message that each entry of the ring has replied to.
		Contacts map[string]time.Time
		// MaxQueued is the number of queued tasks above which batches are refused whatever their deadline; zero means
		// DefaultMaxQueued.
		MaxQueued int
		Records   map[rgmodel.SubmissionID]*SubmissionRecord
		// MaxResultBytes bounds ResultBytes, the sum of the results in all records; zero means DefaultMaxResultBytes.
		// Results of a submission with pending tasks are kept beyond the bound, because a caller still waits for them.
		MaxResultBytes int
		ResultBytes    int
		// Finalized is ordered by sequence number. An element is stale if its record is gone, has pending tasks again or has
		// a later element.
		Finalized      []FinalizedSubmission
		FinalizedCount uint64
		// Cancelled holds the time until which batches of a cancelled submission are refused.
		Cancelled    map[rgmodel.SubmissionID]time.Time
		Flows        map[rgmodel.Flow]*FlowState
		Weights      map[rgmodel.Flow]int
		ServiceTimes map[string]time.Duration
		VirtualTime  float64
		// UsageUpdatedAt is when FlowState.Usage was last updated.
		UsageUpdatedAt time.Time
		Arrivals       uint64
		Queued         int
		Running        int
		Succeeded      uint64
		Failed         uint64
	}

	// StartedTask is a task that the caller of StartNext must forward to the upstream.
	StartedTask struct {
		ID       rgmodel.SubmissionID
		Flow     rgmodel.Flow
		Task     rgmodel.Task
		Deadline time.Time
		// Cost is the expected service time that was charged to the flow.
		Cost time.Duration
	}

	// StartResult is the result of StartNext.
	StartResult struct {
		Started []StartedTask
		// Expired holds the submissions of tasks that were dropped because their deadline had passed.
		Expired []rgmodel.SubmissionID
	}
)
