// Package rgexecutor makes the decisions of a sidecar that controls its upstream, an executor, by orders: which tasks to
// start and stop, how many resources they use, and when to renew the executor's lease.
//
// A run lasts only as long as the sidecar renews the executor's lease, and the sidecar renews it only while every entry
// that placed a task is known to be alive. The runs of a lost entry have therefore ended before its caller sends the job
// again.
package rgexecutor

import (
	"time"

	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
)

const (
	// minClockRate is the lowest clock rate, relative to real time, that is assumed of an executor.
	minClockRate = 0.98
	// leaseFraction is the requested fraction of the longest lease. The rest is the time to detect a lost entry.
	leaseFraction = 0.7
	// TickInterval is the interval at which deadlines, silent entries and overdue orders are checked.
	TickInterval = 100 * time.Millisecond
	// pollWait is how long an executor may delay the reply to a poll until a run ends. It is short, because a lost reply leaves
	// the state of all runs unknown for that long.
	pollWait = 60 * time.Millisecond
	// sparePollDuration is how long two polls are kept in flight after an order without a reply, so that the loss of one
	// does not leave the state of all runs unknown.
	sparePollDuration = 3 * time.Second
	// silentPollInterval and refusedPollInterval are the intervals of the polls of an executor that does not reply, or refuses connections,
	// while a start order may be on its way, for maxOrderDelay at most. The next incarnation carries out that order until it has got a
	// poll. Each poll without a reply costs a connection.
	silentPollInterval  = 20 * time.Millisecond
	refusedPollInterval = 2 * time.Millisecond
	// maxUrgentPolls is the number of polls in flight to such an executor, as many as are sent until the first one has timed out.
	maxUrgentPolls = 2
	// connectionRefusedTimeout is how long nothing listens at the executor's address before it is considered unreachable and gets no
	// more tasks.
	connectionRefusedTimeout = 50 * time.Millisecond
	// maxOrderDelay is how long after an order without a reply the executor may still carry it out. The delay is not
	// bounded, so this covers most orders and not all.
	maxOrderDelay = 15 * time.Second
	// maxRestarted is the number of ended incarnations that are remembered. Heartbeats are delayed by seconds at most.
	maxRestarted = 8
	// stopRetryInterval is the time after which an unconfirmed stop is sent again.
	stopRetryInterval = 100 * time.Millisecond
	// stopConfirmTimeout is how long a stop may stay unconfirmed before the lease is no longer renewed. The run then ends when
	// the lease expires.
	stopConfirmTimeout = 250 * time.Millisecond
	// maxExecutorSilence is how long an executor with a run may go without a reply before its lease is no longer renewed. It is above
	// twice the longest lease, so that an executor that was suspended for that long has lost its runs anyway.
	maxExecutorSilence = 2 * time.Second
	// MaxPlacementAge is the age above which placements are returned. It allows for a round trip between zones and a busy entry.
	MaxPlacementAge = 300 * time.Millisecond
	// maxLateQueueTime is how long a task whose end has no value any more is queued before it is returned, so that its entry can place
	// it elsewhere. It is queued behind all others, and might wait until its deadline while other executors have free capacity.
	maxLateQueueTime = 200 * time.Millisecond
	// maxStartAttempts bounds the attempts to start a run. An attempt is repeated with a higher run number if its number was
	// used before or its lease had expired on arrival.
	maxStartAttempts = 8
	// maxDoubledToken is the fencing token above which a refused one is only incremented. Integers above 2^53 are not exact in
	// every JSON decoder.
	maxDoubledToken = 1 << 52
	// connDrainTime is how long a connection that is drained stays open after the entry was told and the last task has ended. A
	// placement that is still on its way then arrives before the connection is closed.
	connDrainTime = time.Second
	// runNumberTTL is how long the last run number of a task is kept.
	runNumberTTL = 30 * time.Second
	// maxClockLead limits differences between clocks, so that none exceeds the range of a duration.
	maxClockLead = 1000 * time.Hour
	// defaultMeanCores is the assumed number of cores per task while nothing runs.
	defaultMeanCores = 1
)

const (
	// PhaseNoExecutor is the zero value: no incarnation of the executor is known.
	PhaseNoExecutor Phase = iota
	// PhaseFencing lasts until orders of earlier sidecar processes can no longer take effect and their runs have ended.
	PhaseFencing
	// PhaseServing means that all runs of the executor are known.
	PhaseServing
)

const (
	// RunStarting is the zero value: there is no reply to the start order yet.
	RunStarting RunState = iota
	// RunRunning means that the executor has confirmed the start.
	RunRunning
	// RunStopping means that the run is being stopped. It may not have been started at all.
	RunStopping
)

