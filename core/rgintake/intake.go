// Package rgintake decides which request bodies of a process get memory, which of them are ended, and which connections are kept.
package rgintake

import (
	"net/netip"
	"time"
)

const (
	// SmallBytes is the size up to which a body is small. Small bodies may use the whole budget, and a small job holds nothing
	// once it is decoded, so large bodies never keep an ordinary job out. A job of 32 tasks in as many steps has about 5 KB.
	SmallBytes = 16 << 10
	// FirstBytes is what a body reserves before its first bytes have arrived.
	FirstBytes = 4 << 10
	// largePercent is the share of the budget that large bodies may hold together, and clientPercent that of one client.
	largePercent, clientPercent = 75, 50
	// endedPercent bounds the bytes of evicted bodies whose handlers have not returned yet, as a share of the budget. They are held
	// beyond the budget.
	endedPercent = 25

	// StallTime is how long a body may send nothing. It equals the platform's time limit of an idle connection.
	StallTime = 15 * time.Second
	// MinRate is the least number of bytes a second that a body must have received on average after StallTime. A body of the platform's
	// largest size may take over eight minutes.
	MinRate = 512
	// pressureStall is how long a body may send nothing while another one needs its memory. A caller on a slow link sends a packet far
	// more often.
	pressureStall = time.Second
	// pressureRate is MinRate while another body needs the memory, after pressureGrace.
	pressureRate  = 8 << 10
	pressureGrace = 2 * time.Second
	// maxExpireGap is the longest time between two calls of Expire after which its limits apply.
	maxExpireGap = 5 * time.Second
)

// Causes of a refusal, for metrics and answers.
const (
	CauseBudget   Cause = "budget"
	CauseClient   Cause = "client"
	CauseEvicted  Cause = "evicted"
	CauseStalled  Cause = "stalled"
	CauseSlow     Cause = "slow"
	CauseOverhead Cause = "overhead"
)

type (
	// Cause is why a body was refused or ended. It is empty if it was not.
	Cause string

	// BodyID identifies a body within the process.
	BodyID uint64

	// Body is a body that is being read, or what was decoded from it.
	Body struct {
		Client netip.Addr
		// Held is the number of bytes of memory, and Received the number of bytes that have arrived.
		Held, Received int64
		Opened         time.Time
		LastRead       time.Time
		// Reading is set until the body is read whole.
		Reading bool
		// Ended is set once the body was evicted or ended by a limit.
		Ended Cause
	}

	// State is the state of all bodies of a process.
	State struct {
		Limits Limits
		Bodies map[BodyID]*Body
		LastID BodyID
		// Held is the memory of all bodies but the ended ones, Large that of the large ones, and HeldByEnded that of the ended ones.
		Held, Large, HeldByEnded int64
		// LargeOf is the part of Large by client.
		LargeOf map[netip.Addr]int64
		// LastExpired is when Expire was last called.
		LastExpired time.Time
		// Overhead limits the rate of chunk headers.
		Overhead Overhead
		// Refused counts the bodies that were refused or ended.
		Refused map[Cause]int64
	}

	// Verdict is the decision about a request for memory. The bodies in Evicted must be ended.
	Verdict struct {
		Refused Cause
		Evicted []BodyID
	}
)
