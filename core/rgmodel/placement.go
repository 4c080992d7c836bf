package rgmodel

import "time"

type (
	// Instant is a moment on the clock of a sidecar's machine, which goes on while the machine is suspended.
	Instant int64

	// Ticket names one placement of a task on one connection between an entry and a sidecar.
	Ticket uint64

	// PlacedTask is a task that an entry asks a sidecar to run.
	PlacedTask struct {
		Ticket   Ticket        `json:"ticket"`
		Name     TaskName      `json:"name"`
		Estimate time.Duration `json:"estimate"`
		// Patience is how long the task may have to wait; if it would be longer, it is returned at once. Zero means that it
		// is queued in any case.
		Patience time.Duration `json:"patience,omitempty"`
	}

	// Placement is the part of a step that a sidecar is to run.
	Placement struct {
		// Issued is the latest time of the sidecar at which the entry can prove that it sent this, and at most the true one.
		Issued Instant `json:"issued"`
		// Deadline is when all runs must have ended, on the sidecar's clock.
		Deadline Instant       `json:"deadline"`
		Service  string        `json:"service"`
		Priority int           `json:"priority,omitempty"`
		Slack    time.Duration `json:"slack"`
		Needs    Resources     `json:"needs"`
		Spec     string        `json:"spec"`
		Tasks    []PlacedTask  `json:"tasks"`
	}

	// TaskEnd tells an entry how a placed task has ended.
	TaskEnd struct {
		Ticket Ticket        `json:"ticket"`
		How    EndKind       `json:"how,omitempty"`
		Reason Reason        `json:"reason,omitempty"`
		Took   time.Duration `json:"took,omitempty"`
	}

	// RoomReport is a sidecar's view of its executor.
	RoomReport struct {
		Used Resources `json:"used"`
		// Room is what runs may take in all, which may be less than the executor's capacity.
		Room Resources `json:"room"`
		// Usable is set while the executor takes new runs.
		Usable bool `json:"usable,omitempty"`
		// Cleared is set when no run is left of the entry's earlier connections.
		Cleared bool `json:"cleared,omitempty"`
		// Waits holds for each of WaitSlacks how long a task that arrives now and has that slack would wait, and last how
		// long one that is late in any case would. It is empty if there is room.
		Waits []time.Duration `json:"waits,omitempty"`
		// Stretch is how long tasks take on this executor, relative to their estimates.
		Stretch float64 `json:"stretch"`
	}
)

// ShortestReportInterval is the shortest time between two reports of a load that changes.
const ShortestReportInterval = 25 * time.Millisecond

// WaitSlacks are the slacks for which a sidecar reports its waits: the time until the latest start that is in time.
var WaitSlacks = []time.Duration{
	0, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond,
}

// Wait returns how long a task with the slack would wait.
func (rep RoomReport) Wait(slack time.Duration) time.Duration {
	if len(rep.Waits) == 0 {
		return 0
	}
	if slack < 0 {
		return rep.Waits[len(rep.Waits)-1]
	}
	at := 0
	for at+1 < min(len(WaitSlacks), len(rep.Waits)-1) && WaitSlacks[at+1] <= slack {
		at++
	}
	return rep.Waits[at]
}

// LongestWait returns how long a task would wait that goes behind all others.
func (rep RoomReport) LongestWait() time.Duration {
	if len(rep.Waits) == 0 {
		return 0
	}
	return rep.Waits[len(rep.Waits)-1]
}

// Add returns the instant that is later by the duration.
func (ins Instant) Add(dur time.Duration) Instant { return ins + Instant(dur.Milliseconds()) }

// Sub returns the time since an earlier instant.
func (ins Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(ins-earlier) * time.Millisecond
}

// Plus returns the sum of both.
func (res Resources) Plus(more Resources) Resources {
	return Resources{
		Cores:        res.Cores + more.Cores,
		MemoryBytes:  res.MemoryBytes + more.MemoryBytes,
		Accelerators: res.Accelerators + more.Accelerators,
	}
}

// InstantOf returns the time as it is sent to other processes.
func InstantOf(tim time.Time) Instant { return Instant(tim.UnixMilli()) }

// Time returns the instant as a time without a date.
func (ins Instant) Time() time.Time { return time.UnixMilli(int64(ins)) }
