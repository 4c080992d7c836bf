// Package rgplacement distributes the tasks of a job over sidecars.
package rgplacement

import (
	"time"

	"ragwortgap/core/rgmodel"
)

type (
	// Candidate is a sidecar that may get tasks.
	Candidate struct {
		Sidecar rgmodel.SidecarKey
		Slots   int
		// Load is the number of tasks queued or running there, as far as known.
		Load        int
		ServiceTime time.Duration
		// Distance is the round trip to the sidecar.
		Distance time.Duration
		// Weight is between 0 and 1; a sidecar that returns after an ejection has less than 1. Zero counts as 1.
		Weight float64
	}

	// Share is the number of tasks that one candidate gets.
	Share struct {
		Sidecar rgmodel.SidecarKey
		Tasks   int
	}

	// Policy is a way to choose among candidates.
	Policy interface{ isPolicy() }

	// Random gives each task to a candidate drawn at random.
	Random struct{}

	// LeastFinish gives each task to the candidate with the least expected finish time.
	LeastFinish struct{}
)

func (Random) isPolicy()      {}
func (LeastFinish) isPolicy() {}
