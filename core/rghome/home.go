// Package rghome holds the decisions of an entry as the home of submission ids: what to do with a submission, where
// its tasks go, and what a change of the ring means for it.
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
	// HandoverTime is how long a stopping entry takes submissions, for the ring without it and for the balancer to
	// send callers elsewhere. Without a store there is no such ring.
	HandoverTime = 2 * time.Second
	// zoneDistance is the assumed round trip to another availability zone.
	zoneDistance = 3 * time.Millisecond
)

type (
	// State is all that an entry decides on. The zero value works once Ring.Self is set.
	State struct {
		Ring        rgring.State
		Fleet       rgfleet.State
		Submissions rgsubmission.State
		Admission   rgadmission.State
		Teams       map[string]rgmodel.TeamConfig
		// Policy chooses sidecars; nil means least expected finish time.
		Policy   rgplacement.Policy
		Draining bool
		// DrainBegan is set with Draining.
		DrainBegan time.Time
	}

	// Snapshot is the state that an entry sends to another one that has to learn the sidecars.
	Snapshot struct {
		Ring rgmodel.Ring `json:"ring"`
		// MemberSince is zero if this entry does not know all sidecars itself.
		MemberSince uint64               `json:"since"`
		Unaccounted []rgmodel.Entry      `json:"unaccounted"`
		Sidecars    []rgmodel.Sidecar    `json:"sidecars"`
		Departed    []rgmodel.Departure  `json:"departed"`
		Horizon     time.Time            `json:"horizon"`
		Unconfirmed []string             `json:"suspects"`
		Teams       []rgmodel.TeamConfig `json:"teams"`
	}

	// Decision is what to do with a submission.
	Decision interface{ isDecision() }

	// Forward means that another entry is the home.
	Forward struct{ Home rgmodel.Entry }

	// Park means that the submission has to wait until sidecars have answered a seal.
	Park struct{}

	// Attach means that the job is running, and that its answer is also the answer to this submission.
	Attach struct{}

	// FinalAnswer carries the final answer.
	FinalAnswer struct {
		Answer     rgmodel.Answer
		RetryAfter time.Duration
		// AlreadyFinal is set if the answer was final before this submission.
		AlreadyFinal bool
	}

	// Start means that the job has been registered and the plan must be carried out.
	// Again is set if its answer was final before and only has to be collected again.
	Start struct {
		Plan         rgjob.Plan
		AlreadyFinal bool
	}
)

func (Forward) isDecision()     {}
func (Park) isDecision()        {}
func (Attach) isDecision()      {}
func (FinalAnswer) isDecision() {}
func (Start) isDecision()       {}
