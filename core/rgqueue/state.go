// Package rgqueue holds the decisions of a sidecar: which tasks it accepts, starts, refuses and remembers.
//
// Tasks of different flows share the slots by start-time fair queueing
// (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996), with service time as the cost.
package rgqueue

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// cancelMemory is how long a cancellation outlives itself: a batch that it has overtaken arrives within a deadline.
	cancelMemory = time.Minute
	// DefaultMaxQueued is the number of queued tasks above which batches are refused whatever their deadline.
	DefaultMaxQueued = 4096
	// DefaultServiceTime is assumed for a kind that is neither learned nor declared.
	DefaultServiceTime = 200 * time.Millisecond
	// DefaultMaxResultBytes bounds the results that are kept for resubmissions.
	DefaultMaxResultBytes = 16 << 20
	// MaxReportedFlows bounds the size of a report, because callers choose the names of kinds.
	MaxReportedFlows = 32
	// MaxReportedTimes is larger, because placement needs the times of idle kinds too.
	MaxReportedTimes = 64
	// LongTaskThreshold is the service time above which a start may not take a slot that other flows have used recently,
	// because they would wait too long for it. Shorter tasks free a slot often enough.
	LongTaskThreshold = 300 * time.Millisecond
	// VeryLongTaskThreshold is the service time above which other flows also need room for bursts.
	VeryLongTaskThreshold = time.Second
	// veryLongFactor is from BenchmarkFlood with 2 s tasks: with 1, the p99 of other flows is up to 1.63 times that without
	// a flood; with 2, 23% of the slot time is not used, instead of 18%.
	veryLongFactor = 1.5
	// usageTime is the time constant of the slots that a flow has used recently.
	usageTime = 10 * time.Second
	// minUsage is the usage below which a flow counts as not active.
	minUsage = 0.01
	// learnRate is the weight of the newest sample in the moving average of service times.
	learnRate = 0.1
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

	// Flow is the queue of one flow and its position in virtual time.
	Flow struct {
		Weight  int
		Waiting []QueuedTask
		Running int
		// FinishTag is the virtual time, in nanoseconds of service per unit of weight, at which the flow's
		// last started task is charged off.
		FinishTag float64
		// Usage is the number of slots that the flow has used recently, as a moving average.
		Usage float64
	}

	// Task is the record of one task.
	Task struct {
		State   rgmodel.TaskState
		Outcome rgmodel.Outcome
	}

	// Record is what the sidecar remembers of one submission.
	Record struct {
		Digest  uint64
		Flow    rgmodel.Flow
		Tasks   map[int]*Task
		Expires time.Time
		// Pending is the number of tasks that are not final.
		Pending int
		// LastCompletion is the number of the latest time at which no task was pending any more.
		LastCompletion uint64
	}

	// Completion says that a submission with results had no pending task at the numbered time.
	Completion struct {
		ID       rgmodel.SubmissionID
		Sequence uint64
	}

	// State is all that a sidecar decides on; the zero value is an empty sidecar with the documented defaults.
	State struct {
		Self     rgmodel.Sidecar
		Fence    uint64
		Draining bool
		// Ring is the newest ring the sidecar knows of.
		Ring rgmodel.Ring
		// Contacts holds, by incarnation, when the last message that an entry of the ring has answered was sent.
		Contacts  map[string]time.Time
		MaxQueued int
		Records   map[rgmodel.SubmissionID]*Record
		// MaxResultBytes bounds ResultBytes, the sum of the results in all records; zero means DefaultMaxResultBytes.
		// Results of a submission with pending tasks are kept beyond the bound, because a caller waits for them.
		MaxResultBytes int
		ResultBytes    int
		// Completions is in order of completion. An entry is out of date when its record is gone or has a later one.
		Completions     []Completion
		CompletionCount uint64
		// Cancelled holds until when batches of a submission are refused because it was cancelled.
		Cancelled    map[rgmodel.SubmissionID]time.Time
		Flows        map[rgmodel.Flow]*Flow
		Weights      map[rgmodel.Flow]int
		ServiceTimes map[string]time.Duration
		VirtualTime  float64
		// UsageUpdatedAt is when the usage of the flows was last brought up to date.
		UsageUpdatedAt time.Time
		Arrivals       uint64
		Queued         int
		Running        int
		Succeeded      uint64
		Failed         uint64
	}

	// Start is a task that the caller of StartNext must now forward to the upstream.
	Start struct {
		ID       rgmodel.SubmissionID
		Flow     rgmodel.Flow
		Task     rgmodel.Task
		Deadline time.Time
		// Cost is the service time that was charged to the flow for this start.
		Cost time.Duration
	}

	// StartResult is the result of StartNext.
	StartResult struct {
		Starts []Start
		// Expired names the submissions of tasks that were dropped because their deadline had passed.
		Expired []rgmodel.SubmissionID
	}
)
