package rgentry

import (
	"context"
	"time"

	"ragwortgap/core/rghome"
	"ragwortgap/core/rgjob"
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

	reported struct {
		report rgmodel.Report
		reply  chan<- rgwire.ReportReply
	}

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
		reply chan<- []rgjob.Part
	}

	// partEnded says that no call for the part is outstanding any more.
	partEnded struct{ part rgjob.Part }

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

	// learned is what other entries know, and which of those asked have neither answered nor ended.
	learned struct {
		known       []rghome.Knowledge
		unaccounted []rgmodel.Entry
		// generation is that of the ring for which entries were asked, or zero for a poll while the store is down.
		generation uint64
	}

	membersAsked struct {
		ring  rgmodel.Ring
		reply chan<- rgwire.MembersReply
	}

	// ringOffered is a ring that another entry passes on.
	ringOffered struct {
		ring  rgmodel.Ring
		teams []rgmodel.TeamConfig
		reply chan<- rgwire.ConfigureReply
	}

	// ringChecked is the ring that the store returned to a read sent at the time given.
	ringChecked struct {
		ring rgmodel.Ring
		sent time.Time
	}

	// confirmed says that another entry has a ring of the generation given, or that its process has ended.
	confirmed struct {
		incarnation string
		generation  uint64
		ended       bool
	}

	// configsAsked asks for the configurations in force at the sidecars.
	configsAsked struct {
		reply chan<- map[rgmodel.SidecarKey]rgmodel.ConfigVersion
	}

	// usageHeard says what another entry has admitted of the teams' quotas.
	usageHeard struct{ usage rgwire.Usage }

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
)

func (announced) isEvent()    {}
func (disconnected) isEvent() {}
func (reported) isEvent()     {}
func (sealAnswered) isEvent() {}
func (leaveAsked) isEvent()   {}
func (submitted) isEvent()    {}
func (replanned) isEvent()    {}
func (partEnded) isEvent()    {}
func (jobEnded) isEvent()     {}
func (peerAwaited) isEvent()  {}
func (ringRead) isEvent()     {}
func (teamsRead) isEvent()    {}
func (learned) isEvent()      {}
func (ringOffered) isEvent()  {}
func (ringChecked) isEvent()  {}
func (confirmed) isEvent()    {}
func (membersAsked) isEvent() {}
func (configsAsked) isEvent() {}
func (usageHeard) isEvent()   {}
func (stateAsked) isEvent()   {}
func (jobFailed) isEvent()    {}
func (cancelAsked) isEvent()  {}
func (drainAsked) isEvent()   {}

type (
	// run is a job in flight, as the control goroutine sees it.
	run struct {
		id    rgmodel.SubmissionID
		flow  rgmodel.Flow
		began time.Time
		// again is set when the job was counted before, and only its answer is collected again.
		again    bool
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

	// peerState is what became of a sidecar whose connection was awaited.
	peerState struct {
		peer *rgwire.Peer
		lost bool
	}
)

func (wait) isDecision()    {}
func (forward) isDecision() {}
func (settled) isDecision() {}
