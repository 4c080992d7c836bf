package rgmodel

import "time"

type (
	// SidecarTime is a reading of the boot-time clock of a sidecar's machine in milliseconds. The clock keeps running while
	// the machine is suspended.
	SidecarTime int64

	// Ticket identifies one placement of a task on the connection between an entry and a sidecar.
	Ticket uint64

	// PlacedTask is a task that an entry sends to a sidecar.
	PlacedTask struct {
		Ticket   Ticket        `json:"ticket"`
		Key      TaskKey       `json:"name"`
		Estimate time.Duration `json:"estimate"`
		// MaxWait is the longest expected wait at which the sidecar queues the task; above it, the task is returned at once.
		// Zero means no bound.
		MaxWait time.Duration `json:"patience,omitempty"`
		// MaxQueueTime is the time in the queue after which the sidecar returns the task, because its wait for a preferred place no longer
		// pays. Zero means no bound.
		MaxQueueTime time.Duration `json:"maxQueueTime,omitempty"`
	}

	// Placement is a request of an entry to a sidecar to run tasks of one step of a job.
	Placement struct {
		// Issued is a lower bound of the sidecar's time at which the entry sent the placement.
		Issued SidecarTime `json:"issued"`
		// Deadline is when all runs must have ended, by the sidecar's clock.
		Deadline SidecarTime `json:"deadline"`
		Service  string      `json:"service"`
		Priority int         `json:"priority,omitempty"`
		// TimeToSoftDeadline is the soft deadline of the job minus the time at which the placement was sent. Unlike the slack in
		// SlackBuckets, it includes the run time.
		TimeToSoftDeadline time.Duration `json:"slack"`
		// TimeToLateDeadline is the time from the placement until a late end of the job has no value any more. Zero means that it is
		// not known.
		TimeToLateDeadline time.Duration `json:"lateSlack,omitempty"`
		Requires           Resources     `json:"needs"`
		// RequiredLabel is a label that the executor must have; empty if any will do.
		RequiredLabel string       `json:"label,omitempty"`
		Spec          string       `json:"spec"`
		Tasks         []PlacedTask `json:"tasks"`
	}

	// TaskEnd reports the end of a placed task to the entry.
	TaskEnd struct {
		Ticket Ticket        `json:"ticket"`
		Status EndStatus     `json:"how,omitempty"`
		Reason Reason        `json:"reason,omitempty"`
		Took   time.Duration `json:"took,omitempty"`
		// UnrefusedStarts is the number of start orders for a lost task that the executor has not refused. Each was confirmed or got
		// no reply.
		UnrefusedStarts int `json:"unrefusedStarts,omitempty"`
	}

	// ExecutorReport is the state of an executor as its sidecar reports it to the entries.
	ExecutorReport struct {
		Used Resources `json:"used"`
		// Allocatable is the total of resources that runs may use. It may be less than the executor's capacity.
		Allocatable Resources `json:"room"`
		// Usable is set while the executor accepts new runs.
		Usable bool `json:"usable,omitempty"`
		// EarlierRunsEnded is set once all runs placed over the entry's earlier connections have ended.
		EarlierRunsEnded bool `json:"cleared,omitempty"`
		// ExpectedWaits holds the expected wait of a task that arrives now, for each slack in SlackBuckets, and at its end
		// the expected wait of a task that is already late. It is empty if tasks start without waiting.
		ExpectedWaits []time.Duration `json:"waits,omitempty"`
		// Slowdown is the learned ratio of run times on this executor to their estimates.
		Slowdown float64 `json:"stretch"`
		// Evacuation is set while the executor's availability zone is evacuated as far as the sidecar knows.
		Evacuation *EvacuationProgress `json:"evacuation,omitempty"`
	}

	// EvacuationProgress is what is left of the tasks on an executor in an evacuated zone.
	EvacuationProgress struct {
		Running int `json:"running"`
		Queued  int `json:"queued"`
	}
)

// MinReportInterval is the shortest time between two reports of a changing load.
const MinReportInterval = 25 * time.Millisecond

// SlackBuckets are the slacks for which a sidecar reports expected waits. The slack of a task is the time until the
// latest start at which it still meets its soft deadline.
var SlackBuckets = []time.Duration{
	0, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond,
}

// ExpectedWait returns the expected wait of a task with the given slack.
func (rep ExecutorReport) ExpectedWait(slack time.Duration) time.Duration {
	if len(rep.ExpectedWaits) == 0 {
		return 0
	}
	if slack < 0 {
		return rep.ExpectedWaits[len(rep.ExpectedWaits)-1]
	}
	idx := 0
	for idx+1 < min(len(SlackBuckets), len(rep.ExpectedWaits)-1) && SlackBuckets[idx+1] <= slack {
		idx++
	}
	return rep.ExpectedWaits[idx]
}

// MaxExpectedWait returns the expected wait of a task that is queued behind all others.
func (rep ExecutorReport) MaxExpectedWait() time.Duration {
	if len(rep.ExpectedWaits) == 0 {
		return 0
	}
	return rep.ExpectedWaits[len(rep.ExpectedWaits)-1]
}

// Add returns the time dur later.
func (stm SidecarTime) Add(dur time.Duration) SidecarTime {
	return stm + SidecarTime(dur.Milliseconds())
}

// Sub returns the duration from the earlier time to stm.
func (stm SidecarTime) Sub(earlier SidecarTime) time.Duration {
	return time.Duration(stm-earlier) * time.Millisecond
}

// Plus returns the sum of res and more.
func (res Resources) Plus(more Resources) Resources {
	return Resources{
		Cores:        res.Cores + more.Cores,
		MemoryBytes:  res.MemoryBytes + more.MemoryBytes,
		Accelerators: res.Accelerators + more.Accelerators,
	}
}

// SidecarTimeOf converts a reading of the boot-time clock to the form in which it is sent to other processes.
func SidecarTimeOf(tim time.Time) SidecarTime { return SidecarTime(tim.UnixMilli()) }

// Time converts the reading to a time.Time that counts from the boot of the machine, not from a calendar date.
func (stm SidecarTime) Time() time.Time { return time.UnixMilli(int64(stm)) }
