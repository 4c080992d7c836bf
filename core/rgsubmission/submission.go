// Package rgsubmission holds the submissions that an entry is the home of.
package rgsubmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// DefaultMaxAnswerBytes bounds the size of the answers kept for resubmissions. Dropped answers are collected again from
// the sidecars.
const DefaultMaxAnswerBytes = 16 << 20

type (
	// TaskLocation names a sidecar and the indexes of the tasks whose outcomes can be collected from it.
	TaskLocation struct {
		Sidecar rgmodel.SidecarKey
		Indexes []int
	}

	// Submission is the state of one submission at its home.
	Submission struct {
		Digest  uint64
		Flow    rgmodel.Flow
		Started time.Time
		Expires time.Time
		// GeneratedHere is set if this entry has generated the id, so no other process can have seen it before the answer.
		GeneratedHere bool
		Final         bool
		// Complete is valid once Final is set.
		Complete bool
		// Answer is empty while the job is running and after it has been dropped to save memory.
		Answer rgmodel.Answer
		// Locations holds the sidecars from which the answer can be collected again.
		Locations []TaskLocation
	}

	// State is the table of submissions; the zero value is an empty table.
	State struct {
		Submissions    map[rgmodel.SubmissionID]*Submission
		MaxAnswerBytes int
		AnswerBytes    int
		// AnswerOrder lists the ids of complete answers in the order in which they became final. A listed answer may have been
		// forgotten since.
		AnswerOrder []rgmodel.SubmissionID
	}

	// LookupResult is the result of looking up an id.
	LookupResult interface{ isLookupResult() }

	// Unknown means that the id is not in the table.
	Unknown struct{}

	// Conflict means that the id was used with another body.
	Conflict struct{}

	// Running means that the job has no final answer yet.
	Running struct{}

	// Answered carries the final answer.
	Answered struct{ Answer rgmodel.Answer }

	// Dropped means that the answer is final but no longer kept, and must be collected again from the locations.
	Dropped struct{ Locations []TaskLocation }
)

func (Unknown) isLookupResult()  {}
func (Conflict) isLookupResult() {}
func (Running) isLookupResult()  {}
func (Answered) isLookupResult() {}
func (Dropped) isLookupResult()  {}
