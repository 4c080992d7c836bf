package rgsidecar

import (
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

type (
	// Event is a message from another goroutine to the control goroutine.
	Event interface{ isEvent() }

	// BatchArrived carries a batch from an entry.
	BatchArrived struct {
		Batch rgmodel.Batch
		Reply chan<- rgwire.BatchReply
		// Arrived is set when the batch is handled first, and kept while it is parked.
		Arrived time.Time
	}

	// CollectArrived requests the outcomes of recorded tasks.
	CollectArrived struct {
		ID      rgmodel.SubmissionID
		Indexes []int
		Reply   chan<- rgwire.BatchReply
	}

	// SealArrived carries a seal from an entry.
	SealArrived struct {
		Seal  rgwire.Seal
		Reply chan<- rgwire.SealReply
	}

	// CancelArrived carries the submissions that an entry cancels.
	CancelArrived struct{ IDs []rgmodel.SubmissionID }

	// ConfigureReceived carries a ring and configurations, which may be older than those known.
	ConfigureReceived struct {
		Ring  rgmodel.Ring
		Teams []rgmodel.TeamConfig
	}

	// Connected is sent when an entry has replied to the announcement sent at Sent.
	Connected struct {
		Entry rgmodel.Entry
		Peer  *rgwire.Peer
		Sent  time.Time
	}

	// Disconnected is sent when the connection to an entry is lost or could not be established.
	Disconnected struct{ Entry rgmodel.Entry }

	// Bootstrapped is sent after a round of requests to the configured addresses. Err is set if none returned a ring and at
	// least one failed.
	Bootstrapped struct{ Err error }

	// Contacted is sent when an entry has replied to a message sent at Sent.
	Contacted struct {
		Entry rgmodel.Entry
		Sent  time.Time
	}

	// TaskFinished carries the outcome of a started task.
	TaskFinished struct {
		Task    rgqueue.StartedTask
		Outcome rgmodel.Outcome
		Took    time.Duration
	}

	// DrainRequested starts the drain of a graceful shutdown.
	DrainRequested struct{}
)

func (BatchArrived) isEvent()      {}
func (CollectArrived) isEvent()    {}
func (SealArrived) isEvent()       {}
func (CancelArrived) isEvent()     {}
func (ConfigureReceived) isEvent() {}
func (Connected) isEvent()         {}
func (Disconnected) isEvent()      {}
func (Bootstrapped) isEvent()      {}
func (Contacted) isEvent()         {}
func (TaskFinished) isEvent()      {}
func (DrainRequested) isEvent()    {}
