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
	// DefaultMaxQueued is the number of queued tasks above which batches are refused whatever their deadline.
	DefaultMaxQueued = 4096
	// DefaultServiceTime is assumed for a kind that is neither learned nor declared.
	DefaultServiceTime = 200 * time.Millisecond
	// learnRate is the weight of the newest sample in the moving average of service times.
	learnRate = 0.1
)

type (
	// Queued is a task that waits for a slot.
	Queued struct {
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
		Waiting []Queued
		Running int
		// Finish is the virtual time, in nanoseconds of service per unit of weight, at which the flow's
		// last started task is charged off.
		Finish float64
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
		Window  time.Duration
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
		Flows     map[rgmodel.Flow]*Flow
		Weights   map[rgmodel.Flow]int
		Times     map[string]time.Duration
		Virtual   float64
		Arrivals  uint64
		Queued    int
		Running   int
		Succeeded uint64
		Failed    uint64
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

	// Progress is the result of StartNext.
	Progress struct {
		Starts []Start
		// Expired names the submissions of tasks that were dropped because their deadline had passed.
		Expired []rgmodel.SubmissionID
	}
)
