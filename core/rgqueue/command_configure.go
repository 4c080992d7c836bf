package rgqueue

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// SetWeights sets the weights of all flows.
func SetWeights(sta *State, weights map[rgmodel.Flow]int) {
	sta.Weights = weights
	for key, flo := range sta.Flows {
		flo.Weight = max(1, weights[key])
	}
}

// AdoptRing takes in a newer ring and ignores an older one. It returns whether the ring has changed.
// Batches of older generations are refused from then on, and all batches until every entry that is new in the ring
// has been in contact.
func AdoptRing(sta *State, rng rgmodel.Ring) bool {
	if rng.Generation <= sta.Ring.Generation {
		return false
	}
	sta.Ring = rng
	sta.Fence = max(sta.Fence, rng.Generation)
	old := sta.Contacts
	sta.Contacts = make(map[string]time.Time, len(rng.Entries))
	for _, ent := range rng.Entries {
		if at, ok := old[ent.Incarnation]; ok {
			sta.Contacts[ent.Incarnation] = at
		}
	}
	return true
}

// RecordContact records that an entry has answered a message that was sent at the time given.
func RecordContact(sta *State, ent rgmodel.Entry, sent time.Time) {
	if sta.Contacts == nil {
		sta.Contacts = map[string]time.Time{}
	}
	sta.Contacts[ent.Incarnation] = later(sta.Contacts[ent.Incarnation], sent)
}
