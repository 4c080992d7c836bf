package rgstandin

import "maps"

// SetFaults replaces the faults.
func (sto *Store) SetFaults(flt StoreFaults) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	switch {
	case !flt.StaleReads:
		sto.staleState = nil
	case sto.snapshot != nil:
		sto.staleState = sto.snapshot
	case sto.staleState == nil:
		sto.staleState = sto.copyState()
	}
	sto.faults = flt
}

// TakeSnapshot saves the current state for the fault StaleReads.
func (sto *Store) TakeSnapshot() {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.snapshot = sto.copyState()
}

// copyState returns a copy of the current state. The caller holds the mutex.
func (sto *Store) copyState() *storeState {
	return &storeState{items: maps.Clone(sto.items), deleted: maps.Clone(sto.deleted), version: sto.version}
}
