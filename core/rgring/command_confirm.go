package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// ConfirmRing records that another entry has adopted the ring of the generation given.
func ConfirmRing(sta *State, incarnation string, generation uint64) {
	if generation < sta.Ring.Generation {
		return
	}
	delete(sta.Unconfirmed, incarnation)
	settle(sta)
}

// EntryEnded records that the process of another entry has ended, so that it can no longer claim ids.
func EntryEnded(sta *State, incarnation string) {
	delete(sta.Unconfirmed, incarnation)
	settle(sta)
}

// AddUnconfirmed adds entries whose confirmation another entry still waits for.
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

// ExpireUnconfirmed drops the entries whose ring lease has expired.
func ExpireUnconfirmed(sta *State, now time.Time) {
	for inc, until := range sta.Unconfirmed {
		if now.After(until) {
			delete(sta.Unconfirmed, inc)
		}
	}
	settle(sta)
}

// RenewLease renews the ring lease after a read of the ring from the store, sent at the time given, that returned the
// generation given.
func RenewLease(sta *State, generation uint64, sent time.Time) {
	if generation == sta.Ring.Generation {
		sta.LeaseUntil = sent.Add(rgmodel.RingLeaseTime)
	}
}
