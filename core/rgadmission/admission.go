// Package rgadmission decides whether an entry takes a job and whether it may try a batch again.
package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// BatchesPerRetry is the number of first batches that allow one retried batch. It is an integer because ten
	// times 0.1 adds up to less than 1, which would lose a retry.
	BatchesPerRetry = 10
	// RetryReserve is the number of retries that are allowed without any first batch.
	RetryReserve = 10
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
		// RetryCredit is zero when the reserve is full, and -1 for each first batch that is missing to fill it.
		RetryCredit int
	}

	// Refusal is a job's refusal; the zero value admits.
	Refusal struct {
		Reason rgmodel.Reason
		Detail string
		// RetryAfter is when the caller may try again, or zero.
		RetryAfter time.Duration
	}
)
