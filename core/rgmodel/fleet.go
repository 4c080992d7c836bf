package rgmodel

import "time"

type (
	// Entry is one incarnation of an entry process, which accepts jobs and places their tasks on sidecars.
	Entry struct {
		Name             string `json:"name"`
		Incarnation      string `json:"incarnation"`
		Address          string `json:"address"`
		AvailabilityZone string `json:"availabilityZone"`
	}

	// Ring is the set of entries that submission ids are distributed over by rendezvous hashing; the order of the entries
	// has no meaning. A change of the set raises the generation by one.
	Ring struct {
		Generation uint64  `json:"generation"`
		Entries    []Entry `json:"entries"`
	}

	// Capacity is the share of its upstream that a sidecar may use.
	Capacity struct {
		Slots       int       `json:"slots"`
		Connections int       `json:"connections"`
		Resources   Resources `json:"resources"`
	}

	// Sidecar is one incarnation of a sidecar process, which queues tasks and runs them on its upstream.
	Sidecar struct {
		Name             string   `json:"name"`
		Incarnation      string   `json:"incarnation"`
		AvailabilityZone string   `json:"availabilityZone"`
		Rack             string   `json:"rack,omitempty"`
		Capacity         Capacity `json:"capacity"`
	}

	// FlowLoad is the part of a sidecar's load that belongs to one flow.
	FlowLoad struct {
		Flow    Flow `json:"flow"`
		Queued  int  `json:"queued"`
		Running int  `json:"running"`
	}

	// KindServiceTime is the mean service time of one kind of work, as a sidecar measured it on successful tasks.
	KindServiceTime struct {
		Kind string   `json:"kind"`
		Mean Duration `json:"mean"`
	}

	// LoadReport is a snapshot of the load of a sidecar. Sequence counts the reports of one incarnation. Generation is that
	// of the newest ring known to the sidecar. Succeeded and Failed count tasks since the process started; Failed leaves
	// out cancelled tasks and those that the upstream refused.
	LoadReport struct {
		Sidecar      string            `json:"sidecar"`
		Incarnation  string            `json:"incarnation"`
		Sequence     uint64            `json:"sequence"`
		Generation   uint64            `json:"generation"`
		Queued       int               `json:"queued"`
		Running      int               `json:"running"`
		Flows        []FlowLoad        `json:"flows,omitempty"`
		ServiceTimes []KindServiceTime `json:"times,omitempty"`
		Succeeded    uint64            `json:"succeeded"`
		Failed       uint64            `json:"failed"`
		Draining     bool              `json:"draining,omitempty"`
		// Isolated is set while the sidecar refuses batches because it has lost contact with an entry of its ring.
		Isolated bool `json:"isolated,omitempty"`
		// Config is the version of the configurations in force at the sidecar.
		Config ConfigVersion `json:"config"`
	}

	// TaskState is the state of a task at a sidecar.
	TaskState uint8

	// TaskRecord is the state of one task in a Record.
	TaskRecord struct {
		State   TaskState `json:"state"`
		Outcome Outcome   `json:"outcome"`
	}

	// Record is the state that a sidecar keeps of one submission. Digest is that of the Job.
	Record struct {
		ID     SubmissionID `json:"submissionId"`
		Digest uint64       `json:"digest"`
		Tasks  []TaskRecord `json:"tasks"`
	}

	// SidecarKey identifies one incarnation of a sidecar.
	SidecarKey struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
	}

	// Departure is a sidecar incarnation that was lost or replaced by another one. It is kept for RecordRetention.
	Departure struct {
		Sidecar SidecarKey `json:"sidecar"`
		At      time.Time  `json:"at"`
	}
)

// IsolationLimit is how long a sidecar accepts batches without contact with an entry of its ring. After that, another
// entry may have declared this sidecar lost and taken over ids whose previous home is still connected to it.
const IsolationLimit = 10 * time.Second

// RingLeaseTime is how long a read of the ring stays valid: for this time it entitles an entry to answer that a task was
// not run. The store grants no lease for it. A new home waits for the same time for entries that have not confirmed its
// ring, before it starts any task.
const RingLeaseTime = 3 * time.Second

// DefaultServiceTime is the assumed service time of a kind without a learned or declared one.
const DefaultServiceTime = 200 * time.Millisecond

const (
	// TaskQueued is the zero value: the task is accepted and not started.
	TaskQueued TaskState = iota
	// TaskRunning means that the request to the upstream may have been written.
	TaskRunning
	// TaskFinal means that the outcome will not change.
	TaskFinal
)

// Key returns the key of this incarnation.
func (sc Sidecar) Key() SidecarKey {
	return SidecarKey{Name: sc.Name, Incarnation: sc.Incarnation}
}
