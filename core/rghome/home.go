// Package rghome makes the decisions of an entry as the home of submission ids: how to handle a submission, where to
// place its tasks, and what to do when the ring changes.
package rghome

import (
	"time"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

const (
	// HandoverTime is how long a draining entry parks new submissions before it refuses them, so that the other entries
	// can adopt a ring without it and the load balancer can send callers elsewhere. Without a store there is no such ring,
	// so parked submissions only wait.
	HandoverTime = 2 * time.Second
	// crossZoneRoundTrip is the assumed round-trip time to another availability zone.
	crossZoneRoundTrip = 3 * time.Millisecond
)

type (
	// State is the state on which an entry bases its decisions. The zero value is usable once Ring.Self is set.
	State struct {
		Ring        rgring.State
		Fleet       rgfleet.State
		Submissions rgsubmission.State
		Admission   rgadmission.State
		Teams       map[string]rgmodel.TeamConfig
		// Policy chooses sidecars; nil means rgplacement.EarliestFinish. LateBinding is not supported, because assignments
		// are taken for tasks and not for reservations. PowerOfChoices sends no probes: it uses the loads of the last
		// reports.
		Policy   rgplacement.Policy
		Draining bool
		// DrainBegan is the time at which Draining was set.
		DrainBegan time.Time
	}

	// Snapshot is the state that an entry sends to another one that does not know all sidecars.
	Snapshot struct {
		Ring rgmodel.Ring `json:"ring"`
		// AllSidecarsKnownSince is zero if this entry does not know all sidecars itself.
		AllSidecarsKnownSince uint64               `json:"since"`
		Unresponsive          []rgmodel.Entry      `json:"unaccounted"`
		Sidecars              []rgmodel.Sidecar    `json:"sidecars"`
		Departed              []rgmodel.Departure  `json:"departed"`
		RecordsLostBefore     time.Time            `json:"horizon"`
		Unconfirmed           []string             `json:"suspects"`
		Teams                 []rgmodel.TeamConfig `json:"teams"`
	}

	// Decision is how to handle a submission.
	Decision interface{ isDecision() }

	// Forward means that another entry is the home.
	Forward struct{ Home rgmodel.Entry }

	// Park means that the submission has to wait: for the takeover of its id, or for a ring without this draining entry.
	Park struct{}

	// Attach means that the job is running and that this submission gets the same answer.
	Attach struct{}

	// FinalAnswer means that the submission gets the answer at once.
	FinalAnswer struct {
		Answer     rgmodel.Answer
		RetryAfter time.Duration
		// AlreadyFinal is set if the answer was final before this submission.
		AlreadyFinal bool
	}

	// StartJob means that the job has been registered and the plan must be carried out. AlreadyFinal is set if its answer was
	// final before and only has to be collected again.
	StartJob struct {
		Plan         rgjob.Plan
		AlreadyFinal bool
	}
)

func (Forward) isDecision()     {}
func (Park) isDecision()        {}
func (Attach) isDecision()      {}
func (FinalAnswer) isDecision() {}
func (StartJob) isDecision()    {}
