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
	// Event is a message from another goroutine to the control goroutine.
	Event interface{ isEvent() }

	// SidecarAnnounced is sent when a sidecar announces itself over a new connection.
	SidecarAnnounced struct {
		Sidecar rgmodel.Sidecar
		Peer    *rgwire.Peer
		Reply   chan<- rgwire.AnnounceReply
	}

	// SidecarDisconnected is sent when the connection to a sidecar is lost.
	SidecarDisconnected struct {
		Key  rgmodel.SidecarKey
		Peer *rgwire.Peer
	}

	// ReportReceived carries a load report of a sidecar.
	ReportReceived struct {
		Report rgmodel.LoadReport
		Reply  chan<- rgwire.ReportReply
	}

	// SealReplied carries the records that a sidecar returned to a seal over the connection Peer.
	SealReplied struct {
		Key        rgmodel.SidecarKey
		Peer       *rgwire.Peer
		Generation uint64
		Records    []rgmodel.Record
	}

	// LeaveRequested is sent when a sidecar has drained; the reply tells it that the entry has all its outcomes.
	LeaveRequested struct {
		Key   rgmodel.SidecarKey
		Reply chan<- struct{}
	}

	// Submitted requests a decision on a job. GeneratedHere is set if this entry has just generated the id.
	Submitted struct {
		Job           rgmodel.Job
		GeneratedHere bool
		Reply         chan<- SubmitReply
		// Arrived is set when the submission is first parked.
		Arrived time.Time
	}

	// ReplanRequested requests other sidecars for tasks that are known not to have run.
	ReplanRequested struct {
		RunID uint64
		Job   rgmodel.Job
		Tasks []rgmodel.Task
		Tried map[rgmodel.SidecarKey]bool
		Reply chan<- []rgjob.Part
	}

	// PartEnded is sent when no call for the part is outstanding any more.
	PartEnded struct{ Part rgjob.Part }

	// JobEnded carries the answer of a job once all outcomes are final.
	JobEnded struct {
		RunID     uint64
		Answer    rgmodel.Answer
		Locations []rgsubmission.TaskLocation
	}

	// SidecarConnRequested requests the connection to a sidecar; the reply may wait until the sidecar has reconnected.
	SidecarConnRequested struct {
		Key   rgmodel.SidecarKey
		Reply chan<- SidecarConnState
	}

	// RingReceived carries a ring from the store or from another entry.
	RingReceived struct{ Ring rgmodel.Ring }

	// TeamConfigsReceived carries configurations from the store or from another entry.
	TeamConfigsReceived struct{ Teams []rgmodel.TeamConfig }

	// SnapshotsReceived carries the snapshots of other entries, and the entries that have neither replied nor ended.
	SnapshotsReceived struct {
		Snapshots    []rghome.Snapshot
		Unresponsive []rgmodel.Entry
		// Generation is that of the ring for which the snapshots were requested, or zero for a poll while the store is down.
		Generation uint64
	}

	// SnapshotRequested requests the snapshot of this entry, taken after it has adopted the ring if that is newer.
	SnapshotRequested struct {
		Ring  rgmodel.Ring
		Reply chan<- rgwire.SnapshotReply
	}

	// ConfigureReceived carries a ring and configurations that another entry pushes.
	ConfigureReceived struct {
		Ring  rgmodel.Ring
		Teams []rgmodel.TeamConfig
		Reply chan<- rgwire.ConfigureReply
	}

	// RingLeaseRenewed carries the ring that the store returned to a read sent at Sent.
	RingLeaseRenewed struct {
		Ring rgmodel.Ring
		Sent time.Time
	}

	// RingConfirmed is sent when another entry has adopted a ring of the generation, or its process has ended.
	RingConfirmed struct {
		Incarnation string
		Generation  uint64
		Ended       bool
	}

	// SidecarConfigsRequested requests the versions of the configurations in force at the sidecars.
	SidecarConfigsRequested struct {
		Reply chan<- map[rgmodel.SidecarKey]rgmodel.ConfigVersion
	}

	// UsageReceived carries what another entry has admitted against the teams' quotas.
	UsageReceived struct{ Usage rgwire.QuotaUsage }

	// JobStateRequested requests the state of a submission.
	JobStateRequested struct {
		ID    rgmodel.SubmissionID
		Reply chan<- rgwire.JobStateReply
	}

	// JobCannotSucceed is sent when a task of the job will not run, so that its queued tasks can be cancelled.
	JobCannotSucceed struct{ RunID uint64 }

	// CancelRequested requests the cancellation of a running job.
	CancelRequested struct {
		ID    rgmodel.SubmissionID
		Reply chan<- rgwire.CancelJobReply
	}

	// DrainRequested starts the drain of a graceful shutdown.
	DrainRequested struct{}
)

func (SidecarAnnounced) isEvent()        {}
func (SidecarDisconnected) isEvent()     {}
func (ReportReceived) isEvent()          {}
func (SealReplied) isEvent()             {}
func (LeaveRequested) isEvent()          {}
func (Submitted) isEvent()               {}
func (ReplanRequested) isEvent()         {}
func (PartEnded) isEvent()               {}
func (JobEnded) isEvent()                {}
func (SidecarConnRequested) isEvent()    {}
func (RingReceived) isEvent()            {}
func (TeamConfigsReceived) isEvent()     {}
func (SnapshotsReceived) isEvent()       {}
func (ConfigureReceived) isEvent()       {}
func (RingLeaseRenewed) isEvent()        {}
func (RingConfirmed) isEvent()           {}
func (SnapshotRequested) isEvent()       {}
func (SidecarConfigsRequested) isEvent() {}
func (UsageReceived) isEvent()           {}
func (JobStateRequested) isEvent()       {}
func (JobCannotSucceed) isEvent()        {}
func (CancelRequested) isEvent()         {}
func (DrainRequested) isEvent()          {}

type (
	// JobRun is the control state of a job in flight.
	JobRun struct {
		ID    rgmodel.SubmissionID
		Flow  rgmodel.Flow
		Began time.Time
		// AlreadyFinal is set if the job was counted before and only its answer is collected again.
		AlreadyFinal bool
		Sidecars     map[rgmodel.SidecarKey]bool
		// Stop ends the traffic goroutine of the job once its home has moved.
		Stop      context.CancelFunc
		Moved     bool
		Cancelled bool
	}

	// SubmitReply is the reply to a submission.
	SubmitReply interface{ isSubmitReply() }

	// ReplyWait means that the answer will be sent on the channel. The channel is closed without an answer if the home has moved.
	ReplyWait struct{ Answer <-chan rgmodel.Answer }

	// ReplyForward means that another entry is the home.
	ReplyForward struct{ Home rgmodel.Entry }

	// ReplyFinal carries the final answer and, for a refusal, when to try again.
	ReplyFinal struct {
		Answer     rgmodel.Answer
		RetryAfter time.Duration
	}

	// SidecarConnState is the connection to a sidecar, or says that the sidecar is lost.
	SidecarConnState struct {
		Peer *rgwire.Peer
		Lost bool
	}
)

func (ReplyWait) isSubmitReply()    {}
func (ReplyForward) isSubmitReply() {}
func (ReplyFinal) isSubmitReply()   {}
