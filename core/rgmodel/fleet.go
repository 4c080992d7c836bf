package rgmodel

import "time"

type (
	// Entry is one incarnation of an entry process.
	Entry struct {
		Name             string `json:"name"`
		Incarnation      string `json:"incarnation"`
		Address          string `json:"address"`
		AvailabilityZone string `json:"availabilityZone"`
	}

	// Ring is the set of entries that submission ids are distributed over.
	// A change of the set raises the generation by one.
	Ring struct {
		Generation uint64  `json:"generation"`
		Entries    []Entry `json:"entries"`
	}

	// Capacity is what a sidecar may use of its upstream.
	Capacity struct {
		Slots       int       `json:"slots"`
		Connections int       `json:"connections"`
		Resources   Resources `json:"resources"`
	}

	// Sidecar is one incarnation of a sidecar process.
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

	// KindTime is the service time of a kind of work that a sidecar has learned from successful tasks.
	KindTime struct {
		Kind string   `json:"kind"`
		Mean Duration `json:"mean"`
	}

	// Report is the load of a sidecar at one moment.
	Report struct {
		Sidecar     string     `json:"sidecar"`
		Incarnation string     `json:"incarnation"`
		Sequence    uint64     `json:"sequence"`
		Generation  uint64     `json:"generation"`
		Queued      int        `json:"queued"`
		Running     int        `json:"running"`
		Flows       []FlowLoad `json:"flows,omitempty"`
		Times       []KindTime `json:"times,omitempty"`
		Succeeded   uint64     `json:"succeeded"`
		Failed      uint64     `json:"failed"`
		Draining    bool       `json:"draining,omitempty"`
		// Isolated is set while the sidecar takes no batches for want of contact to an entry of its ring.
		Isolated bool `json:"isolated,omitempty"`
		// Config sums up the configurations in force at the sidecar.
		Config ConfigVersion `json:"config"`
	}

	// TaskState is how far a task has come at a sidecar.
	TaskState uint8

	// TaskRecord is what a sidecar remembers of one task.
	TaskRecord struct {
		State   TaskState `json:"state"`
		Outcome Outcome   `json:"outcome"`
	}

	// Record is what a sidecar remembers of one submission.
	Record struct {
		ID     SubmissionID `json:"submissionId"`
		Digest uint64       `json:"digest"`
		Tasks  []TaskRecord `json:"tasks"`
	}

	// SidecarKey names one incarnation of a sidecar.
	SidecarKey struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
	}

	// Departure is a sidecar that left or was lost within the resubmission window.
	Departure struct {
		Sidecar SidecarKey `json:"sidecar"`
		At      time.Time  `json:"at"`
	}
)

// IsolationLimit is how long a sidecar takes batches without contact to an entry of its ring. After that, another
// entry may have given it up and become the home of ids that an entry still connected here believes to own.
const IsolationLimit = 10 * time.Second

// CertainTime is how long after a read of the ring an entry may say for certain that a task was not run. A new home
// waits as long for entries that do not confirm its ring, before it starts anything.
const CertainTime = 3 * time.Second

const (
	// TaskQueued is the zero value: accepted and not yet started.
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
