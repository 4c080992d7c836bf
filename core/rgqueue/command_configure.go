package rgqueue

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Configure sets the weights of all flows.
func Configure(sta *State, weights map[rgmodel.Flow]int) {
	sta.Weights = weights
	for key, flo := range sta.Flows {
		flo.Weight = max(1, weights[key])
	}
}

// AdoptRing takes in a newer ring and ignores an older one. It returns whether the ring has changed.
// Batches of older generations are refused from then on. An entry that is new in the ring counts as in contact for
// IsolationLimit, because the entries of the old ring can name this sidecar to it.
func AdoptRing(sta *State, rng rgmodel.Ring, now time.Time) bool {
	if rng.Generation <= sta.Ring.Generation {
		return false
	}
	first := sta.Ring.Generation == 0
	sta.Ring = rng
	sta.Fence = max(sta.Fence, rng.Generation)
	old := sta.Contacts
	sta.Contacts = make(map[string]time.Time, len(rng.Entries))
	for _, ent := range rng.Entries {
		if at, ok := old[ent.Incarnation]; ok {
			sta.Contacts[ent.Incarnation] = at
		} else if !first {
			sta.Contacts[ent.Incarnation] = now
		}
	}
	return true
}

// Contact notes that an entry has answered a message that was sent at the time given.
func Contact(sta *State, ent rgmodel.Entry, sent time.Time) {
	if sta.Contacts == nil {
		sta.Contacts = map[string]time.Time{}
	}
	sta.Contacts[ent.Incarnation] = later(sta.Contacts[ent.Incarnation], sent)
}

// Lose notes that the address of an entry refuses connections, so that the process of the entry has ended.
func Lose(sta *State, ent rgmodel.Entry) {
	if sta.Gone == nil {
		sta.Gone = map[string]bool{}
	}
	sta.Gone[ent.Incarnation] = true
}
