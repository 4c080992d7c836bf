// Package rgdispatch makes the decisions of an entry whose upstreams are controlled by orders: which jobs it admits, on
// which sidecars it places their tasks, and when it aborts a job.
package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

const (
	// TickInterval is the interval at which deadlines and silent sidecars are checked.
	TickInterval = 100 * time.Millisecond
	// memberTolerance is how late a sidecar's next message may be before the sidecar counts as lost.
	memberTolerance = 250 * time.Millisecond
	// memberSilence is how long a sidecar may be silent that has tasks. It reports every 100 ms then.
	memberSilence = 350 * time.Millisecond
	// maxGap is the longest time between two events of a process that is running: ticks come every 100 ms.
	maxGap = 400 * time.Millisecond
	// resumeWait is how long jobs are refused after the process has stood still. Their callers may have left long ago,
	// and may have sent them to another entry.
	resumeWait = 200 * time.Millisecond
	// defaultEstimate is assumed for tasks without one.
	defaultEstimate = 200 * time.Millisecond
	// networkTime is what an order and its end need between an entry and a sidecar, with the executor's own calls.
	networkTime = 5 * time.Millisecond
	// retryAfter is when a refused caller is told to come back: about the time that a full queue needs to drain.
	retryAfter = time.Second
	// lateTolerance is how far beyond the time that is still in time a job may be expected to end when it is admitted.
	// Estimates are off by up to 40 %, so that many of them end in time all the same.
	lateTolerance = 1.3
	// snugShare is the part of the time to be in time in which a task has to be expected to end on a slow executor.
	snugShare = 0.8
	// deadlineMargin is how much longer than expected a task may take and still end before its deadline on a slow
	// executor. What is in time grows with the true work of a job, but the deadline does not.
	deadlineMargin = 2
	// similarRun is the factor up to which executors count as about as slow. What is learned of them varies by as much.
	similarRun = 1.25
	// mostMoves is how often a task is placed anew because it would wait longer than expected. After that it is queued.
	mostMoves = 2
	// leastPatience is how much longer than expected a task may wait without being placed anew, which takes about as long.
	leastPatience = 10 * time.Millisecond
	// distantCost is how much earlier a task has to end in another zone to be placed there: messages take longer, and what
	// is known of its sidecars is older.
	distantCost = 15 * time.Millisecond
)

const (
	// TaskWaiting is the zero value: the task is not placed on a sidecar.
	TaskWaiting TaskState = iota
	// TaskPlaced means that the task is placed on a connected sidecar.
	TaskPlaced
	// TaskHeld means that the connection to its sidecar is lost and the task may still run there, so that it is not placed again.
	TaskHeld
	// TaskDone means that the task has succeeded.
	TaskDone
)

type (
	// ConnID identifies a connection to a sidecar.
	ConnID uint64

	// CallerID identifies a caller that waits for the answer to a job.
	CallerID uint64

	// TaskState is the state of a task.
	TaskState uint8

	// Limits are settings of the deployment.
	Limits struct {
		// RunsEndAfter is the time after the loss of a sidecar by which all runs that this entry placed there have ended.
		RunsEndAfter time.Duration
		// Cores is the number of cores that the entry may use; zero means no limit.
		Cores float64
	}

	// Step is a set of tasks of a job that have the same requirements.
	Step struct {
		Count    int
		Needs    rgmodel.Resources
		Estimate time.Duration
		// DependsOn lists the steps that must be done before this one.
		DependsOn []int
		// RequiredLabel is a label that the executor must have.
		RequiredLabel string
		// Affinity is the label of the executors near the data. On others, tasks take RemoteFactor times as long.
		Affinity string
		// AntiAffinity is the largest number of tasks of the step on one executor; zero means no limit.
		AntiAffinity int
	}

	// Request is a job as submitted by a caller.
	Request struct {
		ID    string
		Route rgroute.Route
		Spec  string
		Steps []Step
		// CallerWait is how long the caller waits for the answer.
		CallerWait time.Duration
		// Unsupported names a property of the job that is not supported; empty if there is none.
		Unsupported string
	}

	// Task is a task of a job in progress.
	Task struct {
		State    TaskState
		Conn     ConnID
		Sidecar  string
		Ticket   rgmodel.Ticket
		Failures int
		// Reassignments counts how often a sidecar has returned the task because it would wait too long there.
		Reassignments int
		// HeldUntil is the time by which the run of a held task has certainly ended.
		HeldUntil time.Time
		// AvoidedSidecars holds the names of the sidecars on which the task failed or was lost, or which returned it.
		AvoidedSidecars map[string]bool
	}

	// Job is a job in progress.
	Job struct {
		Request  Request
		Caller   CallerID
		Arrived  time.Time
		Deadline time.Time
		// SoftDeadline is the latest end at which the job still meets the SLO of its route, based on its estimates.
		SoftDeadline time.Time
		// Tasks holds the tasks of each step. It is nil for a step whose dependencies are not done.
		Tasks [][]Task
		// MayHaveRun is set once a task may have been started.
		MayHaveRun bool
		// LateEstimate is the estimate because of which the last plan failed.
		LateEstimate LateEstimate
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
		// Rank orders the sidecars of other zones by priority for short report intervals.
		Rank uint64
		// SidecarClock is the latest reading of the sidecar's clock, received at LastReceived.
		SidecarClock rgmodel.Instant
		LastTicket   rgmodel.Ticket
		Assigned     map[rgmodel.Ticket]TaskRef
		Unreported   []UnreportedTask
	}

	// Effect is an action that the process carries out after a command.
	Effect interface{ isEffect() }

	// SendPlacement asks a sidecar to run tasks.
	SendPlacement struct {
		Conn      ConnID
		Placement rgmodel.Placement
	}

	// Recall asks a sidecar to cancel tasks.
	Recall struct {
		Conn    ConnID
		Tickets []rgmodel.Ticket
	}

	// Answer is the final answer to a caller.
	Answer struct {
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
		Held     int
		Failures int
		// TimeLeft is the time until the deadline, Overdue the time since the soft deadline, and Estimate the estimated run
		// time of the critical path.
		TimeLeft time.Duration
		Overdue  time.Duration
		Estimate time.Duration
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

	// CloseConn closes the connection to a sidecar.
	CloseConn struct{ Conn ConnID }

	// State is the control state of the entry.
	State struct {
		Limits Limits
		// Name and Zone are those of the entry. Without a zone, all sidecars are treated as in the same zone.
		Name     string
		Zone     string
		Sidecars map[ConnID]*SidecarConn
		Jobs     map[string]*Job
		// RemoteFactor is the factor by which tasks take longer on executors without their affinity label; zero means 1.
		RemoteFactor float64
		LastEvent    time.Time
		ResumedAt    time.Time
	}
)

func (SendPlacement) isEffect() {}
func (Recall) isEffect()        {}
func (Answer) isEffect()        {}
func (CloseConn) isEffect()     {}
