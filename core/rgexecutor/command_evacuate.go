package rgexecutor

import (
	"time"

	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
)

// AdoptEvacuation adopts a newer set of evacuated zones. If the executor's zone is now evacuated, it returns the queue; runs go on.
func AdoptEvacuation(sta *State, now time.Time, set rgevacuation.Set) []Effect {
	before := Evacuated(sta)
	if !rgevacuation.Adopt(&sta.Evacuation, set) {
		return nil
	}
	if Evacuated(sta) != before {
		MarkLoadChanged(sta)
	}
	return startQueued(sta, now)
}

// returnEvacuated returns the queued tasks if the executor's zone is evacuated, so that their entries place them elsewhere. The zone may
// also become known after the set.
func returnEvacuated(sta *State) []Effect {
	if len(sta.Queue) == 0 || !Evacuated(sta) {
		return nil
	}
	return returnQueue(sta, rgmodel.ReasonZoneEvacuated)
}
