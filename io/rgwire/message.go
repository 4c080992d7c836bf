// Package rgwire transports typed messages between ragwortgap processes as JSON-RPC 2.0 over TCP.
package rgwire

import (
	"encoding/json"

	"github.com/juju/errors"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
)

type (
	// Message is a request or a notification.
	Message interface{ isMessage() }

	// Announce introduces a sidecar to an entry at the start of each connection.
	Announce struct {
		Sidecar rgmodel.Sidecar `json:"sidecar"`
	}

	// AnnounceReply contains the state that the sidecar needs to start work.
	AnnounceReply struct {
		Entry rgmodel.Entry        `json:"entry"`
		Ring  rgmodel.Ring         `json:"ring"`
		Teams []rgmodel.TeamConfig `json:"teams"`
	}

	// Report tells an entry the load of a sidecar.
	Report struct {
		rgmodel.LoadReport
	}

	// ReportReply contains the ring if the sidecar has an older one.
	ReportReply struct {
		Ring rgmodel.Ring `json:"ring"`
	}

	// StartBatch asks a sidecar to run tasks. The reply is sent once all of their outcomes are final.
	StartBatch struct {
		rgmodel.Batch
	}

	// BatchReply is the reply to StartBatch and Collect. If Refused is set, the whole batch was refused without a record.
	BatchReply struct {
		Refused  rgmodel.Reason    `json:"refused,omitempty"`
		Outcomes []rgmodel.Outcome `json:"outcomes"`
	}

	// Collect asks a sidecar for the outcomes of recorded tasks. The reply is sent once all of them are final.
	Collect struct {
		ID      rgmodel.SubmissionID `json:"submissionId"`
		Indexes []int                `json:"indexes"`
	}

	// Seal makes a sidecar reject older generations of the ring and asks for its records. The home of a submission is the
	// entry that is responsible for its id.
	Seal struct {
		Ring rgmodel.Ring  `json:"ring"`
		Home rgmodel.Entry `json:"home"`
	}

	// SealReply contains the records of the submissions whose home is the entry that sent Seal.
	SealReply struct {
		Records []rgmodel.Record `json:"records"`
	}

	// CancelSubmissions asks a sidecar to remove queued tasks and to stop running ones.
	CancelSubmissions struct {
		IDs []rgmodel.SubmissionID `json:"submissionIds"`
	}

	// Configure contains a changed ring or changed team configurations. Entries reply to it; sidecars receive it as a
	// notification.
	Configure struct {
		Ring  rgmodel.Ring         `json:"ring"`
		Teams []rgmodel.TeamConfig `json:"teams,omitempty"`
	}

	// Leave tells an entry that a draining sidecar has finished. The reply is sent once the entry waits for no more
	// outcomes of the sidecar.
	Leave struct {
		Sidecar rgmodel.SidecarKey `json:"sidecar"`
	}

	// ConfigureReply contains the generation of the ring that the receiver now has.
	ConfigureReply struct {
		Generation uint64 `json:"generation"`
	}

	// Forward passes a job to the entry that is its home. Hops counts how often it was forwarded.
	Forward struct {
		Job  rgmodel.Job `json:"job"`
		Hops int         `json:"hops"`
	}

	// ForwardReply is the reply to Forward.
	ForwardReply struct {
		Answer     rgmodel.Answer   `json:"answer"`
		RetryAfter rgmodel.Duration `json:"retryAfter"`
	}

	// JobStateRequest asks the home of a submission for its progress.
	JobStateRequest struct {
		ID rgmodel.SubmissionID `json:"submissionId"`
	}

	// JobStateReply is the reply to JobStateRequest.
	JobStateReply struct {
		Found  bool           `json:"found"`
		Team   string         `json:"team,omitempty"`
		Final  bool           `json:"final"`
		Answer rgmodel.Answer `json:"answer"`
	}

	// CancelJob asks the home of a submission to cancel it.
	CancelJob struct {
		ID rgmodel.SubmissionID `json:"submissionId"`
	}

	// CancelJobReply is the reply to CancelJob.
	CancelJobReply struct {
		Found bool `json:"found"`
	}

	// TeamConfigsRequest asks an entry for its ring and for team configurations newer than the given revisions. An entry
	// sends it when it starts and while the store does not reply.
	TeamConfigsRequest struct {
		Revisions map[string]uint64 `json:"revisions"`
	}

	// TeamConfigsReply is the reply to TeamConfigsRequest.
	TeamConfigsReply struct {
		Ring  rgmodel.Ring         `json:"ring"`
		Teams []rgmodel.TeamConfig `json:"teams,omitempty"`
	}

	// QuotaUsage is a notification of how much of the teams' quotas an entry has admitted.
	QuotaUsage struct {
		Incarnation string                  `json:"incarnation"`
		Teams       []rgadmission.TeamUsage `json:"teams,omitempty"`
	}

	// SnapshotRequest asks an entry for its snapshot of the system. The entry first adopts the ring of the message if it is newer.
	SnapshotRequest struct {
		Ring rgmodel.Ring `json:"ring"`
	}

	// SnapshotReply is the reply to SnapshotRequest.
	SnapshotReply struct {
		rghome.Snapshot
	}
)

