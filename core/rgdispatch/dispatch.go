// Package rgdispatch makes the decisions of an entry whose upstreams are controlled by orders: which jobs it admits, on
// which sidecars it places their tasks, and when it aborts a job.
package rgdispatch

import (
	"time"

	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

const (
	// TickInterval is the interval at which deadlines and silent sidecars are checked.
	TickInterval = 100 * time.Millisecond
	// messageTolerance is how long a sidecar's next message may be overdue before the sidecar is considered lost.
	messageTolerance = 250 * time.Millisecond
	// maxSilence is how long a sidecar that has tasks may be silent and still get more. Such a sidecar sends a message every 100 ms.
	maxSilence = 350 * time.Millisecond
	// maxSilenceWithTasks is how long a sidecar that has tasks may be silent before its connection is closed and the tasks are given
	// up. Until the lease of its executor has expired, a sidecar that is only slow may still finish them.
	maxSilenceWithTasks = 750 * time.Millisecond
	// suspensionThreshold is the time between two events above which the process is considered to have been suspended. Ticks occur
	// every 100 ms.
	suspensionThreshold = 400 * time.Millisecond
	// suspensionRefusalTime is how long jobs are refused after the process was suspended. The callers of jobs that arrived in the
	// meantime may have disconnected long ago and sent them to another entry. Jobs that were received before
	// that are refused however late they are handled.
	suspensionRefusalTime = 200 * time.Millisecond
	// startupTime is how long an entry that has just started, or was suspended, waits for its sidecars to connect before it
	// refuses jobs that cannot be placed. Sidecars dial several times a second.
	startupTime = time.Second
	// defaultEstimate is the estimate of tasks that have none.
	defaultEstimate = 200 * time.Millisecond
	// networkOverhead is the time that the messages between entry and sidecar and the calls of the executor add to a run.
	networkOverhead = 5 * time.Millisecond
	// retryAfter is the time after which a refused caller may retry, which is about the time that a full queue takes to empty.
	retryAfter = time.Second
	// softDeadlineFraction is the fraction of the time to the soft deadline within which a task must be expected to end on a
	// slow executor.
	softDeadlineFraction = 0.8
	// deadlineMargin is the factor by which a task on a slow executor may take longer than expected and still meet its deadline.
	// The time to the soft deadline grows with the work of a job, but the time to the deadline does not.
	deadlineMargin = 2
	// similarRunFactor is the ratio of run times up to which executors are considered similar in speed. Learned slowdowns vary
	// by about as much.
	similarRunFactor = 1.25
	// maxPlacementRetries is how often a task is placed again because it would wait longer than expected. After that, it is queued
	// however long it waits.
	maxPlacementRetries = 2
	// minExtraWait is how much longer than expected a task may wait in any case without being placed again, because placing it
	// again takes about as long.
	minExtraWait = 10 * time.Millisecond
	// zonePenalty is how much earlier a task has to end in another zone to be placed there, because messages take longer and
	// load reports are older.
	zonePenalty = 15 * time.Millisecond
)

const (
	// TaskWaiting is the zero value: the task is not placed on a sidecar.
	TaskWaiting TaskState = iota
	// TaskPlaced means that the task is placed on a connected sidecar.
	TaskPlaced
	// TaskUnknown means that the connection to its sidecar is lost and the task may still run there, or that it may still run for an
	// earlier submission of the job, so it is not placed again.
	TaskUnknown
	// TaskDone means that the task has succeeded.
	TaskDone
)

const (
	// ProofReported means that the sidecar has reported the end of the run.
	ProofReported EndProof = "reported"
	// ProofEarlierRunsEnded means that the sidecar has reported that the runs of its earlier connections have ended.
	ProofEarlierRunsEnded EndProof = "earlierRunsEnded"
	// ProofMaxRunTime means that the longest time has passed for which a run goes on after its sidecar was lost or its task cancelled.
	ProofMaxRunTime EndProof = "maxRunTime"
)

type (
	// SidecarConnID identifies a connection to a sidecar.
	SidecarConnID uint64

	// CallerID identifies a caller that waits for the answer to a job. Later requests have higher ones.
	CallerID uint64

	// TaskState is the state of a task.
	TaskState uint8

	// EndProof is what shows that a run of a task has ended without a result, so that the task may be placed again.
	EndProof string

	// Limits are settings of the deployment.
	Limits struct {
		// MaxRunTimeAfterLoss is the time after the loss of a sidecar by which all runs that this entry placed there have ended.
		MaxRunTimeAfterLoss time.Duration
		// MaxRunTimeAfterCancel is the time after a cancellation by which the runs of the cancelled tasks have ended, even if the
		// sidecar has not received it. With zero, a job that comes again is placed at once.
		MaxRunTimeAfterCancel time.Duration
		// Cores is the number of cores that the entry may use; zero means no limit.
		Cores float64
	}

	// Step is a set of tasks of a job that have the same requirements.
	Step struct {
		Count    int
		Requires rgmodel.Resources
		Estimate time.Duration
		// DependsOn lists the steps that must be done before this one.
		DependsOn []int
		// RequiredLabel is a label that the executor must have.
		RequiredLabel string
		// PreferredLabel is the label of the executors in the rack near the data. On others, tasks take RemoteFactor times as long.
		PreferredLabel string
		// MaxPerExecutor is the largest number of tasks on one executor; zero means no limit. Tasks that are already placed
		// there count if their step has the same limit. Tasks that the same plan places there count only if they are of this step.
		MaxPerExecutor int
	}

	// Request is a job as submitted by a caller.
	Request struct {
		ID    string
		Route rgroute.Route
		Spec  string
		Steps []Step
		// Received is when the process received the request; zero if unknown.
		Received time.Time
		// CallerWait is how long the caller waits for the answer; zero if it does not say.
		CallerWait time.Duration
		// Unsupported names a property of the job that is not supported; empty if there is none.
		Unsupported string
		// Silence is the longest time for which the connection was silent before all of the request was read; zero if unknown.
		Silence time.Duration
		// CallerLeft is set if the caller is known to have left. It may have sent the job to another entry.
		CallerLeft bool
	}

	// Task is a task of a job in progress.
	Task struct {
		State TaskState
		Conn  SidecarConnID
		// Sidecar is the sidecar on which the task was last lost; empty if it was not lost by this submission of the job. EndProof is what
		// shows that its last run has ended.
		Sidecar  string
		EndProof EndProof
		Ticket   rgmodel.Ticket
		Failures int
		// PlacementRetries counts how often a sidecar has returned the task because it would wait too long there.
		PlacementRetries int
		// PlaceWait is nil until the task waits for a preferred place.
		PlaceWait *PlaceWait
		// EndedBy is the time by which the run of a task in TaskUnknown has certainly ended.
		EndedBy time.Time
		// AvoidedSidecars holds the names of the sidecars on which the task failed or was lost, or which returned it.
		AvoidedSidecars map[string]bool
	}

	// Job is a job in progress.
	Job struct {
		Request  Request
		Caller   CallerID
		Arrived  time.Time
		Deadline time.Time
		// SoftDeadline is the latest end at which the job is still on time, based on its estimates.
		SoftDeadline time.Time
		// Tasks holds the tasks of each step. It is nil for a step whose dependencies are not done.
		Tasks [][]Task
		// Admitted is set once a task has been placed.
		Admitted bool
		// MayHaveRun is set once a task may have been started.
		MayHaveRun bool
		// UnrefusedStarts is the number of start orders that the executors have not refused, for lost tasks.
		UnrefusedStarts int
		// LateEstimate is the estimate because of which the last plan failed.
		LateEstimate LateEstimate
	}

	// PlaceWait describes the waits of a task for preferred places.
	PlaceWait struct {
		// Since is when the task was placed where it waits; zero if it does not wait now.
		Since time.Time
		// Expected is the expected wait; zero if the place seemed to be free.
		Expected time.Duration
		// Returns is the number of waits after which the task was returned.
		Returns int
	}

	// TaskRef identifies a task of a job in progress.
	TaskRef struct {
		Job   string
		Step  int
		Index int
	}

	// UnreportedTask is a placed task that the sidecar's last report does not include yet.
	UnreportedTask struct {
		Ticket rgmodel.Ticket
		Cores  float64
	}

	// SidecarConn is a connection to a sidecar.
	SidecarConn struct {
		Name         string
		Executor     rgmodel.Executor
		Report       rgmodel.ExecutorReport
		ReportedAt   time.Time
		LastReceived time.Time
		// LostAt is when the sidecar is considered lost unless it sends a message before that.
		LostAt time.Time
		// ReportInterval is the requested interval between reports of a changing load.
		ReportInterval time.Duration
		// Rank orders the sidecars in a way that differs between entries.
		Rank uint64
		// SidecarClock is the latest reading of the sidecar's clock, received at LastReceived.
		SidecarClock rgmodel.SidecarTime
		LastTicket   rgmodel.Ticket
		Placed       map[rgmodel.Ticket]TaskRef
		Unreported   []UnreportedTask
	}

	// Effect is an action that the process carries out after a command.
	Effect interface{ isEffect() }

	// SendPlacement asks a sidecar to run tasks.
	SendPlacement struct {
		Conn      SidecarConnID
		Placement rgmodel.Placement
	}

	// CancelTasks asks a sidecar to cancel tasks.
	CancelTasks struct {
		Conn    SidecarConnID
		Tickets []rgmodel.Ticket
	}

	// SendAnswer sends the final answer to a caller.
	SendAnswer struct {
		Caller  CallerID
		Job     string
		Verdict rgmodel.Verdict
		Reason  rgmodel.Reason
		// RetryAfter is set if the job has not run and may be sent again after that time.
		RetryAfter time.Duration
		Took       time.Duration
		Detail     Detail
	}

	// Detail describes the state of the job at the time of its answer, for the log.
	Detail struct {
		Route    string
		Tasks    int
		Done     int
		Placed   int
		Unknown  int
		Failures int
		// UnrefusedStarts is the number of start orders for lost tasks that the executors have not refused.
		UnrefusedStarts int
		// TimeLeft is the time until the deadline, Overdue the time since the soft deadline, and Estimate the estimated run
		// time of the critical path.
		TimeLeft time.Duration
		Overdue  time.Duration
		Estimate time.Duration
		// Silence is that of the caller's connection before the request.
		Silence time.Duration
		// Sidecars are the sidecars on which a task of the job failed or was lost, or which returned one.
		Sidecars     []string
		LateEstimate LateEstimate
	}

	// LateEstimate is an estimate by which a task would end too late even on the best sidecar.
	LateEstimate struct {
		Sidecar string
		Wait    time.Duration
		Run     time.Duration
		// ReportAge is the age of the load report that Wait is based on.
		ReportAge time.Duration
	}

	// LogPlacedAgain logs that a task that may have run is placed again.
	LogPlacedAgain struct {
		Task rgmodel.TaskKey
		// Sidecar is the sidecar that gets the task, and LostBy the one on which it was lost.
		Sidecar, LostBy string
		Proof           EndProof
	}

	// CountPlaceWait counts the end of a wait for a preferred place. It has paid off if the task succeeded there after a wait
	// that was expected.
	CountPlaceWait struct {
		PaidOff bool
		Waited  time.Duration
	}

	// CloseConn closes the connection to a sidecar.
	CloseConn struct{ Conn SidecarConnID }

	// State is the control state of the entry.
	State struct {
		Limits Limits
		// Name and AvailabilityZone are those of the entry. Without a zone, all sidecars are treated as in the same zone.
		Name             string
		AvailabilityZone string
		// Evacuation is the newest known set of evacuated zones.
		Evacuation rgevacuation.Set
		Sidecars   map[SidecarConnID]*SidecarConn
		// Order holds the connections to sidecars in the order of their rank.
		Order []SidecarConnID
		Jobs  map[string]*Job
		// RunsEndedBy maps the jobs that have ended here with tasks that may still run to the time by which these have ended.
		RunsEndedBy map[string]time.Time
		// RemoteFactor is the factor by which tasks take longer on executors without the preferred label; zero means 1.
		RemoteFactor float64
		// StartedAt is when the process started, and ResumedAt when it was last found to have been suspended.
		StartedAt time.Time
		LastEvent time.Time
		ResumedAt time.Time
		// LastLoss is when a connection with placed tasks was last lost.
		LastLoss time.Time
		// DrainEndsBy is when a graceful shutdown must have ended, or zero. Drained is set once it has given up all jobs.
		DrainEndsBy time.Time
		Drained     bool
	}
)

func (SendPlacement) isEffect()  {}
func (CancelTasks) isEffect()    {}
func (SendAnswer) isEffect()     {}
func (CloseConn) isEffect()      {}
func (LogPlacedAgain) isEffect() {}
func (CountPlaceWait) isEffect() {}
