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
	// DefaultServiceTime is assumed for a kind that is neither learned nor declared.
	DefaultServiceTime = 200 * time.Millisecond
	// MinRetryAfter is one report of a busy sidecar: before it, an entry knows no more than at the refusal.
	MinRetryAfter = 200 * time.Millisecond
	// MinDemandShare is the fraction of an equal part that an entry may spend without any demand.
	MinDemandShare = 0.2
	// DemandTimeConstant is the time constant of the moving average of the demand.
	DemandTimeConstant = 2 * time.Second
	// UsageInterval is how often an entry tells the others its usage.
	UsageInterval = time.Second
	// UsageTTL is how long the usage of another entry is relied on.
	UsageTTL = 5 * time.Second
	// MaxUsageBytesPerSecond bounds what an entry sends per second to all others, half of the 8 KB/s that a node may spend on control.
	MaxUsageBytesPerSecond = 4096
	// usageSize is the size of one TeamUsage in a message.
	usageSize = 60
)

func (EqualShare) isSharePolicy()  {}
func (PooledShare) isSharePolicy() {}

type (
	// Bucket is what an entry knows of a team's token bucket.
	Bucket struct {
		// Tokens is the content of the whole team's bucket as far as this entry knows. It is negative after entries have
		// spent the same tokens, until the sustained rate has paid for that.
		Tokens     float64
		RefilledAt time.Time
		// Used counts the tasks that this entry has admitted, and SentUsed how many of them the others know of.
		Used     uint64
		SentUsed uint64
		// IntervalStart is the start of the current interval, IntervalTokens the tokens then, and IntervalSpent what this entry has
		// admitted since.
		IntervalStart  time.Time
		IntervalTokens float64
		IntervalSpent  float64
		// Demand is the moving average of the tasks per second that were asked for at this entry, as of RefilledAt.
		Demand float64
	}

	// TeamUsage is what an entry tells the others of a team.
	TeamUsage struct {
		Team string `json:"team"`
		// Used counts the tasks admitted since the entry's start, so that a lost message does no harm.
		Used uint64 `json:"used"`
		// Demand is in tasks per second, admitted or not.
		Demand float64 `json:"demand"`
	}

	// PeerUsage is what another entry has told.
	PeerUsage struct {
		ReceivedAt time.Time
		Teams      map[string]TeamUsage
	}

	// SharePolicy says how the entries share a team's quota.
	SharePolicy interface{ isSharePolicy() }

	// EqualShare gives each entry of the ring a bucket of its own with the same part of the quota.
	EqualShare struct{}

	// PooledShare lets each entry keep a copy of the whole team's bucket, from which it takes the use of the others as
	// they tell it. Within one UsageInterval an entry may spend only the part of the bucket that its demand has in the
	// demand of all, so that entries that do not know of each other's latest use spend little twice.
	// The equal part of an entry that has told nothing for UsageTTL stays reserved for it.
	PooledShare struct{}

	// QuotaRequest asks for the quota of a team for the tasks of a job.
	QuotaRequest struct {
		Team  rgmodel.TeamConfig
		Tasks int
		Ring  rgmodel.Ring
		Self  rgmodel.Entry
	}

	// State is what an entry remembers for admission; the zero value is empty and uses PooledShare.
	State struct {
		SharePolicy SharePolicy
		Buckets     map[string]*Bucket
		// Peers holds the usage at other entries by their incarnation.
		Peers map[string]PeerUsage
		// RetryCredit is zero when the reserve is full, and -1 for each first batch that is missing to fill it.
		RetryCredit int
	}

	// SidecarLoad is what an entry knows of one sidecar that may get work.
	SidecarLoad struct {
		Slots  int
		Report rgmodel.Report
		// SentSinceReport counts the tasks of each flow that this entry has sent and that the report cannot include.
		SentSinceReport []rgmodel.FlowLoad
	}

	// Refusal is a job's refusal; the zero value admits.
	Refusal struct {
		Reason rgmodel.Reason
		Detail string
		// RetryAfter is when the caller may try again, or zero.
		RetryAfter time.Duration
	}
)
