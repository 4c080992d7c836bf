package rgdispatch

import (
	"cmp"
	"slices"

	"ragwortgap/core/rgevacuation"
)

type (
	// ZoneState is what an entry knows of an evacuated zone.
	ZoneState struct {
		Zone     rgevacuation.Zone `json:"zone"`
		Sidecars []ZoneSidecar     `json:"sidecars,omitempty"`
	}

	// ZoneSidecar is what an entry knows of a sidecar in an evacuated zone. Confirmed is set once the sidecar has reported that it starts
	// nothing; Running and Queued are zero before.
	ZoneSidecar struct {
		Name      string `json:"name"`
		Confirmed bool   `json:"confirmed"`
		Running   int    `json:"running"`
		Queued    int    `json:"queued"`
	}
)

// isEvacuated reports whether the sidecar's executor is in an evacuated zone, by the set of this entry or by the newer one of the sidecar.
func isEvacuated(sta *State, sc *SidecarConn) bool {
	// The length is checked here, because this is called for each sidecar of each job, and the compiler inlines it.
	return sc.Report.Evacuation != nil ||
		len(sta.Evacuation.Zones) > 0 && rgevacuation.Contains(sta.Evacuation, sc.Executor.AvailabilityZone)
}

// EvacuatedZones returns the evacuated zones and the sidecars in them, ordered by name. A sidecar with two connections is listed once.
func EvacuatedZones(sta *State) []ZoneState {
	zns := make([]ZoneState, 0, len(sta.Evacuation.Zones))
	for _, zon := range sta.Evacuation.Zones {
		zns = append(zns, ZoneState{Zone: zon, Sidecars: sidecarsIn(sta, zon.Name)})
	}
	return zns
}

func sidecarsIn(sta *State, zone string) []ZoneSidecar {
	var sds []ZoneSidecar
	for _, sc := range sta.Sidecars {
		if sc.Executor.AvailabilityZone != zone {
			continue
		}
		sid := ZoneSidecar{Name: sc.Name}
		if prg := sc.Report.Evacuation; prg != nil {
			sid.Confirmed, sid.Running, sid.Queued = true, prg.Running, prg.Queued
		}
		sds = append(sds, sid)
	}
	slices.SortFunc(sds, func(one, two ZoneSidecar) int {
		return cmp.Or(cmp.Compare(one.Name, two.Name), cmp.Compare(two.Running+two.Queued, one.Running+one.Queued))
	})
	return slices.CompactFunc(sds, func(one, two ZoneSidecar) bool { return one.Name == two.Name })
}

// HasSidecarIn reports whether a connected sidecar has an executor in the zone.
func HasSidecarIn(sta *State, zone string) bool {
	for _, sc := range sta.Sidecars {
		if sc.Executor.AvailabilityZone == zone {
			return true
		}
	}
	return false
}
