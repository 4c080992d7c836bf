package rgdispatch

import "ragwortgap/core/rgevacuation"

// AdoptEvacuation adopts a newer set of evacuated zones. It reports whether the set was newer, and whether it names other zones than the
// one before. Queued tasks in an evacuated zone are returned by their sidecars.
func AdoptEvacuation(sta *State, set rgevacuation.Set) (newer, changed bool) {
	before := sta.Evacuation
	newer = rgevacuation.Adopt(&sta.Evacuation, set)
	return newer, newer && !rgevacuation.SameZones(before, sta.Evacuation)
}
