package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// ConfirmRing records that another entry has adopted the ring of the given generation.
func ConfirmRing(sta *State, incarnation string, generation uint64) {
	if generation < sta.Ring.Generation {
		return
	}
	delete(sta.Unconfirmed, incarnation)
	completeTakeover(sta)
}

// RemoveEntry removes an unconfirmed entry whose process has ended and can no longer act as the home of ids.
func RemoveEntry(sta *State, incarnation string) {
	delete(sta.Unconfirmed, incarnation)
	completeTakeover(sta)
}

// AddUnconfirmed adds the incarnations that another entry lists as unconfirmed.
func AddUnconfirmed(sta *State, incarnations []string, now time.Time) {
	if sta.Unconfirmed == nil {
		sta.Unconfirmed = map[string]time.Time{}
	}
	for _, inc := range incarnations {
		if inc != sta.Self.Incarnation {
			sta.Unconfirmed[inc] = now.Add(rgmodel.RingLeaseTime)
		}
	}
}

// ExpireUnconfirmed removes the unconfirmed entries whose ring lease has expired.
func ExpireUnconfirmed(sta *State, now time.Time) {
	for inc, until := range sta.Unconfirmed {
		if now.After(until) {
			delete(sta.Unconfirmed, inc)
		}
	}
	completeTakeover(sta)
}

// RenewRingLease renews the ring lease after a read of the ring from the store that returned the given generation. The lease
// counts from the time when the read was sent.
func RenewRingLease(sta *State, generation uint64, sent time.Time) {
	if generation == sta.Ring.Generation {
		sta.RingLeaseUntil = sent.Add(rgmodel.RingLeaseTime)
	}
}
