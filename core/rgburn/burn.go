// Package rgburn measures how fast each flow uses up the error budget of its service-level objective.
//
// The burn rate is the fraction of bad jobs divided by the fraction that the objective allows, over a short and a long
// window (Beyer et al.: "The Site Reliability Workbook", chapter 5).
package rgburn

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// ShortWindow shows what happens now.
	ShortWindow = 5 * time.Minute
	// LongWindow is the time for which the error budget is granted.
	LongWindow = time.Hour
	// SlotTime is the resolution of the windows. A window that ends within a slot is shorter by up to one slot.
	SlotTime = 30 * time.Second
	// MaxFlows bounds the memory to about 8 MB, because callers choose the names of flows. Jobs of further flows are
	// counted together under Overflow.
	MaxFlows = 2048
	// DefaultObjective applies to kinds without an objective of their own.
	DefaultObjective = 0.99
	// MaxObjective caps objectives, because the burn rate of an objective of 1 is infinite.
	MaxObjective = 0.9999

	slotCount  = int(LongWindow / SlotTime)
	shortSlots = int64(ShortWindow / SlotTime)
)

const (
	// Good jobs were answered completely within the time that their caller waits.
	Good Class = iota
	// Late jobs were answered after that time, or dropped because their deadline had passed.
	Late
	// Refused jobs were not run.
	Refused
	// Failed jobs have a task that ran and failed.
	Failed
	// MayHaveRun jobs have a task whose fate is not known.
	MayHaveRun
	// Uncounted jobs say nothing about the service: the caller cancelled them or asked for what cannot be done.
	Uncounted
)

type (
	// Class is what a job means for the error budget.
	Class uint8

	// Counts are numbers of jobs by class.
	Counts struct {
		Good       uint32 `json:"good"`
		Late       uint32 `json:"late"`
		Refused    uint32 `json:"refused"`
		Failed     uint32 `json:"failed"`
		MayHaveRun uint32 `json:"mayHaveRun"`
	}

	// Slot holds the jobs that ended in one SlotTime; Number counts the slots since the Unix epoch.
	Slot struct {
		Number int64
		Counts Counts
	}

	// Flow is a ring buffer of the slots of the long window, indexed by slot number modulo its length.
	Flow struct {
		Slots  [slotCount]Slot
		Newest int64
	}

	// State is the counts of all flows; the zero value is empty.
	State struct {
		Flows map[rgmodel.Flow]*Flow
	}

	// Window sums up one window. BurnRate is 1 when bad jobs use up the budget exactly as fast as it is granted.
	Window struct {
		Counts   Counts  `json:"counts"`
		BurnRate float64 `json:"burnRate"`
	}

	// Step is a part of the long window, of the length of the short one. End is the end of its last slot.
	Step struct {
		End      time.Time `json:"end"`
		Counts   Counts    `json:"counts"`
		BurnRate float64   `json:"burnRate"`
	}

	// FlowReport is the state of one flow's error budget. BudgetLeft is the unused fraction of the budget that the
	// jobs of the long window were granted, and is negative when it is overdrawn.
	FlowReport struct {
		Flow       rgmodel.Flow `json:"flow"`
		Objective  float64      `json:"objective"`
		Short      Window       `json:"short"`
		Long       Window       `json:"long"`
		BudgetLeft float64      `json:"budgetLeft"`
		// Steps covers the long window, oldest first.
		Steps []Step `json:"steps"`
	}
)

// Overflow is the flow of the jobs that do not fit in MaxFlows. The space keeps its name apart from those of teams.
var Overflow = rgmodel.Flow{Team: "all other", Kind: "all other"}
