package rgdispatch

import "time"

const (
	// FirstContactCheck is the silence from which on the connection of a waiting caller is probed. The kernel sends a keep-alive probe
	// only after a second without a segment, so requests that are answered sooner cost nothing.
	FirstContactCheck = time.Second
	// cancelMessageTime is how long the cancellation of a task takes to reach its executor. A stop that was lost is sent again after
	// 100 ms.
	cancelMessageTime = 150 * time.Millisecond
	// contactProbes is how often a silent connection is probed before the bound.
	contactProbes = 4
	// minProbeInterval is the shortest time between two probes, which is more than a round trip between a caller and an entry.
	minProbeInterval = 15 * time.Millisecond
	// minUnanswered is the number of probes without an answer before a connection counts as dead. A process that was suspended finds a
	// long silence in which it has sent none.
	minUnanswered = 2
)

type (
	// CallerContact is what the socket of a waiting caller shows.
	CallerContact struct {
		// Silence is the time since the last segment from the caller, also one that only acknowledges a probe.
		Silence time.Duration
		// Unanswered is the number of probes and retransmissions since then.
		Unanswered int
	}

	// ContactCheck is the decision on the connection of a waiting caller.
	ContactCheck struct {
		// Dead means that the caller may have sent its job again soon, so the tasks must be cancelled.
		Dead bool
		// Probe means that a probe is due now.
		Probe bool
		// Next is when to check again. It is zero if the connection is dead.
		Next time.Duration
	}
)

// DeadCallerBound returns the silence after which the connection of a caller is considered dead: the resend delay less the time that
// cancelled tasks need to end. It is zero, for no check, if the resend delay is not known. A resend delay that leaves no time for the
// probes gets the shortest bound that they permit, because a silence without a probe shows nothing.
func DeadCallerBound(resendDelay, taskStopTime time.Duration) time.Duration {
	if resendDelay <= 0 {
		return 0
	}
	return max(resendDelay-cancelMessageTime-taskStopTime, FirstContactCheck+contactProbes*minProbeInterval)
}

// CheckContact decides whether the connection of a waiting caller is dead, and otherwise when to probe and check it.
func CheckContact(con CallerContact, bound time.Duration) ContactCheck {
	switch {
	case con.Silence < FirstContactCheck:
		return ContactCheck{Next: FirstContactCheck - con.Silence}
	case con.Silence >= bound && con.Unanswered >= minUnanswered:
		return ContactCheck{Dead: true}
	default:
		interval := max((bound-FirstContactCheck)/contactProbes, minProbeInterval)
		if left := bound - con.Silence; left > 0 {
			interval = min(interval, left)
		} else {
			// Probes are overdue, because the process was suspended or slow.
			interval = minProbeInterval
		}
		return ContactCheck{Probe: true, Next: interval}
	}
}
