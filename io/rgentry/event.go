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
	// Event is what other goroutines tell the control goroutine.
	Event interface{ isEvent() }

	// Announced is a new connection of a sidecar.
	Announced struct {
		Sidecar rgmodel.Sidecar
		Peer    *rgwire.Peer
		Reply   chan<- rgwire.AnnounceReply
	}

	// Disconnected says that a connection of a sidecar is lost.
	Disconnected struct {
		Key  rgmodel.SidecarKey
		Peer *rgwire.Peer
	}

	// Reported is a load report of a sidecar.
	Reported struct {
		Report rgmodel.Report
		Reply  chan<- rgwire.ReportReply
	}

	// SealAnswered carries the records of a sidecar that was sealed over the connection named.
	SealAnswered struct {
		Key        rgmodel.SidecarKey
		Peer       *rgwire.Peer
		Generation uint64
		Records    []rgmodel.Record
	}

	// LeaveRequested says that a sidecar has drained and waits for the entry to have all its answers.
	LeaveRequested struct {
		Key   rgmodel.SidecarKey
		Reply chan<- struct{}
	}

	// Submitted asks what to do with a job. OwnID says that this entry has just generated its id.
	Submitted struct {
		Job   rgmodel.Job
		OwnID bool
		Reply chan<- Decision
		// arrived is set when the submission has to wait for sidecars to answer a seal.
		Arrived time.Time
	}

	// ReplanRequested asks for other sidecars for tasks that are known not to have run.
	ReplanRequested struct {
		Run   uint64
		Job   rgmodel.Job
		Tasks []rgmodel.Task
		Tried map[rgmodel.SidecarKey]bool
		Reply chan<- []rgjob.Part
	}

	// PartEnded says that no call for the part is outstanding any more.
	PartEnded struct{ Part rgjob.Part }

	// JobEnded carries the outcomes of a job when all are final.
	JobEnded struct {
		Run       uint64
		Answer    rgmodel.Answer
		Locations []rgsubmission.TaskLocation
	}

	// PeerRequested asks for the connection to a sidecar, now or when it is back.
	PeerRequested struct {
		Key   rgmodel.SidecarKey
		Reply chan<- PeerState
	}

	// RingRead is a ring from the store or from another entry.
	RingRead struct{ Ring rgmodel.Ring }

	// TeamsRead holds configurations from the store or from another entry.
	TeamsRead struct{ Teams []rgmodel.TeamConfig }

	// SnapshotsReceived is what other entries know, and which of those asked have neither answered nor ended.
	SnapshotsReceived struct {
		Snapshots   []rghome.Snapshot
		Unaccounted []rgmodel.Entry
		// generation is that of the ring for which entries were asked, or zero for a poll while the store is down.
		Generation uint64
	}

	// MembersRequested asks what this entry knows, after it has adopted the ring if that is newer.
	MembersRequested struct {
		Ring  rgmodel.Ring
		Reply chan<- rgwire.MembersReply
	}

	// Configured is a ring that another entry passes on.
	Configured struct {
		Ring  rgmodel.Ring
		Teams []rgmodel.TeamConfig
		Reply chan<- rgwire.ConfigureReply
	}

	// RingLeaseRenewed is the ring that the store returned to a read sent at the time given.
	RingLeaseRenewed struct {
		Ring rgmodel.Ring
		Sent time.Time
	}

	// RingConfirmed says that another entry has a ring of the generation given, or that its process has ended.
	RingConfirmed struct {
		Incarnation string
		Generation  uint64
		Ended       bool
	}

	// ConfigsRequested asks for the configurations in force at the sidecars.
	ConfigsRequested struct {
		Reply chan<- map[rgmodel.SidecarKey]rgmodel.ConfigVersion
	}

	// UsageReceived says what another entry has admitted of the teams' quotas.
	UsageReceived struct{ Usage rgwire.Usage }

	// StateRequested asks how far a submission is.
	StateRequested struct {
		ID    rgmodel.SubmissionID
		Reply chan<- rgwire.JobStateReply
	}

	// JobFailed says that a part of the job cannot be placed, so that the queued rest is of no use.
	JobFailed struct{ Run uint64 }

	// CancelRequested asks to cancel a running job.
	CancelRequested struct {
		ID    rgmodel.SubmissionID
		Reply chan<- rgwire.CancelJobReply
	}

	// DrainRequested begins a planned stop.
	DrainRequested struct{}
)

func (Announced) isEvent()         {}
func (Disconnected) isEvent()      {}
func (Reported) isEvent()          {}
func (SealAnswered) isEvent()      {}
func (LeaveRequested) isEvent()    {}
func (Submitted) isEvent()         {}
func (ReplanRequested) isEvent()   {}
func (PartEnded) isEvent()         {}
func (JobEnded) isEvent()          {}
func (PeerRequested) isEvent()     {}
func (RingRead) isEvent()          {}
func (TeamsRead) isEvent()         {}
func (SnapshotsReceived) isEvent() {}
func (Configured) isEvent()        {}
func (RingLeaseRenewed) isEvent()  {}
func (RingConfirmed) isEvent()     {}
func (MembersRequested) isEvent()  {}
func (ConfigsRequested) isEvent()  {}
func (UsageReceived) isEvent()     {}
func (StateRequested) isEvent()    {}
func (JobFailed) isEvent()         {}
func (CancelRequested) isEvent()   {}
func (DrainRequested) isEvent()    {}

type (
	// Run is a job in flight, as the control goroutine sees it.
	Run struct {
		ID    rgmodel.SubmissionID
		Flow  rgmodel.Flow
		Began time.Time
		// again is set when the job was counted before, and only its answer is collected again.
		AlreadyFinal bool
		Sidecars     map[rgmodel.SidecarKey]bool
		// stop ends the traffic goroutine of a job whose home has moved.
		Stop      context.CancelFunc
		Moved     bool
		Cancelled bool
	}

	// Decision answers a submission.
	Decision interface{ isDecision() }

	// Wait says that the answer will come on the channel. A closed channel means that the home has moved.
	Wait struct{ Answer <-chan rgmodel.Answer }

	// Forward says that another entry is the home.
	Forward struct{ Home rgmodel.Entry }

	// FinalAnswer carries the final answer.
	FinalAnswer struct {
		Answer     rgmodel.Answer
		RetryAfter time.Duration
	}

	// PeerState is what became of a sidecar whose connection was awaited.
	PeerState struct {
		Peer *rgwire.Peer
		Lost bool
	}
)

func (Wait) isDecision()        {}
func (Forward) isDecision()     {}
func (FinalAnswer) isDecision() {}
