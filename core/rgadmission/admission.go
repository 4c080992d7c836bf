// Package rgadmission decides whether an entry takes a job and whether it may try a batch again.
package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// RetryRatio is the number of retried batches that one first batch allows.
	RetryRatio = 0.1
	// RetryReserve is the number of retries that are allowed without any first batch.
	RetryReserve = 10
	// DefaultServiceTime is assumed for a kind that is neither learned nor declared.
	DefaultServiceTime = 200 * time.Millisecond
	// MinRetryAfter is one report of a busy sidecar: before it, an entry knows no more than at the refusal.
	MinRetryAfter = 200 * time.Millisecond
)

type (
	// Bucket is a token bucket; the zero value is full at its first use.
	Bucket struct {
		Tokens float64
		Filled time.Time
	}

	// State is what an entry remembers for admission; the zero value is empty.
	State struct {
		Buckets map[string]*Bucket
		Retries float64
		Primed  bool
	}

	// Load is what an entry knows of one sidecar that may get work.
	Load struct {
		Slots  int
		Report rgmodel.Report
		// Sent counts the tasks of each flow that this entry has sent and that the report cannot include.
		Sent map[rgmodel.Flow]int
	}

	// Refusal is a job's refusal; the zero value admits.
	Refusal struct {
		Reason rgmodel.Reason
		Detail string
		// RetryAfter is when the caller may try again, or zero.
		RetryAfter time.Duration
	}
)
