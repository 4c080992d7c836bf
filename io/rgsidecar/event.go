package rgsidecar

import (
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

type (
	// Event is what other goroutines tell the control goroutine.
	Event interface{ isEvent() }

	// BatchArrived is a batch from an entry.
	BatchArrived struct {
		Batch rgmodel.Batch
		Reply chan<- rgwire.BatchReply
		// arrived is set when the batch has to wait for contact with a new entry.
		Arrived time.Time
	}

	// CollectArrived asks for the outcomes of recorded tasks.
	CollectArrived struct {
		ID      rgmodel.SubmissionID
		Indexes []int
		Reply   chan<- rgwire.BatchReply
	}

	// SealArrived is a seal from an entry.
	SealArrived struct {
		Seal  rgwire.Seal
		Reply chan<- rgwire.SealReply
	}

	// CancelArrived is a wave of cancellations.
	CancelArrived struct{ IDs []rgmodel.SubmissionID }

	// Configured holds a ring and configurations, which may be older than those known.
	Configured struct {
		Ring  rgmodel.Ring
		Teams []rgmodel.TeamConfig
	}

	// Connected says that an entry has answered the announcement that was sent at the time given.
	Connected struct {
		Entry rgmodel.Entry
		Peer  *rgwire.Peer
		Sent  time.Time
	}

	// Disconnected says that the connection to an entry is lost or could not be made.
	Disconnected struct{ Entry rgmodel.Entry }

	// Bootstrapped says that all configured addresses were asked; err is set if none has answered with a ring.
	Bootstrapped struct{ Err error }

	// Contacted says that an entry has answered a message that was sent at the time given.
	Contacted struct {
		Entry rgmodel.Entry
		Sent  time.Time
	}

	// TaskFinished is the outcome of a started task.
	TaskFinished struct {
		Start   rgqueue.Start
		Outcome rgmodel.Outcome
		Elapsed time.Duration
	}

	// DrainRequested begins a planned stop.
	DrainRequested struct{}
)

func (BatchArrived) isEvent()   {}
func (CollectArrived) isEvent() {}
func (SealArrived) isEvent()    {}
func (CancelArrived) isEvent()  {}
func (Configured) isEvent()     {}
func (Connected) isEvent()      {}
func (Disconnected) isEvent()   {}
func (Bootstrapped) isEvent()   {}
func (Contacted) isEvent()      {}
func (TaskFinished) isEvent()   {}
func (DrainRequested) isEvent() {}
