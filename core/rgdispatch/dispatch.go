// Package rgdispatch holds the decisions of an entry whose upstreams are driven by orders: which jobs it admits, on
// which sidecars their tasks run, and when a job is given up.
package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

const (
	// TickInterval is how often deadlines and silent sidecars are checked.
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
	// TaskWaiting is the zero value: the task has no place.
	TaskWaiting TaskState = iota
	// TaskPlaced means that a sidecar has it.
	TaskPlaced
	// TaskHeld means that its sidecar is lost and it may run there yet.
	TaskHeld
	// TaskDone means that it has succeeded.
	TaskDone
)

type (
	// ConnID identifies a connection to a sidecar.
	ConnID uint64

	// CallerID identifies a caller that waits for the answer to a job.
	CallerID uint64

	// TaskState is how far a task has come.
	TaskState uint8

	// Limits are what the deployment allows.
	Limits struct {
		// RunsEndAfter is the time after the loss of a sidecar by which all runs that this entry placed there have ended.
		RunsEndAfter time.Duration
		// Cores is the part of the processor that the entry may use; zero means that it does not matter.
		Cores float64
	}

	// Step is a set of equal tasks of a job.
	Step struct {
		Count    int
		Needs    rgmodel.Resources
		Estimate time.Duration
		// DependsOn lists the steps that must be done before this one.
		DependsOn []int
		// RequiredLabel is a label that the executor must have.
		RequiredLabel string
		// Affinity is the label of the rack near the data; elsewhere tasks take RemoteFactor times as long.
		Affinity string
		// AntiAffinity bounds the tasks of the step on one executor; zero means no bound.
		AntiAffinity int
	}

	// Request is a job as a caller sends it.
	Request struct {
		ID    string
		Route rgroute.Route
		Spec  string
		Steps []Step
		// CallerWait is how long the caller waits for the answer.
		CallerWait time.Duration
		// Unsupported names a property that jobs here cannot have; empty if there is none.
		Unsupported string
	}

	// Task is one task of a job in progress.
	Task struct {
		State    TaskState
		Conn     ConnID
		Sidecar  string
		Ticket   rgmodel.Ticket
		Failures int
		// Moves counts how often a sidecar has returned it because it would wait too long there.
		Moves int
		// HeldUntil is when a held task has ended for certain.
		HeldUntil time.Time
		// Avoid holds the sidecars that have failed or returned it.
		Avoid map[string]bool
	}

	// Job is a job in progress.
	Job struct {
		Request  Request
		Caller   CallerID
		Arrived  time.Time
		Deadline time.Time
		// SoftDeadline is when the job has to end to meet the SLO of its route, by its estimates.
		SoftDeadline time.Time
		// Tasks holds the tasks of each step; those of a step that waits for others are empty.
		Tasks [][]Task
		// Ran is set once a task may have been started.
		Ran bool
		// LateEstimate is the estimate on which the last plan failed.
		LateEstimate LateEstimate
	}

	// TaskRef identifies the task of a ticket.
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

	// Member is a connected sidecar.
	Member struct {
		Name       string
		Executor   rgmodel.Executor
		Report     rgmodel.ExecutorReport
		ReportedAt time.Time
		LastHeard  time.Time
		// LostAt is when the sidecar counts as lost unless it sends a message before.
		LostAt time.Time
		// ReportInterval is how often the sidecar is asked to report a changing load.
		ReportInterval time.Duration
		// Rank orders the sidecars of other zones.
		Rank uint64
		// SidecarClock is the newest reading of the sidecar's clock, received at LastHeard.
		SidecarClock rgmodel.Instant
		LastTicket   rgmodel.Ticket
		Assigned     map[rgmodel.Ticket]TaskRef
		Unreported   []UnreportedTask
	}

	// Effect is what the process has to do after a command.
	Effect interface{ isEffect() }

	// Send asks a sidecar to run tasks.
	Send struct {
		Conn      ConnID
		Placement rgmodel.Placement
	}

	// Recall asks a sidecar to drop tasks.
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
		// RetryAfter is set if the job has not run and may be sent again later.
		RetryAfter time.Duration
		Took       time.Duration
		Detail     Detail
	}

	// Detail is what an answer was decided on, for the log.
	Detail struct {
		Route    string
		Tasks    int
		Done     int
		Placed   int
		Held     int
		Failures int
		// TimeLeft is the time until the deadline, Overdue the time since the soft deadline, Estimate the longest
		// chain of the job.
		TimeLeft time.Duration
		Overdue  time.Duration
		Estimate time.Duration
		// Sidecars are those that have failed or returned a task of the job, or were lost with one.
		Sidecars     []string
		LateEstimate LateEstimate
	}

	// LateEstimate is the estimate, for the best sidecar, by which a task would end too late.
	LateEstimate struct {
		Sidecar string
		Wait    time.Duration
		Run     time.Duration
		// ReportAge is the age of the report that Wait was taken from.
		ReportAge time.Duration
	}

	// CloseConn ends the connection to a sidecar.
	CloseConn struct{ Conn ConnID }

	// State is the control state of the entry.
	State struct {
		Limits Limits
		// Name and Zone are those of the entry. Without a zone, all sidecars count as near.
		Name    string
		Zone    string
		Members map[ConnID]*Member
		Jobs    map[string]*Job
		// RemoteFactor is how much longer tasks take away from their data; zero means that it does not matter.
		RemoteFactor float64
		LastEvent    time.Time
		Resumed      time.Time
	}
)

func (Send) isEffect()      {}
func (Recall) isEffect()    {}
func (Answer) isEffect()    {}
func (CloseConn) isEffect() {}
