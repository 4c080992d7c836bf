package rgmodel

import (
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 360
	// MaxDeadline is the longest deadline of a job. It does not exceed the default drain timeout, so a graceful shutdown
	// interrupts no job.
	MaxDeadline = 30 * time.Second
	// ClockSkewLimit is the assumed upper bound on the clock skew between callers and entries.
	ClockSkewLimit = 2 * time.Second
	// MaxResubmissionWindow is the longest time after its creation that an id may be submitted, whatever window a team sets.
	MaxResubmissionWindow = 10 * time.Minute
	// RecordRetention is how long submissions and records are kept. It does not depend on the window that a team sets,
	// because a window that is made longer later would admit ids whose records have been deleted.
	RecordRetention = MaxResubmissionWindow + 2*ClockSkewLimit
)

const (
	// UrgencyLow puts a task behind all other tasks of its flow.
	UrgencyLow Urgency = -1
	// UrgencyNormal is the zero value.
	UrgencyNormal Urgency = 0
	// UrgencyHigh puts a task before all other tasks of its flow.
	UrgencyHigh Urgency = 1
)

type (
	// SubmissionID is a UUIDv7 in its canonical text form.
	SubmissionID string

	// Urgency is the priority of a task within its flow. It has no effect on other flows.
	Urgency int8

	// Payload is a JSON value that is passed through unchanged.
	Payload []byte

	// Flow is the unit of fair queueing: one kind of work of one team.
	Flow struct {
		Team string `json:"team"`
		Kind string `json:"kind"`
	}

	// Resources are what a task requires of a worker, or what is available to an upstream on its worker.
	Resources struct {
		Cores        float64 `json:"cores,omitempty"`
		MemoryBytes  int64   `json:"memoryBytes,omitempty"`
		Accelerators int     `json:"accelerators,omitempty"`
	}

	// Task is one unit of work of a job.
	Task struct {
		Index   int     `json:"index"`
		Payload Payload `json:"payload,omitempty"`
	}

	// Job is a submission of 1 to MaxTasks tasks. Digest is a hash of the flow, the urgency and the payloads; the same id
	// with another digest is a conflict.
	Job struct {
		ID       SubmissionID `json:"submissionId"`
		Digest   uint64       `json:"digest"`
		Flow     Flow         `json:"flow"`
		Urgency  Urgency      `json:"urgency"`
		Deadline Duration     `json:"deadline"`
		RunTime  Duration     `json:"runTime"`
		Requires Resources    `json:"requires"`
		Tasks    []Task       `json:"tasks"`
	}

	// Outcome is the final result of one task.
	Outcome struct {
		Index   int     `json:"index"`
		Verdict Verdict `json:"verdict"`
		Reason  Reason  `json:"reason,omitempty"`
		Detail  string  `json:"detail,omitempty"`
		Result  Payload `json:"result,omitempty"`
	}

	// Answer is the final result of a job, with one outcome per task in the order of the tasks.
	Answer struct {
		ID       SubmissionID `json:"submissionId"`
		Outcomes []Outcome    `json:"outcomes"`
	}

	// Batch is the set of tasks of a job that an entry sends to one sidecar.
	Batch struct {
		ID         SubmissionID `json:"submissionId"`
		Digest     uint64       `json:"digest"`
		Generation uint64       `json:"generation"`
		Flow       Flow         `json:"flow"`
		Urgency    Urgency      `json:"urgency"`
		Remaining  Duration     `json:"remaining"`
		RunTime    Duration     `json:"runTime"`
		Tasks      []Task       `json:"tasks"`
	}
)

// MarshalJSON returns the raw value, or null if it is empty.
func (pl Payload) MarshalJSON() ([]byte, error) {
	if len(pl) == 0 {
		return []byte("null"), nil
	}
	return pl, nil
}

// UnmarshalJSON keeps a copy of the raw value.
func (pl *Payload) UnmarshalJSON(raw []byte) error {
	*pl = append((*pl)[:0], raw...)
	return nil
}

// Complete reports whether every task succeeded and has its result.
func (ans Answer) Complete() bool {
	for _, out := range ans.Outcomes {
		if out.Verdict != RanOK || out.Reason == ReasonResultDropped {
			return false
		}
	}
	return len(ans.Outcomes) > 0
}

// Fits reports whether a task that requires res can run with the available resources.
func (res Resources) Fits(available Resources) bool {
	return res.Cores <= available.Cores && res.MemoryBytes <= available.MemoryBytes && res.Accelerators <= available.Accelerators
}

// Created returns the creation time that the id encodes, in milliseconds.
// It fails with errors.NotValid when the id is not a canonical UUIDv7.
func (id SubmissionID) Created() (time.Time, error) {
	uid, err := uuid.Parse(string(id))
	if err != nil || uid.Version() != 7 || uid.String() != string(id) {
		return time.Time{}, errors.NotValidf("submission id %q (need a UUIDv7 in lower case)", string(id))
	}
	ms := int64(0)
	for _, octet := range uid[:6] {
		ms = ms<<8 | int64(octet)
	}
	return time.UnixMilli(ms), nil
}

// UniformAnswer returns an answer that gives every task of the job the same outcome.
func UniformAnswer(jb Job, vd Verdict, rsn Reason, detail string) Answer {
	ans := Answer{ID: jb.ID, Outcomes: make([]Outcome, len(jb.Tasks))}
	for i, tsk := range jb.Tasks {
		ans.Outcomes[i] = Outcome{Index: tsk.Index, Verdict: vd, Reason: rsn, Detail: detail}
	}
	return ans
}
