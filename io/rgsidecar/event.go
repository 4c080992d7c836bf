package rgsidecar

import (
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

type (
	// event is what other goroutines tell the control goroutine.
	event interface{ isEvent() }

	batchArrived struct {
		batch rgmodel.Batch
		reply chan<- rgwire.BatchReply
		// arrived is set when the batch has to wait for contact with a new entry.
		arrived time.Time
	}

	collectArrived struct {
		id      rgmodel.SubmissionID
		indexes []int
		reply   chan<- rgwire.BatchReply
	}

	sealArrived struct {
		seal  rgwire.Seal
		reply chan<- rgwire.SealReply
	}

	cancelArrived struct{ ids []rgmodel.SubmissionID }

	configured struct {
		ring  rgmodel.Ring
		teams []rgmodel.TeamConfig
	}

	linked struct {
		entry rgmodel.Entry
		peer  *rgwire.Peer
		sent  time.Time
	}

	unlinked struct{ entry rgmodel.Entry }

	// bootstrapped says that all configured addresses were asked; err is set if none has answered with a ring.
	bootstrapped struct{ err error }

	// contacted says that an entry has answered a message that was sent at the time given.
	contacted struct {
		entry rgmodel.Entry
		sent  time.Time
	}

	finished struct {
		start   rgqueue.Start
		outcome rgmodel.Outcome
		took    time.Duration
	}

	drainAsked struct{}
)

func (batchArrived) isEvent()   {}
func (collectArrived) isEvent() {}
func (sealArrived) isEvent()    {}
func (cancelArrived) isEvent()  {}
func (configured) isEvent()     {}
func (linked) isEvent()         {}
func (unlinked) isEvent()       {}
func (bootstrapped) isEvent()   {}
func (contacted) isEvent()      {}
func (finished) isEvent()       {}
func (drainAsked) isEvent()     {}
