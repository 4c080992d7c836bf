// Package rgplacement distributes the tasks of a job over sidecars.
package rgplacement

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// DefaultChoices is the number of probes or reservations per task if the policy does not specify one.
	DefaultChoices = 2
	// minCandidates is the sample size for small jobs. A sample contains several idle sidecars even at a high load, and
	// the samples that two entries draw from 5,600 sidecars have less than one sidecar in common on average.
	minCandidates = 64
)

type (
	// Candidate is a sidecar on which tasks of a job can be placed.
	Candidate struct {
		Sidecar rgmodel.SidecarKey
		Slots   int
		// Load is the number of tasks that are known to be queued or running on the sidecar.
		Load int
		// RunningTime is the remaining service time of the running tasks, and QueuedTime the service time of the queued
		// tasks.
		RunningTime, QueuedTime time.Duration
		// FlowTime is the part of RunningTime and QueuedTime that belongs to the flow of the job.
		FlowTime time.Duration
		// FairShare is the flow's fair share of the slots as long as the other flows with queued tasks stay backlogged.
		// Zero counts as 1.
		FairShare   float64
		ServiceTime time.Duration
		// RoundTrip is the network round-trip time to the sidecar.
		RoundTrip time.Duration
		// HealthWeight is between 0 and 1. It is below 1 for a sidecar that has returned after an ejection. Zero counts as 1.
		HealthWeight float64
	}

	// JobInfo describes a job and the entries for NewCandidate.
	JobInfo struct {
		Flow rgmodel.Flow
		// DeclaredRunTime is the run time declared by the caller, or zero.
		DeclaredRunTime time.Duration
		// Entries is the number of entries that place tasks based on the same reports. Each entry knows only the tasks
		// that it has sent since a report, and assumes that the other entries have sent as many.
		Entries int
		// Teams defines the weights of the flows.
		Teams map[string]rgmodel.TeamConfig
	}

	// Assignment is the number of tasks or reservations that a candidate gets.
	Assignment struct {
		Sidecar rgmodel.SidecarKey
		Tasks   int
	}

	// JobPlacement is the placement of a job. It costs one message per assignment and two per probe.
	JobPlacement struct {
		Assignments []Assignment
		Probes      int
		// Reservations is set if the assignments are reservations, for which the sidecars request tasks later.
		Reservations bool
	}

	// Policy determines how candidates are chosen.
	Policy interface{ isPolicy() }

	// Random assigns each task to a random candidate.
	Random struct{}

	// PowerOfChoices probes Choices candidates per task and assigns the tasks to the probed candidates with the earliest
	// expected finish (batch sampling of Ousterhout et al.: "Sparrow: Distributed, Low Latency Scheduling", SOSP 2013).
	// The loads of the candidates must be those that a probe would return.
	PowerOfChoices struct{ Choices int }

	// EarliestFinish minimizes the expected finish time of the whole job, and then the number of candidates. The loads of
	// the candidates may be those of the last reports.
	EarliestFinish struct{}

	// LateBinding sends Choices reservations per task to random candidates. A sidecar requests a task when a reservation
	// reaches a free slot. Reservations that are left when all tasks are bound are dropped (Sparrow, as above).
	LateBinding struct{ Choices int }
)

func (Random) isPolicy()         {}
func (PowerOfChoices) isPolicy() {}
func (EarliestFinish) isPolicy() {}
func (LateBinding) isPolicy()    {}
