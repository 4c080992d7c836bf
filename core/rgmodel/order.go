package rgmodel

import "time"

const (
	// EndSucceeded is the zero value: the task has succeeded.
	EndSucceeded EndStatus = iota
	// EndFailed means that the task ran and failed.
	EndFailed
	// EndLost means that the run ended without a result for a reason outside the task, or that the sidecar handed the task back
	// after a start order that may have been carried out.
	EndLost
	// EndReturned means that the sidecar handed the task back and will not start it under its ticket, and that the executor has
	// refused each start order that was sent for it.
	EndReturned
)

const (
	// RefusalNone is the zero value: the order was carried out.
	RefusalNone OrderRefusal = iota
	// RefusalFenced means that the executor has seen a higher fencing token than that of the order.
	RefusalFenced
	// RefusalStaleRun means that the executor has already seen this run number of the task or a higher one.
	RefusalStaleRun
	// RefusalLeaseExpired means that the lease of the order had expired when it arrived.
	RefusalLeaseExpired
	// RefusalNoCapacity means that the free resources are too small for the task.
	RefusalNoCapacity
	// RefusalUnhealthy means that the executor accepts no orders at present and has not carried out this one.
	RefusalUnhealthy
	// RefusalInvalid means that the order can never be carried out.
	RefusalInvalid
	// RefusalWrongIncarnation means that another incarnation of the executor replied.
	RefusalWrongIncarnation
)

type (
	// EndStatus is the way in which a placed task ended.
	EndStatus uint8

	// OrderRefusal is the reason why an executor did not carry out an order.
	OrderRefusal uint8

	// ExecutorTime is a reading of an executor's monotonic clock, in milliseconds.
	ExecutorTime int64

	// ExecutorIncarnation identifies one process of an executor. A restarted executor may keep its id and then has a
	// later start time.
	ExecutorIncarnation struct {
		ID string `json:"id"`
		// StartedMillis is the start time of the process in milliseconds since the Unix epoch.
		StartedMillis int64 `json:"born"`
	}

	// Executor describes an upstream that is controlled by start, stop and poll orders.
	Executor struct {
		Incarnation      ExecutorIncarnation `json:"lifetime"`
		Service          string              `json:"service"`
		AvailabilityZone string              `json:"zone,omitempty"`
		Capacity         Resources           `json:"capacity"`
		Labels           []string            `json:"labels,omitempty"`
		Draining         bool                `json:"draining,omitempty"`
		// Clock is the latest known reading of the executor's clock.
		Clock ExecutorTime `json:"-"`
		// Sequence orders the heartbeats of one incarnation.
		Sequence uint64 `json:"sequence,omitempty"`
	}

	// TaskKey identifies a task of a job across the fleet.
	TaskKey struct {
		Job string `json:"job"`
		// Occurrence is the second part of the task's name on the platform. It is always zero for tasks that this system
		// places.
		Occurrence int `json:"occurrence,omitempty"`
		Step       int `json:"step,omitempty"`
		Index      int `json:"index"`
	}

	// ExecutorConnID identifies a connection to an executor. A connection belongs to one process of the executor and ends with it at the
	// latest. Zero means any connection, an open or a new one.
	ExecutorConnID uint64

	// Order is an instruction to an executor.
	Order interface{ isOrder() }

	// StartOrder starts a run of a task. The run lasts no longer than the lease.
	StartOrder struct {
		// Conn is the only connection over which the order may be sent.
		Conn        ExecutorConnID
		Incarnation ExecutorIncarnation
		FenceToken  uint64
		Task        TaskKey
		Run         uint64
		Spec        string
		LeaseEnd    ExecutorTime
	}

	// StopOrder stops a run of a task and prevents it and all earlier runs of the task from starting.
	StopOrder struct {
		Incarnation ExecutorIncarnation
		FenceToken  uint64
		Task        TaskKey
		Run         uint64
	}

	// PollOrder lists the runs of an executor, acknowledges ended runs and, unless LeaseEnd is zero, renews the lease.
	PollOrder struct {
		// Conn is the connection that is opened for the order, or zero.
		Conn        ExecutorConnID
		Incarnation ExecutorIncarnation
		FenceToken  uint64
		// AckedSequence is the sequence number of the last ended run that the sidecar has processed.
		AckedSequence uint64
		LeaseEnd      ExecutorTime
		// Wait is how long the executor may delay its reply until a run ends.
		Wait time.Duration
		// Sent is when the sidecar made the order, and Delay how long it then waits before it sends it.
		Sent  time.Time
		Delay time.Duration
	}

	// RunningRun is a run that an executor lists as running.
	RunningRun struct {
		Task TaskKey
		Run  uint64
	}

	// EndedRun is an ended run, which an executor lists until it is acknowledged.
	EndedRun struct {
		Sequence uint64
		Task     TaskKey
		Run      uint64
		Status   EndStatus
	}

	// OrderReply is the reply to an order. If there is no reply, the order may still be carried out, now or later.
	OrderReply struct {
		Replied bool
		// ConnectionRefused is set if nothing listens at the executor's address, so that the order was certainly not carried out.
		ConnectionRefused bool
		// ConnectionEnded is set if the connection of the order had ended before the order was sent, so that it was certainly not carried
		// out.
		ConnectionEnded bool
		Refusal         OrderRefusal
		// Clock and StartedMillis are zero if the reply does not contain them.
		Clock         ExecutorTime
		StartedMillis int64
		Running       []RunningRun
		Ended         []EndedRun
		// MalformedRunning and MalformedEnded count the rows of Running and Ended that could not be decoded.
		MalformedRunning, MalformedEnded int
	}
)

func (StartOrder) isOrder() {}
func (StopOrder) isOrder()  {}
func (PollOrder) isOrder()  {}

// String returns the name for logs.
func (sts EndStatus) String() string {
	switch sts {
	case EndSucceeded:
		return "done"
	case EndFailed:
		return "failed"
	case EndLost:
		return "lost"
	case EndReturned:
		return "returned"
	default:
		return "unknown"
	}
}

// String returns the name for logs.
func (ref OrderRefusal) String() string {
	switch ref {
	case RefusalNone:
		return "none"
	case RefusalFenced:
		return "fenced"
	case RefusalStaleRun:
		return "oldRun"
	case RefusalLeaseExpired:
		return "late"
	case RefusalNoCapacity:
		return "room"
	case RefusalUnhealthy:
		return "unhealthy"
	case RefusalInvalid:
		return "invalid"
	case RefusalWrongIncarnation:
		return "lifetime"
	default:
		return "unknown"
	}
}