func (Announce) isMessage()           {}
func (Report) isMessage()             {}
func (StartBatch) isMessage()         {}
func (Collect) isMessage()            {}
func (Seal) isMessage()               {}
func (CancelSubmissions) isMessage()  {}
func (Configure) isMessage()          {}
func (Leave) isMessage()              {}
func (Forward) isMessage()            {}
func (JobStateRequest) isMessage()    {}
func (CancelJob) isMessage()          {}
func (TeamConfigsRequest) isMessage() {}
func (QuotaUsage) isMessage()         {}
func (SnapshotRequest) isMessage()    {}

func methodOf(msg Message) string {
	switch msg.(type) {
	case Announce:
		return "announce"
	case Report:
		return "report"
	case StartBatch:
		return "startBatch"
	case Collect:
		return "collect"
	case Seal:
		return "seal"
	case CancelSubmissions:
		return "cancel"
	case Configure:
		return "configure"
	case Leave:
		return "leave"
	case Forward:
		return "forward"
	case JobStateRequest:
		return "jobState"
	case CancelJob:
		return "cancelJob"
	case TeamConfigsRequest:
		return "configsSince"
	case QuotaUsage:
		return "usage"
	case SnapshotRequest:
		return "members"
	case SidecarHello:
		return "enlist"
	case EntryHello:
		return "meet"
	case EntryHeartbeat:
		return "pulse"
	case Gossip:
		return "gossip"
	case ConfigRequest:
		return "ask"
	case Place:
		return "place"
	case CancelTasks:
		return "recall"
	case SidecarUpdate:
		return "progress"
	default:
		return ""
	}
}

// Decode decodes the parameters of a request or a notification. It fails with errors.NotSupported if the method is unknown.
func Decode(method string, raw []byte) (Message, error) {
	switch method {
	case "announce":
		return decodeAs[Announce](raw)
	case "report":
		return decodeAs[Report](raw)
	case "startBatch":
		return decodeAs[StartBatch](raw)
	case "collect":
		return decodeAs[Collect](raw)
	case "seal":
		return decodeAs[Seal](raw)
	case "cancel":
		return decodeAs[CancelSubmissions](raw)
	case "configure":
		return decodeAs[Configure](raw)
	case "leave":
		return decodeAs[Leave](raw)
	case "forward":
		return decodeAs[Forward](raw)
	case "jobState":
		return decodeAs[JobStateRequest](raw)
	case "cancelJob":
		return decodeAs[CancelJob](raw)
	case "configsSince":
		return decodeAs[TeamConfigsRequest](raw)
	case "usage":
		return decodeAs[QuotaUsage](raw)
	case "members":
		return decodeAs[SnapshotRequest](raw)
	case "enlist":
		return decodeAs[SidecarHello](raw)
	case "meet":
		return decodeAs[EntryHello](raw)
	case "pulse":
		return decodeAs[EntryHeartbeat](raw)
	case "gossip":
		return decodeAs[Gossip](raw)
	case "ask":
		return decodeAs[ConfigRequest](raw)
	case "place":
		return decodeAs[Place](raw)
	case "recall":
		return decodeAs[CancelTasks](raw)
	case "progress":
		return decodeAs[SidecarUpdate](raw)
	default:
		return nil, errors.NotSupportedf("method %q", method)
	}
}

func decodeAs[Msg Message](raw []byte) (Message, error) {
	var msg Msg
	if err := json.Unmarshal(raw, &msg); err != nil {
		return nil, errors.Annotatef(err, "decode %T", msg)
	}
	return msg, nil
}
