package rgqueue

import "ragwortgap/core/rgmodel"

// Configure sets the weights of all flows.
func Configure(sta *State, weights map[rgmodel.Flow]int) {
	sta.Weights = weights
	for key, flo := range sta.Flows {
		flo.Weight = max(1, weights[key])
	}
}

// AdoptRing takes in a newer ring and ignores an older one. It returns whether the ring has changed.
func AdoptRing(sta *State, rng rgmodel.Ring) bool {
	if rng.Generation <= sta.Ring.Generation {
		return false
	}
	sta.Ring = rng
	return true
}

// Announce notes that an entry has acknowledged the sidecar's announcement.
func Announce(sta *State, ent rgmodel.Entry) {
	if sta.Announced == nil {
		sta.Announced = map[string]bool{}
	}
	sta.Announced[ent.Incarnation] = true
}
