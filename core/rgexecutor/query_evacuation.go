package rgexecutor

import (
	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
)

// Zone returns the availability zone of the executor.
func Zone(sta *State) string {
	if sta.Executor.AvailabilityZone != "" {
		return sta.Executor.AvailabilityZone
	}
	return sta.AvailabilityZone
}

// Evacuated reports whether the executor's zone is evacuated: nothing is accepted or started there.
func Evacuated(sta *State) bool { return rgevacuation.Contains(sta.Evacuation, Zone(sta)) }

// evacuationProgress returns what is left of the tasks here, or nil if the zone is not evacuated.
func evacuationProgress(sta *State) *rgmodel.EvacuationProgress {
	if !Evacuated(sta) {
		return nil
	}
	return &rgmodel.EvacuationProgress{Running: len(sta.Runs) + len(sta.Orphans), Queued: len(sta.Queue)}
}
