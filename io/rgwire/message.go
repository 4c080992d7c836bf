// Package rgwire carries typed messages between ragwortgap's own processes, as JSON-RPC 2.0 over TCP.
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

	// Announce introduces a sidecar to an entry, at the start of each connection.
	Announce struct {
		Sidecar rgmodel.Sidecar `json:"sidecar"`
	}

	// AnnounceReply gives the sidecar what it needs to work.
	AnnounceReply struct {
		Entry rgmodel.Entry        `json:"entry"`
		Ring  rgmodel.Ring         `json:"ring"`
		Teams []rgmodel.TeamConfig `json:"teams"`
	}

	// Report tells an entry a sidecar's load.
	Report struct {
		rgmodel.Report
	}

	// ReportReply carries the ring if the sidecar's is older.
	ReportReply struct {
		Ring rgmodel.Ring `json:"ring"`
	}

	// StartBatch asks a sidecar to run tasks; it is answered once all of them are final.
	StartBatch struct {
		rgmodel.Batch
	}

	// BatchReply answers StartBatch and Collect. With a reason set, the whole batch was refused without a record.
	BatchReply struct {
		Refused  rgmodel.Reason    `json:"refused,omitempty"`
		Outcomes []rgmodel.Outcome `json:"outcomes"`
	}

	// Collect asks a sidecar for the outcomes of recorded tasks; it is answered once all of them are final.
	Collect struct {
		ID      rgmodel.SubmissionID `json:"submissionId"`
		Indexes []int                `json:"indexes"`
	}

	// Seal fences a sidecar against older generations of the ring and asks for its records.
	Seal struct {
		Ring rgmodel.Ring  `json:"ring"`
		Home rgmodel.Entry `json:"home"`
	}

	// SealReply holds the records of the submissions of which the sealing entry is the home.
	SealReply struct {
		Records []rgmodel.Record `json:"records"`
	}

	// Cancel asks a sidecar to remove queued tasks and to stop running ones.
	Cancel struct {
		IDs []rgmodel.SubmissionID `json:"submissionIds"`
	}

	// Configure carries a changed ring or changed team configurations; sidecars do not answer it.
	Configure struct {
		Ring  rgmodel.Ring         `json:"ring"`
		Teams []rgmodel.TeamConfig `json:"teams,omitempty"`
	}

	// Leave says that a draining sidecar has finished; it is answered once the entry has all its answers.
	Leave struct {
		Sidecar rgmodel.SidecarKey `json:"sidecar"`
	}

	// ConfigureReply names the generation of the ring that the receiver now has.
	ConfigureReply struct {
		Generation uint64 `json:"generation"`
	}

	// Forward passes a job to the entry that is its home.
	// Hops counts how often it has been passed on.
	Forward struct {
		Job  rgmodel.Job `json:"job"`
		Hops int         `json:"hops"`
	}

	// ForwardReply is the answer to Forward.
	ForwardReply struct {
		Answer     rgmodel.Answer   `json:"answer"`
		RetryAfter rgmodel.Duration `json:"retryAfter"`
	}

	// JobState asks the home of a submission how far it is.
	JobState struct {
		ID rgmodel.SubmissionID `json:"submissionId"`
	}

	// JobStateReply is the answer to JobState.
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

	// CancelJobReply is the answer to CancelJob.
	CancelJobReply struct {
		Found bool `json:"found"`
	}

	// ConfigsSince asks an entry for configurations of higher revisions than those given, while the store does not
	// answer the asker.
	ConfigsSince struct {
		Revisions map[string]uint64 `json:"revisions"`
	}

	// ConfigsReply is the answer to ConfigsSince.
	ConfigsReply struct {
		Ring  rgmodel.Ring         `json:"ring"`
		Teams []rgmodel.TeamConfig `json:"teams,omitempty"`
	}

	// Usage is a notification of what an entry has admitted of the teams' quotas.
	Usage struct {
		Incarnation string                  `json:"incarnation"`
		Teams       []rgadmission.TeamUsage `json:"teams,omitempty"`
	}

	// Members asks an entry for what it knows of the system, after it has adopted the ring if that is newer.
	Members struct {
		Ring rgmodel.Ring `json:"ring"`
	}

	// MembersReply is the answer to Members.
	MembersReply struct {
		rghome.Snapshot
	}
)

func (Announce) isMessage()     {}
func (Report) isMessage()       {}
func (StartBatch) isMessage()   {}
func (Collect) isMessage()      {}
func (Seal) isMessage()         {}
func (Cancel) isMessage()       {}
func (Configure) isMessage()    {}
func (Leave) isMessage()        {}
func (Forward) isMessage()      {}
func (JobState) isMessage()     {}
func (CancelJob) isMessage()    {}
func (ConfigsSince) isMessage() {}
func (Usage) isMessage()        {}
func (Members) isMessage()      {}

func method(msg Message) string {
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
	case Cancel:
		return "cancel"
	case Configure:
		return "configure"
	case Leave:
		return "leave"
	case Forward:
		return "forward"
	case JobState:
		return "jobState"
	case CancelJob:
		return "cancelJob"
	case ConfigsSince:
		return "configsSince"
	case Usage:
		return "usage"
	case Members:
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
	case Recall:
		return "recall"
	case SidecarUpdate:
		return "progress"
	default:
		return ""
	}
}

func decode(name string, raw []byte) (Message, error) {
	switch name {
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
		return decodeAs[Cancel](raw)
	case "configure":
		return decodeAs[Configure](raw)
	case "leave":
		return decodeAs[Leave](raw)
	case "forward":
		return decodeAs[Forward](raw)
	case "jobState":
		return decodeAs[JobState](raw)
	case "cancelJob":
		return decodeAs[CancelJob](raw)
	case "configsSince":
		return decodeAs[ConfigsSince](raw)
	case "usage":
		return decodeAs[Usage](raw)
	case "members":
		return decodeAs[Members](raw)
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
		return decodeAs[Recall](raw)
	case "progress":
		return decodeAs[SidecarUpdate](raw)
	default:
		return nil, errors.NotSupportedf("method %q", name)
	}
}

func decodeAs[Msg Message](raw []byte) (Message, error) {
	var msg Msg
	if err := json.Unmarshal(raw, &msg); err != nil {
		return nil, errors.Annotatef(err, "decode %T", msg)
	}
	return msg, nil
}
