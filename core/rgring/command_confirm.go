package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Confirmed notes that another entry has adopted the ring of the generation given.
func Confirmed(sta *State, incarnation string, generation uint64) {
	if generation < sta.Ring.Generation {
		return
	}
	delete(sta.Unaware, incarnation)
	settle(sta)
}

// Ended notes that the process of another entry has ended, so that it no longer believes anything.
func Ended(sta *State, incarnation string) {
	delete(sta.Unaware, incarnation)
	settle(sta)
}

// Suspect adds entries that another entry still waits for.
func Suspect(sta *State, incarnations []string, now time.Time) {
	if sta.Unaware == nil {
		sta.Unaware = map[string]time.Time{}
	}
	for _, inc := range incarnations {
		if inc != sta.Self.Incarnation {
			sta.Unaware[inc] = now.Add(rgmodel.CertainTime)
		}
	}
}

// Elapse drops the entries that can no longer be certain.
func Elapse(sta *State, now time.Time) {
	for inc, until := range sta.Unaware {
		if now.After(until) {
			delete(sta.Unaware, inc)
		}
	}
	settle(sta)
}

// Checked notes that a read of the ring from the store, sent at the time given, returned the generation given.
func Checked(sta *State, generation uint64, sent time.Time) {
	if generation == sta.Ring.Generation {
		sta.CertainUntil = sent.Add(rgmodel.CertainTime)
	}
}
