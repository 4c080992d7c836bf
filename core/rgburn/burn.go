// Package rgburn computes how fast each flow consumes the error budget of its service-level objective.
//
// The burn rate is the fraction of bad jobs divided by the fraction that the objective allows, over a short and a long
// window (Beyer et al.: "The Site Reliability Workbook", chapter 5).
package rgburn

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// ShortWindow is the window for the current burn rate.
	ShortWindow = 5 * time.Minute
	// LongWindow is the period of the error budget.
	LongWindow = time.Hour
	// BucketTime is the resolution of the windows. A window that ends within a bucket is up to one bucket shorter than stated.
	BucketTime = 30 * time.Second
	// MaxFlows bounds the memory to about 8 MB, because callers choose the names of flows. Jobs of all further flows are
	// counted under Overflow.
	MaxFlows = 2048
	// DefaultObjective applies to kinds that set no objective.
	DefaultObjective = 0.99
	// MaxObjective caps objectives, because the burn rate of an objective of 1 is infinite.
	MaxObjective = 0.9999

	bucketCount  = int(LongWindow / BucketTime)
	shortBuckets = int64(ShortWindow / BucketTime)
)

const (
	// Good jobs were answered completely within the caller's wait.
	Good Class = iota
	// Late jobs were answered after the caller's wait, or not run because their deadline had passed.
	Late
	// Refused jobs were not run.
	Refused
	// Failed jobs have a task that ran and failed.
	Failed
	// MayHaveRun jobs have a task that may or may not have run.
	MayHaveRun
	// Excluded jobs do not count towards the objective: the caller cancelled them or made a request that cannot be
	// served.
	Excluded
)

type (
	// Class is the effect of a job on the error budget.
	Class uint8

	// Counts are numbers of jobs by class.
	Counts struct {
		Good       uint32 `json:"good"`
		Late       uint32 `json:"late"`
		Refused    uint32 `json:"refused"`
		Failed     uint32 `json:"failed"`
		MayHaveRun uint32 `json:"mayHaveRun"`
	}

	// Bucket holds the jobs that ended in one BucketTime; Number counts the buckets since the Unix epoch.
	Bucket struct {
		Number int64
		Counts Counts
	}

	// FlowHistory is a ring buffer of the buckets of the long window, indexed by bucket number modulo its length.
	FlowHistory struct {
		Buckets [bucketCount]Bucket
		Newest  int64
	}

	// State holds the counts of all flows; the zero value is empty.
	State struct {
		Flows map[rgmodel.Flow]*FlowHistory
	}

	// Window holds the totals of one window. BurnRate is 1 if bad jobs consume the budget exactly as fast as it
	// is granted.
	Window struct {
		Counts   Counts  `json:"counts"`
		BurnRate float64 `json:"burnRate"`
	}

	// Interval is a part of the long window that is as long as the short window. End is the end of its last bucket.
	Interval struct {
		End      time.Time `json:"end"`
		Counts   Counts    `json:"counts"`
		BurnRate float64   `json:"burnRate"`
	}

	// FlowReport is the state of one flow's error budget. BudgetLeft is the remaining fraction of the budget for the jobs
	// of the long window, and is negative if they have exceeded it.
	FlowReport struct {
		Flow       rgmodel.Flow `json:"flow"`
		Objective  float64      `json:"objective"`
		Short      Window       `json:"short"`
		Long       Window       `json:"long"`
		BudgetLeft float64      `json:"budgetLeft"`
		// Intervals cover the long window, oldest first.
		Intervals []Interval `json:"steps"`
	}
)

// Overflow is the flow of the jobs whose own flow would exceed MaxFlows. The space in its name prevents collisions with the
// names of teams.
var Overflow = rgmodel.Flow{Team: "all other", Kind: "all other"}
