// Package rgjob tracks a job from its plan to its answer.
package rgjob

import (
	"slices"
	"strings"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgsubmission"
)

// MaxRetries is how often a task may be retried on another sidecar.
const MaxRetries = 2

type (
	// Part is a set of tasks of a job on one sidecar: sent as a Batch, or collected if Recorded is set.
	Part struct {
		Sidecar  rgmodel.SidecarKey
		Tasks    []rgmodel.Task
		Recorded bool
	}

	// Plan is the placement of the tasks of a job, with the outcomes that are already known.
	Plan struct {
		Parts         []Part
		KnownOutcomes []rgmodel.Outcome
	}

	// Tracker collects the outcomes of a job; use NewTracker to create one.
	Tracker struct {
		Outcomes []rgmodel.Outcome
		// Retries counts the retries of each task, by index.
		Retries []int
		Tried   map[rgmodel.SidecarKey]bool
		// ResultIndexes holds the indexes of the successful tasks, by the sidecar that has their results.
		ResultIndexes map[rgmodel.SidecarKey][]int
		// CannotSucceed is set once a task is certain not to run, because the job can then no longer succeed and its queued tasks
		// are not worth running.
		CannotSucceed bool
	}
)

// Answer returns the answer with the outcomes known so far.
func (trk *Tracker) Answer(id rgmodel.SubmissionID) rgmodel.Answer {
	return rgmodel.Answer{ID: id, Outcomes: trk.Outcomes}
}

// Locations returns the sidecars from which the results can be collected again, ordered by name.
func (trk *Tracker) Locations() []rgsubmission.TaskLocation {
	var locs []rgsubmission.TaskLocation
	for key, idxs := range trk.ResultIndexes {
		locs = append(locs, rgsubmission.TaskLocation{Sidecar: key, Indexes: idxs})
	}
	slices.SortFunc(locs, func(fst, snd rgsubmission.TaskLocation) int {
		return strings.Compare(fst.Sidecar.Name, snd.Sidecar.Name)
	})
	return locs
}
