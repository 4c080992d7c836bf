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

// AdoptRing replaces the ring by a newer one and reports whether the ring has changed. Older rings are ignored.
// Batches of older generations are refused from then on. All batches are refused until every entry that is new in the
// ring has been in contact.
func AdoptRing(sta *State, rng rgmodel.Ring) bool {
	if rng.Generation <= sta.Ring.Generation {
		return false
	}
	sta.Ring = rng
	sta.MinGeneration = max(sta.MinGeneration, rng.Generation)
	old := sta.Contacts
	sta.Contacts = make(map[string]time.Time, len(rng.Entries))
	for _, ent := range rng.Entries {
		if at, ok := old[ent.Incarnation]; ok {
			sta.Contacts[ent.Incarnation] = at
		}
	}
	return true
}

// RecordContact records that an entry has replied to a message that was sent at the given time.
func RecordContact(sta *State, ent rgmodel.Entry, sent time.Time) {
	if sta.Contacts == nil {
		sta.Contacts = map[string]time.Time{}
	}
	sta.Contacts[ent.Incarnation] = later(sta.Contacts[ent.Incarnation], sent)
}
