package rgmodel

import "time"

const (
	// EndDone is the zero value: the task has succeeded.
	EndDone EndKind = iota
	// EndFailed means that the task ran and failed.
	EndFailed
	// EndLost means that the task was started and has ended without a result, for no fault of its own.
	EndLost
	// EndReturned means that the task was not started and never will be under its ticket.
	EndReturned
)

const (
	// RefusalNone is the zero value: the order was carried out.
	RefusalNone Refusal = iota
	// RefusalFenced means that a newer process gives the orders.
	RefusalFenced
	// RefusalOldRun means that a run of this number or a higher one has been there already.
	RefusalOldRun
	// RefusalLate means that the order's lease had lapsed when it arrived.
	RefusalLate
	// RefusalRoom means that the task does not fit.
	RefusalRoom
	// RefusalUnhealthy means that the executor takes no orders now and has done nothing.
	RefusalUnhealthy
	// RefusalInvalid means that the order can never be carried out.
	RefusalInvalid
	// RefusalLifetime means that another lifetime of the executor answered.
	RefusalLifetime
)

type (
	// EndKind is how a placed task has ended.
	EndKind uint8

	// Refusal is why an executor has not carried out an order.
	Refusal uint8

	// ExecutorTime is a moment on an executor's own steady clock, in milliseconds.
	ExecutorTime int64

	// Lifetime is one life of an executor. An id may come again with a later birth.
	Lifetime struct {
		ID string `json:"id"`
		// Born is when the lifetime began, in milliseconds since 1970.
		Born int64 `json:"born"`
	}

	// Executor is an upstream that is driven by orders, as it describes itself.
	Executor struct {
		Lifetime Lifetime     `json:"lifetime"`
		Service  string       `json:"service"`
		Zone     string       `json:"zone,omitempty"`
		Capacity Resources    `json:"capacity"`
		Labels   []string     `json:"labels,omitempty"`
		Draining bool         `json:"draining,omitempty"`
		Clock    ExecutorTime `json:"-"`
		Sequence uint64       `json:"-"`
	}

	// TaskName names a task of a job across the fleet.
	TaskName struct {
		Job        string `json:"job"`
		Occurrence int    `json:"occurrence,omitempty"`
		Step       int    `json:"step,omitempty"`
		Index      int    `json:"index"`
	}

	// Order is an instruction to an executor.
	Order interface{ isOrder() }

	// StartOrder starts a run of a task, which lasts at most as long as the lease.
	StartOrder struct {
		Lifetime Lifetime
		Fence    uint64
		Task     TaskName
		Run      uint64
		Spec     string
		Lease    ExecutorTime
	}

	// StopOrder stops a run, and keeps it and all earlier ones of the task from starting.
	StopOrder struct {
		Lifetime Lifetime
		Fence    uint64
		Task     TaskName
		Run      uint64
	}

	// LookOrder asks for all runs, takes note of ends, and renews the lease unless that is zero.
	LookOrder struct {
		Lifetime Lifetime
		Fence    uint64
		// Seen is the number of the last end that was taken note of.
		Seen  uint64
		Lease ExecutorTime
		// Wait is how long the answer may wait for an end.
		Wait time.Duration
		// Sent is when the sidecar sent it.
		Sent time.Time
	}

	// RunningRun is a run that an executor lists.
	RunningRun struct {
		Task TaskName
		Run  uint64
	}

	// EndedRun is the end of a run that an executor lists until it is taken note of.
	EndedRun struct {
		Number uint64
		Task   TaskName
		Run    uint64
		How    EndKind
	}

	// OrderReply is what came back of an order. Without an answer, the order may be carried out, now or later.
	OrderReply struct {
		Answered bool
		// Unreachable is set if nothing listens at the executor's address, so that its process has ended.
		Unreachable bool
		Refusal     Refusal
		// Clock and Born are zero if the answer does not have them.
		Clock   ExecutorTime
		Born    int64
		Running []RunningRun
		Ended   []EndedRun
		// Unreadable counts rows that name no run.
		Unreadable int
	}
)

func (StartOrder) isOrder() {}
func (StopOrder) isOrder()  {}
func (LookOrder) isOrder()  {}

// String returns the name that logs use.
func (end EndKind) String() string {
	switch end {
	case EndDone:
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

// String returns the name that logs use.
func (ref Refusal) String() string {
	switch ref {
	case RefusalNone:
		return "none"
	case RefusalFenced:
		return "fenced"
	case RefusalOldRun:
		return "oldRun"
	case RefusalLate:
		return "late"
	case RefusalRoom:
		return "room"
	case RefusalUnhealthy:
		return "unhealthy"
	case RefusalInvalid:
		return "invalid"
	case RefusalLifetime:
		return "lifetime"
	default:
		return "unknown"
	}
}
