// Package rgadmission decides whether an entry admits a job and whether it may retry a batch.
package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// BatchesPerRetry is the number of first attempts that allow one retry. It is an integer because ten times 0.1 adds
	// up to less than 1, which would lose a retry.
	BatchesPerRetry = 10
	// RetryReserve is the number of retries that are allowed without any first attempt.
	RetryReserve = 10
	// MinRetryAfter is the report interval of a busy sidecar. Until the next report, an entry knows no more than at the
	// refusal.
	MinRetryAfter = 200 * time.Millisecond
	// MinDemandShare is the fraction of an equal share of the bucket that an entry may spend whatever its demand.
	MinDemandShare = 0.2
	// DemandTimeConstant is the time constant of the moving average of the demand.
	DemandTimeConstant = 2 * time.Second
	// UsageInterval is how often an entry sends its usage to the other entries.
	UsageInterval = time.Second
	// UsageTTL is how long the last usage message of another entry is valid.
	UsageTTL = 5 * time.Second
	// MaxUsageBytesPerSecond bounds the usage messages of an entry to all others. It is half of the 8 KB/s that a process may
	// spend on control traffic.
	MaxUsageBytesPerSecond = 4096
	// teamUsageBytes is the size of one TeamUsage in a message.
	teamUsageBytes = 60
)

func (EqualShare) isSharePolicy()  {}
func (PooledShare) isSharePolicy() {}

type (
	// Bucket is an entry's copy of the token bucket of a team.
	Bucket struct {
		// Tokens is the number of tokens in the bucket as far as this entry knows. It is negative after several entries
		// have spent the same tokens, until the sustained rate has made up for them.
		Tokens     float64
		RefilledAt time.Time
		// Used counts the tasks that this entry has admitted. SentUsed is the value of Used last sent to the other entries.
		Used     uint64
		SentUsed uint64
		// IntervalStart is the start of the current interval, IntervalTokens the tokens then, and IntervalSpent what this entry has
		// admitted since.
		IntervalStart  time.Time
		IntervalTokens float64
		IntervalSpent  float64
		// DemandRate is the moving average of the tasks per second submitted to this entry, as of RefilledAt.
		DemandRate float64
	}

	// TeamUsage is the usage of a team's quota at one entry, as it is sent to the other entries.
	TeamUsage struct {
		Team string `json:"team"`
		// Used counts all tasks admitted since the start of the entry, so a lost message does no harm.
		Used uint64 `json:"used"`
		// Demand is in tasks per second and includes refused tasks.
		Demand float64 `json:"demand"`
	}

	// PeerUsage is the last known usage at another entry.
	PeerUsage struct {
		ReceivedAt time.Time
		Teams      map[string]TeamUsage
	}

	// SharePolicy determines how the entries share a team's quota.
	SharePolicy interface{ isSharePolicy() }

	// EqualShare gives each entry of the ring a separate bucket with an equal share of the quota.
	EqualShare struct{}

	// PooledShare makes each entry keep a copy of the team's bucket, from which it subtracts the usage that the other
	// entries send. Within one UsageInterval an entry may spend only a fraction of the bucket that corresponds to its
	// share of the total demand, so that entries spend few tokens twice before they learn of each other's usage.
	// The equal share of an entry that has sent nothing for UsageTTL stays reserved for it.
	PooledShare struct{}

	// QuotaRequest is a request to spend the quota of a team on the tasks of a job.
	QuotaRequest struct {
		Team  rgmodel.TeamConfig
		Tasks int
		Ring  rgmodel.Ring
		Self  rgmodel.Entry
	}

	// State is the admission state of an entry. The zero value is empty and uses PooledShare.
	State struct {
		SharePolicy SharePolicy
		Buckets     map[string]*Bucket
		// Peers holds the usage at other entries by their incarnation.
		Peers map[string]PeerUsage
		// RetryBalance is zero when the reserve of retries is full, and -1 for each first attempt that is missing to fill it.
		RetryBalance int
	}

	// SidecarLoad is the load of a sidecar that can run the job, as far as the entry knows.
	SidecarLoad struct {
		Slots  int
		Report rgmodel.LoadReport
		// SentSinceReport counts, for each flow, the tasks that this entry has sent since the report.
		SentSinceReport []rgmodel.FlowLoad
	}

	// Refusal is the refusal of a job. The zero value means that the job is admitted.
	Refusal struct {
		Reason rgmodel.Reason
		Detail string
		// RetryAfter is how long the caller should wait before a retry, or zero.
		RetryAfter time.Duration
	}
)
