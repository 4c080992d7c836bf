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
		Parts []Part
		Known []rgmodel.Outcome
	}

	// Ledger is what has been gathered of a job so far; use Open to begin one.
	Ledger struct {
		Outcomes []rgmodel.Outcome
		Retries  []int
		Tried    map[rgmodel.SidecarKey]bool
		Places   map[rgmodel.SidecarKey][]int
		// Failed is set once a task will surely not run, so that the queued rest is of no use.
		Failed bool
	}
)

// Answer returns the answer as far as it is known.
func (led *Ledger) Answer(id rgmodel.SubmissionID) rgmodel.Answer {
	return rgmodel.Answer{ID: id, Outcomes: led.Outcomes}
}

// List returns where the results can be collected again.
func (led *Ledger) List() []rgsubmission.Place {
	var plcs []rgsubmission.Place
	for key, idxs := range led.Places {
		plcs = append(plcs, rgsubmission.Place{Sidecar: key, Indexes: idxs})
	}
	slices.SortFunc(plcs, func(fst, snd rgsubmission.Place) int { return strings.Compare(fst.Sidecar.Name, snd.Sidecar.Name) })
	return plcs
}
