package rgentry

import (
	"context"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgsubmission"
	"ragwortgap/io/rgwire"
)

type (
	// event is what other goroutines tell the control goroutine.
	event interface{ isEvent() }

	announced struct {
		sidecar rgmodel.Sidecar
		peer    *rgwire.Peer
		reply   chan<- rgwire.AnnounceReply
	}

	disconnected struct {
		key  rgmodel.SidecarKey
		peer *rgwire.Peer
	}

	reported struct{ report rgmodel.Report }

	sealAnswered struct {
		key        rgmodel.SidecarKey
		peer       *rgwire.Peer
		generation uint64
		records    []rgmodel.Record
	}

	leaveAsked struct {
		key   rgmodel.SidecarKey
		reply chan<- struct{}
	}

	// submitted asks what to do with a job. Own says that this entry has just generated its id.
	submitted struct {
		job   rgmodel.Job
		own   bool
		reply chan<- decision
		// arrived is set when the submission has to wait for sidecars to answer a seal.
		arrived time.Time
	}

	// replanned asks for other sidecars for tasks that are known not to have run.
	replanned struct {
		run   uint64
		job   rgmodel.Job
		tasks []rgmodel.Task
		tried map[rgmodel.SidecarKey]bool
		reply chan<- []part
	}

	// partEnded says that no call for the part is outstanding any more.
	partEnded struct{ part part }

	jobEnded struct {
		run    uint64
		answer rgmodel.Answer
		places []rgsubmission.Place
	}

	peerAwaited struct {
		key   rgmodel.SidecarKey
		reply chan<- peerState
	}

	ringRead struct{ ring rgmodel.Ring }

	teamsRead struct{ teams []rgmodel.TeamConfig }

	membersLearned struct {
		members rgwire.MembersReply
		// alone says that a ring exists and no other member of it could be asked.
		alone bool
	}

	membersAsked struct{ reply chan<- rgwire.MembersReply }

	stateAsked struct {
		id    rgmodel.SubmissionID
		reply chan<- rgwire.JobStateReply
	}

	// jobFailed says that a part of the job cannot be placed, so that the queued rest is of no use.
	jobFailed struct{ run uint64 }

	cancelAsked struct {
		id    rgmodel.SubmissionID
		reply chan<- rgwire.CancelJobReply
	}

	drainAsked struct{}

	// entryConfirmed says that another entry has adopted the generation, and what it knows.
	entryConfirmed struct {
		entry      rgmodel.Entry
		generation uint64
		members    rgwire.MembersReply
	}

	// leaseHeld says that no other entry can take this one out of the ring before the time given. It comes after a
	// ringRead with the ring that was in the store while the lease was held.
	leaseHeld struct{ until time.Time }

	// leaseEnded is answered before the lease is given back.
	leaseEnded struct{ reply chan<- struct{} }
)

func (announced) isEvent()      {}
func (disconnected) isEvent()   {}
func (reported) isEvent()       {}
func (sealAnswered) isEvent()   {}
func (leaveAsked) isEvent()     {}
func (submitted) isEvent()      {}
func (replanned) isEvent()      {}
func (partEnded) isEvent()      {}
func (jobEnded) isEvent()       {}
func (peerAwaited) isEvent()    {}
func (ringRead) isEvent()       {}
func (teamsRead) isEvent()      {}
func (membersLearned) isEvent() {}
func (membersAsked) isEvent()   {}
func (stateAsked) isEvent()     {}
func (jobFailed) isEvent()      {}
func (cancelAsked) isEvent()    {}
func (drainAsked) isEvent()     {}
func (entryConfirmed) isEvent() {}
func (leaseHeld) isEvent()      {}
func (leaseEnded) isEvent()     {}

type (
	// run is a job in flight, as the control goroutine sees it.
	run struct {
		id   rgmodel.SubmissionID
		flow rgmodel.Flow
		// own says that this entry has generated the id.
		own      bool
		began    time.Time
		sidecars map[rgmodel.SidecarKey]bool
		// stop ends the traffic goroutine of a job whose home has moved.
		stop      context.CancelFunc
		moved     bool
		cancelled bool
	}

	// decision answers a submission.
	decision interface{ isDecision() }

	// wait says that the answer will come on the channel. A closed channel means that the home has moved.
	wait struct{ answer <-chan rgmodel.Answer }

	// forward says that another entry is the home.
	forward struct{ home rgmodel.Entry }

	// settled carries the final answer.
	settled struct {
		answer     rgmodel.Answer
		retryAfter time.Duration
	}

	// part is a set of tasks at one sidecar: to be started there, or recorded there and to be collected.
	part struct {
		sidecar  rgmodel.SidecarKey
		tasks    []rgmodel.Task
		recorded bool
	}

	// peerState is what became of a sidecar whose connection was awaited.
	peerState struct {
		peer *rgwire.Peer
		lost bool
	}
)

func (wait) isDecision()    {}
func (forward) isDecision() {}
func (settled) isDecision() {}