type (
	// Phase states whether the sidecar controls its executor.
	Phase uint8

	// RunState is the state of a run.
	RunState uint8

	// EntryConnID identifies a connection to an entry.
	EntryConnID uint64

	// RunKey identifies a run of the current incarnation of the executor.
	RunKey struct {
		Task   rgmodel.TaskKey
		Number uint64
	}

	// Limits are settings of the deployment. Zero values mean the defaults.
	Limits struct {
		// MaxLease is the longest lease that an executor grants.
		MaxLease time.Duration
		// ResendDelay is the shortest time after which a caller sends its job again if the answer was lost.
		ResendDelay time.Duration
		// TaskStopTime is how long an executor takes to stop a run.
		TaskStopTime time.Duration
	}

	// AcceptedTask is a task that an entry has placed on this sidecar.
	AcceptedTask struct {
		Task     rgmodel.PlacedTask
		Conn     EntryConnID
		Queued   time.Time
		Priority int
		Requires rgmodel.Resources
		Spec     string
		Deadline time.Time
		// SoftDeadline is the latest end of the task at which its job is still on time.
		SoftDeadline time.Time
		// LateDeadline is the latest end of the task at which its job, although late, still has a value; zero if it is not known.
		LateDeadline time.Time
		// UnrefusedStarts is the number of start orders for the task that the executor has not refused and that may have reached
		// it. The task was certainly never started only while it is zero.
		UnrefusedStarts int
	}

	// Run is a task whose start has been ordered and whose end is not known yet. It uses resources in every state.
	Run struct {
		AcceptedTask  AcceptedTask
		Number        uint64
		State         RunState
		StartAttempts int
		// Started is when the start order was sent, or, once it is confirmed, when the confirmation arrived.
		Started time.Time
		// StopRequested is when the stop was decided, and StopSent when the stop order was last sent.
		StopRequested time.Time
		StopSent      time.Time
		StopConfirmed time.Time
		// ClockWhenSent is the earliest time that the executor's clock can have shown when the start order was sent.
		ClockWhenSent rgmodel.ExecutorTime
		// StartConfirmed is set if the known incarnation has confirmed the start.
		StartConfirmed bool
		// Requeue is set if the task may be started again once the run has certainly ended.
		Requeue bool
		// Reason is reported to the entry if the stop ends the run.
		Reason rgmodel.Reason
	}

	// UntrackedRun is a run that is being stopped because this process does not track it.
	UntrackedRun struct {
		// StopRequested is when the executor first listed the run, and StopSent when the stop order was last sent.
		StopRequested time.Time
		StopSent      time.Time
	}

	// OrphanedTask is a task that may still run on an incarnation of the executor that the sidecar does not control.
	OrphanedTask struct {
		AcceptedTask AcceptedTask
		Reason       rgmodel.Reason
		// ExecutorID is the id of the executor to which the run was ordered.
		ExecutorID string
		// EndedBy is the time by which the run has certainly ended.
		EndedBy time.Time
	}

	// EntryConn is a connection to an entry.
	EntryConn struct {
		// LastAlive is the latest time at which the entry was certainly alive: a lower bound of the time at which it sent its
		// latest message. The message may have arrived later.
		LastAlive time.Time
		// ReportInterval is the shortest time that the entry asked for between two reports of a changing load.
		ReportInterval time.Duration
		// LastSent is when the last message was sent, and LastReported when the last message with a load report was sent.
		LastSent     time.Time
		LastReported time.Time
		// LoadChanged is set if the load has changed since the last report.
		LoadChanged bool
		// ReportNow makes the next report due at once. It is set when a task is returned because its expected wait is too long.
		ReportNow bool
		// ReportedUsable and ReportedEarlierRunsEnded are the values in the last report.
		ReportedUsable           bool
		ReportedEarlierRunsEnded bool
		// Draining is set while the connection is about to be closed: the entry is told to place no more tasks over it.
		Draining bool
		// DrainReported is when the entry was told so.
		DrainReported time.Time
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
		Conn EntryConnID
		End  rgmodel.TaskEnd
	}

	// LogRequeue logs that a task was queued again after a start order without a reply.
	LogRequeue struct {
		Task            rgmodel.TaskKey
		Run             uint64
		UnrefusedStarts int
	}

	// LogLoss logs that the sidecar no longer controls an incarnation of the executor.
	LogLoss struct {
		// Cause is the name of the way in which control was lost.
		Cause       string
		Incarnation rgmodel.ExecutorIncarnation
		// Confirmed and Unconfirmed are the numbers of runs whose start the executor has confirmed and has not confirmed.
		Confirmed, Unconfirmed int
		Queued                 int
		// LeaseLeft is the time until every run has ended by the expiry of its lease.
		LeaseLeft time.Duration
	}

	// LogUnreachable logs that the executor refuses connections.
	LogUnreachable struct {
		Runs, Queued int
		// LeaseLeft is the time until every run has ended by the expiry of its lease.
		LeaseLeft time.Duration
	}

	// State is the control state of the sidecar.
	State struct {
		Limits Limits
		// AvailabilityZone is that of the sidecar. It counts for an executor that names none.
		AvailabilityZone string
		// Evacuation is the newest set of evacuated zones that an entry has sent.
		Evacuation rgevacuation.Set
		Executor   rgmodel.Executor
		Phase      Phase
		// Undescribed is set until the next heartbeat if the fields of Executor but Incarnation and Clock are those of an earlier
		// incarnation.
		Undescribed bool
		// Restored is set while Executor is described by an earlier process, until the next heartbeat of its incarnation.
		Restored bool
		// Announced holds the descriptions of other incarnations by heartbeats, the latest last, at most maxAnnounced of them. No reply
		// has shown that these incarnations exist.
		Announced []rgmodel.Executor
		// Restarted holds the last incarnations that have ended by a restart, at most maxRestarted of them.
		Restarted []rgmodel.ExecutorIncarnation
		// UntrackedUntil is when the untracked runs of a lost incarnation have ended by the expiry of their lease.
		UntrackedUntil time.Time
		// HadControl is set once this process has controlled an incarnation of the executor.
		HadControl bool
		FenceToken uint64
		// TokenRaised is set if FenceToken was taken from a clock that a reply of the known incarnation has shown.
		TokenRaised bool
		// FencedAt is when the executor has first accepted the raised token in PhaseFencing, or zero.
		FencedAt time.Time
		// ClockReadAt is when Executor.Clock was received in the reply to an order, or zero. The executor's clock showed it at that time or
		// before.
		ClockReadAt time.Time
		// LeaseEnd is the latest end of the leases of all orders.
		LeaseEnd      rgmodel.ExecutorTime
		AckedSequence uint64
		// StartConns holds the connections for start orders, and LastStartConn is the id of the latest one.
		StartConns    []StartConn
		LastStartConn rgmodel.ExecutorConnID
		// Polls holds the send times of the polls in flight, except for those that open a connection for start orders.
		Polls []time.Time
		// PollUnanswered is set until the current incarnation has replied to a poll, and again when it has not replied to one.
		PollUnanswered bool
		// LatestUrgentPoll is when the latest poll was or will be sent to an executor that may restart with a start order on its way.
		LatestUrgentPoll time.Time
		// LastMissingReply is when an order last got no reply.
		LastMissingReply time.Time
		// LateStartPossibleAt is when a start order was last known or assumed to be on its way without a reply. An order of an earlier
		// process, or to an incarnation that may have ended, is assumed to be.
		LateStartPossibleAt time.Time
		// ConnectionRefusedSince is since when nothing has listened at the executor's address; zero if something does.
		ConnectionRefusedSince time.Time
		// Unreachable is set once connections have been refused for connectionRefusedTimeout.
		Unreachable bool
		// UntrackedRuns holds the runs that the executor lists and this process does not track.
		UntrackedRuns map[RunKey]UntrackedRun
		Runs          map[rgmodel.TaskKey]*Run
		Queue         []AcceptedTask
		// Orphans holds the tasks that may still run on a lost incarnation.
		Orphans    []OrphanedTask
		Conns      map[EntryConnID]*EntryConn
		RunNumbers map[rgmodel.TaskKey]RunNumber
		Draining   bool
		Health     Health
		// Slowdown is the learned ratio of run times to their estimates; zero means that nothing has been learned.
		Slowdown float64
		Counts   Counts
	}

	// Counts are totals for the metrics.
	Counts struct {
		Started, Succeeded, Failed, Lost, Returned, Requeued, RunsExpired, MalformedRuns uint64
		// Evacuated counts the tasks that were returned because the zone is evacuated, including lost ones, of which a start
		// order may have been carried out.
		Evacuated uint64
	}
)

func (SendOrder) isEffect()      {}
func (ReportEnd) isEffect()      {}
func (LogRequeue) isEffect()     {}
func (LogLoss) isEffect()        {}
func (LogUnreachable) isEffect() {}
