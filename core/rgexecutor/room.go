// Package rgexecutor makes the decisions of a sidecar that controls its upstream, an executor, by orders: which tasks to
// start and stop, how many resources they use, and when to renew the executor's lease.
//
// A run lasts only as long as the sidecar renews the executor's lease, and the sidecar renews it only while every entry
// that placed a task is known to be alive. The runs of a lost entry have therefore ended before its caller sends the job
// again.
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
	MaxPlacementAge = 300 * time.Millisecond
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
	// Phase states whether the sidecar controls its executor.
	Phase uint8

	// RunState is the state of a run.
	RunState uint8

	// ConnID identifies a connection to an entry.
	ConnID uint64

	// RunKey identifies a run of the current incarnation of the executor.
	RunKey struct {
		Task   rgmodel.TaskKey
		Number uint64
	}

	// Limits are settings of the deployment. Zero values mean the defaults.
	Limits struct {
		// LongestLease is the longest lease that an executor grants.
		LongestLease time.Duration
		// ResendDelay is the shortest time after which a caller sends its job again if the answer was lost.
		ResendDelay time.Duration
		// TaskStopTime is how long an executor takes to stop a run.
		TaskStopTime time.Duration
	}

	// Assignment is a task that the sidecar has accepted from an entry.
	Assignment struct {
		Task     rgmodel.PlacedTask
		Conn     ConnID
		Queued   time.Time
		Priority int
		Needs    rgmodel.Resources
		Spec     string
		Deadline time.Time
		// SoftDeadline is the latest end of the task at which its job still meets the SLO of its route.
		SoftDeadline time.Time
	}

	// Run is a task whose start has been ordered and whose end is not known yet. It uses resources in every state.
	Run struct {
		Assignment Assignment
		Number     uint64
		State      RunState
		Attempts   int
		// Started is when the start order was sent, or, once it is confirmed, when the confirmation arrived.
		Started time.Time
		// StopRequested is when the stop was decided, and StopSent when the stop order was last sent.
		StopRequested  time.Time
		StopSent       time.Time
		StopConfirmed  time.Time
		StartConfirmed bool
		// Requeue is set if the task may be started again once the run has certainly ended.
		Requeue bool
		// Reason is reported to the entry if the stop ends the run.
		Reason rgmodel.Reason
	}

	// OrphanedTask is a task that may still run on an incarnation of the executor that the sidecar does not control.
	OrphanedTask struct {
		Assignment Assignment
		Reason     rgmodel.Reason
		// EndedBy is the time by which the run has certainly ended, because nothing renews its lease.
		EndedBy time.Time
	}

	// EntryConn is a connection to an entry.
	EntryConn struct {
		// LastAlive is the latest time at which the entry was certainly alive.
		LastAlive time.Time
		// ReportInterval is the shortest time between two reports of a changing load that the entry asked for.
		ReportInterval time.Duration
		// LastSent is when the last message was sent, and LastReported when the last message with a load report was sent.
		LastSent     time.Time
		LastReported time.Time
		// LoadChanged is set if the load has changed since the last report.
		LoadChanged bool
		// ReportNow is set once the entry has placed a task on the basis of an outdated report.
		ReportNow bool
		// ReportedUsable and ReportedEarlierRunsEnded are the values in the last report.
		ReportedUsable           bool
		ReportedEarlierRunsEnded bool
	}

	// RunNumber is the highest run number that this process has used for a task.
	RunNumber struct {
		Highest  uint64
		LastUsed time.Time
	}

	// Effect is an action that the process carries out after a command.
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
		// ClockReadAt is when Executor.Clock was received. The executor's clock showed it at that time or before.
		ClockReadAt time.Time
		// Lease is the latest lease of any order.
		Lease         rgmodel.ExecutorTime
		AckedSequence uint64
		// Polls holds the send times of the polls in flight.
		Polls []time.Time
		// LastUnanswered is when an order last failed without an answer.
		LastUnanswered time.Time
		// UnreachableSince is since when nothing has listened at the executor's address; zero if something does.
		UnreachableSince time.Time
		// ForeignRuns holds the runs that another process has started, with the time at which their stop was last sent.
		ForeignRuns map[RunKey]time.Time
		Runs        map[rgmodel.TaskKey]*Run
		Queue       []Assignment
		// Orphans holds the tasks that may still run on a lost incarnation.
		Orphans    []OrphanedTask
		Conns      map[ConnID]*EntryConn
		RunNumbers map[rgmodel.TaskKey]RunNumber
		Draining   bool
		Health     Health
		// Slowdown is the learned ratio of run times to their estimates; zero means that nothing has been learned.
		Slowdown float64
		Counts   Counts
	}

	// Counts are totals for the metrics.
	Counts struct {
		Started, Done, Failed, Lost, Returned, LeasesExpired, MalformedRows uint64
	}
)

func (SendOrder) isEffect() {}
func (ReportEnd) isEffect() {}
