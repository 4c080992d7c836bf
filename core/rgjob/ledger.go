// Package rgjob follows one job from its plan to its answer.
package rgjob

import (
	"slices"
	"strings"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgsubmission"
)

// MaxRetries is how often a task may be sent to another sidecar.
const MaxRetries = 2

type (
	// Part is a set of tasks at one sidecar: to be started there, or recorded there and to be collected.
	Part struct {
		Sidecar  rgmodel.SidecarKey
		Tasks    []rgmodel.Task
		Recorded bool
	}

	// Plan is where the tasks of a job go, and the outcomes that are known already.
	Plan struct {
		Parts         []Part
		KnownOutcomes []rgmodel.Outcome
	}

	// Tracker collects the outcomes of a job; use NewTracker to create one.
	Tracker struct {
		Outcomes      []rgmodel.Outcome
		Retries       []int
		Tried         map[rgmodel.SidecarKey]bool
		ResultIndexes map[rgmodel.SidecarKey][]int
		// Failed is set once a task will surely not run, so that the queued rest is of no use.
		Failed bool
	}
)

// Answer returns the answer as far as it is known.
func (trk *Tracker) Answer(id rgmodel.SubmissionID) rgmodel.Answer {
	return rgmodel.Answer{ID: id, Outcomes: trk.Outcomes}
}

// Locations returns where the results can be collected again.
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
