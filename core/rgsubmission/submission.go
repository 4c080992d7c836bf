// Package rgsubmission holds an entry's table of the submissions of which it is the home.
package rgsubmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// DefaultMaxAnswerBytes bounds the answers that are kept for resubmissions; older ones are collected again.
const DefaultMaxAnswerBytes = 16 << 20

type (
	// TaskLocation is a sidecar and the indexes of the tasks that it has accepted.
	TaskLocation struct {
		Sidecar rgmodel.SidecarKey
		Indexes []int
	}

	// Submission is what a home remembers of one id.
	Submission struct {
		Digest  uint64
		Flow    rgmodel.Flow
		Started time.Time
		Expires time.Time
		// OwnID says that this entry has generated the id, so that nobody else can have seen it before the answer.
		OwnID bool
		Final bool
		// Complete is valid once Final is set.
		Complete bool
		// Answer is empty while the job runs, and after it has been dropped to save memory.
		Answer rgmodel.Answer
		// Locations holds the sidecars from which the answer can be collected again.
		Locations []TaskLocation
	}

	// State is the table; the zero value is empty.
	State struct {
		Submissions    map[rgmodel.SubmissionID]*Submission
		MaxAnswerBytes int
		AnswerBytes    int
		// Answered lists the ids whose answers are kept, oldest first.
		Answered []rgmodel.SubmissionID
	}

	// LookupResult is what the table knows of an id.
	LookupResult interface{ isStanding() }

	// Unknown means that the id is not in the table.
	Unknown struct{}

	// Conflict means that the id was used with another body.
	Conflict struct{}

	// Running means that the job has no final answer yet.
	Running struct{}

	// Answered carries the final answer.
	Answered struct{ Answer rgmodel.Answer }

	// Dropped means that the answer was final and must be collected again from the locations.
	Dropped struct{ Locations []TaskLocation }
)

func (Unknown) isStanding()  {}
func (Conflict) isStanding() {}
func (Running) isStanding()  {}
func (Answered) isStanding() {}
func (Dropped) isStanding()  {}
