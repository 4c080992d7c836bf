// Package rgexecutor holds the decisions of a sidecar whose upstream is driven by orders: which tasks it starts and stops,
// how much room they take, and what their leases allow.
//
// A run can only go on while the sidecar renews the executor's lease, and the sidecar renews it only while every entry
// that asked for a run is known to be alive. What a lost entry has left running has therefore ended before its caller
// sends the job again.
package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// slowestClock is the rate of the slowest clock that an executor may have.
	slowestClock = 0.98
	// leaseShare is the part of the longest lease that is asked for. The rest is time in which a lost entry is noticed.
	leaseShare = 0.7
	// TickInterval is how often deadlines, silent entries and overdue orders are checked.
	TickInterval = 100 * time.Millisecond
	// pollWait is how long an executor may hold back the list of runs until one ends. It is short, because nothing is
	// known of any run while the answer to a poll is lost.
	pollWait = 60 * time.Millisecond
	// sparePollTime is how long after an order without an answer two polls are in flight at a time. Nothing is known of any
	// run while the only one is lost.
	sparePollTime = 3 * time.Second
	// goneAfter is how long nothing may listen at the executor's address until its process counts as ended, and its runs
	// with it.
	goneAfter = 50 * time.Millisecond
	// stopRetry is when an unanswered stop is sent again.
	stopRetry = 100 * time.Millisecond
	// stopPatience is how long a stop may be unconfirmed before the lease is left to lapse, which ends the run too.
	stopPatience = 250 * time.Millisecond
	// MaxOrderAge is the oldest placement that is accepted. It covers a round trip between zones and a busy entry.
	MaxOrderAge = 300 * time.Millisecond
	// queuePatience is how long a task that is late waits here before it may try its luck elsewhere. Behind tasks that can
	// be in time, it could wait until its deadline while other executors have room.
	queuePatience = 200 * time.Millisecond
	// numberTries bounds how often a run number that was used before is raised.
	numberTries = 8
	// numberMemory is how long the run numbers of a task are remembered.
	numberMemory = 30 * time.Second
	// defaultTypicalCores is the need of a task where none is known.
	defaultTypicalCores = 1
)

const (
	// PhaseNoExecutor is the zero value: no executor has announced itself.
	PhaseNoExecutor Phase = iota
	// PhaseFencing lasts until orders of earlier processes can no longer take effect and their runs have ended.
	PhaseFencing
	// PhaseServing means that all runs of the executor are known.
	PhaseServing
)

const (
	// RunStarting is the zero value: the start order has not been answered.
	RunStarting RunState = iota
	// RunRunning means that the executor has confirmed the start.
	RunRunning
	// RunStopping means that the run is to end, and may not have been started at all.
	RunStopping
)

type (
	// Phase is how far the sidecar is in control of its executor.
	Phase uint8

	// RunState is how far a run has come.
	RunState uint8

	// ConnID identifies a connection to an entry.
	ConnID uint64

	// RunKey identifies a run of the current incarnation of the executor.
	RunKey struct {
		Task   rgmodel.TaskKey
		Number uint64
	}

	// Limits are what the deployment allows. Zero values mean the defaults.
	Limits struct {
		// LongestLease is the longest lease that an executor gives.
		LongestLease time.Duration
		// ResendDelay is how soon after a lost answer a caller may send its job again.
		ResendDelay time.Duration
		// TaskStopTime is how long an executor takes to stop a run.
		TaskStopTime time.Duration
	}

	// Work is a task that a sidecar has accepted.
	Work struct {
		Task     rgmodel.PlacedTask
		Conn     ConnID
		Queued   time.Time
		Priority int
		Needs    rgmodel.Resources
		Spec     string
		Deadline time.Time
		// SoftDeadline is when the task has to end for its job to meet the SLO of its route.
		SoftDeadline time.Time
	}

	// Run is a task that has been ordered and has not been seen to end. It takes room in every state.
	Run struct {
		Work   Work
		Number uint64
		State  RunState
		Tries  int
		// Started is when the start was sent, and then when it was confirmed.
		Started time.Time
		// StopAsked is when the stop was decided, StopSent when it was last sent, StopDone when it was confirmed.
		StopAsked time.Time
		StopSent  time.Time
		StopDone  time.Time
		// Confirmed is set once the executor has confirmed the start.
		Confirmed bool
		// Again is set if the task may be started anew once the run has surely ended.
		Again bool
		// Reason is what the entry is told if the run ends by the stop.
		Reason rgmodel.Reason
	}

	// Doubt is a task that may be running on an incarnation of the executor that the sidecar is not in control of.
	Doubt struct {
		Work   Work
		Reason rgmodel.Reason
		// Until is when it has ended for certain.
		Until time.Time
	}

	// EntryConn is a connection to an entry.
	EntryConn struct {
		// LastAlive is a time at which the entry was alive for certain.
		LastAlive time.Time
		// ReportInterval is how often the entry wants to be told of a load that changes.
		ReportInterval time.Duration
		// Told is when the last message was sent, Loaded when the last one with the load was.
		Told   time.Time
		Loaded time.Time
		// Changed is set while the entry's view of the load is not the newest one.
		Changed bool
		// Stale is set once the entry has placed a task by a load that is not true any more.
		Stale bool
		// Usable and Cleared are what the entry knows of the executor.
		Usable  bool
		Cleared bool
	}

	// Number is the highest run number that was used for a task.
	Number struct {
		Value uint64
		Used  time.Time
	}

	// Effect is what the process has to do after a command.
	Effect interface{ isEffect() }

	// SendOrder sends an order to the executor.
	SendOrder struct{ Order rgmodel.Order }

	// ReportEnd reports the end of a task to the entry that placed it.
	ReportEnd struct {
		Conn ConnID
		End  rgmodel.TaskEnd
	}

	// State is the control state of the sidecar.
	State struct {
		Limits   Limits
		Executor rgmodel.Executor
		Phase    Phase
		Fence    uint64
		// ClockAt is when the executor's clock showed Executor.Clock at the latest.
		ClockAt time.Time
		// Lease is the latest lease that any order has carried.
		Lease         rgmodel.ExecutorTime
		AckedSequence uint64
		// Polls holds when the polls that are in flight were sent.
		Polls []time.Time
		// Unanswered is when an order was last left without an answer.
		Unanswered time.Time
		// UnreachableSince is since when nothing listens at the executor's address; zero if something does.
		UnreachableSince time.Time
		Foreign          map[RunKey]time.Time
		Runs             map[rgmodel.TaskKey]*Run
		Queue            []Work
		// Doubts holds the tasks of a lost incarnation that may be running yet.
		Doubts   []Doubt
		Conns    map[ConnID]*EntryConn
		Numbers  map[rgmodel.TaskKey]Number
		Stopping bool
		Health   Health
		// Slowdown is the learned ratio of run times to estimates; zero means that none is learned.
		Slowdown float64
		Counts   Counts
	}

	// Counts are totals for metrics.
	Counts struct {
		Started, Done, Failed, Lost, Returned, LeasesExpired, MalformedRows uint64
	}
)

func (SendOrder) isEffect() {}
func (ReportEnd) isEffect() {}
