// Package rgplacement distributes the tasks of a job over sidecars.
package rgplacement

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// DefaultChoices is the number of probes or reservations for each task where the policy gives no other value.
	DefaultChoices = 2
	// minCandidates is the size of the sample for small jobs. It holds several idle sidecars up to a high load, and
	// two entries that draw 64 of 5,600 sidecars share less than one on average.
	minCandidates = 64
)

type (
	// Candidate is a sidecar that may get tasks.
	Candidate struct {
		Sidecar rgmodel.SidecarKey
		Slots   int
		// Load is the number of tasks queued or running there, as far as known.
		Load int
		// RunningTime is the remaining service time of the running tasks, and QueuedTime the service time of the queued
		// tasks.
		RunningTime, QueuedTime time.Duration
		// OwnTime is the part of RunningTime and QueuedTime that belongs to the flow of the job.
		OwnTime time.Duration
		// FairShare is the flow's fair share of the slots while the flows that now have queued tasks keep having some.
		// Zero counts as 1.
		FairShare   float64
		ServiceTime time.Duration
		// RoundTrip is the network round-trip time to the sidecar.
		RoundTrip time.Duration
		// Weight is between 0 and 1; a sidecar that returns after an ejection has less than 1. Zero counts as 1.
		Weight float64
	}

	// JobInfo is what NewCandidate must know of a job and of the entries that place work.
	JobInfo struct {
		Flow rgmodel.Flow
		// DeclaredRunTime is the run time that the caller has declared, or zero.
		DeclaredRunTime time.Duration
		// Senders is the number of entries that place work by the same reports: each knows only its own messages
		// since the report, and assumes that the others have sent as much.
		Senders int
		// Teams gives the weights of the flows.
		Teams map[string]rgmodel.TeamConfig
	}

	// Assignment is the number of tasks, or of reservations, that one candidate gets.
	Assignment struct {
		Sidecar rgmodel.SidecarKey
		Tasks   int
	}

	// Placement is the plan for a job. It costs one message for each assignment and two for each probe.
	Placement struct {
		Assignments []Assignment
		Probes      int
		// Reservations says that the assignments reserve places for which the sidecars ask for tasks later.
		Reservations bool
	}

	// Policy is a way to choose among candidates.
	Policy interface{ isPolicy() }

	// Random gives each task to a candidate drawn at random.
	Random struct{}

	// PowerOfChoices probes Choices candidates for each task and gives the tasks to those of them with the least
	// expected finish time (batch sampling of Ousterhout et al.: "Sparrow: Distributed, Low Latency Scheduling",
	// SOSP 2013). The loads of the candidates must be those that a probe finds.
	PowerOfChoices struct{ Choices int }

	// EarliestFinish makes the expected finish time of the whole job as short as possible and then uses as few
	// candidates as it can. The loads of the candidates may be those of the last reports.
	EarliestFinish struct{}

	// LateBinding reserves Choices places for each task at random. A sidecar asks for a task when a reservation
	// reaches a free slot, and the reservations left when all tasks are bound are void (Sparrow, as above).
	LateBinding struct{ Choices int }
)

func (Random) isPolicy()         {}
func (PowerOfChoices) isPolicy() {}
func (EarliestFinish) isPolicy() {}
func (LateBinding) isPolicy()    {}
