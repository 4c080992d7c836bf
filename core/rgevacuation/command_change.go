package rgevacuation

import "slices"

// Add adds the zone, or replaces it if its key has been written again. The version of the set stays.
func Add(set *Set, zon Zone) {
	at, found := find(set.Zones, zon.Name)
	zns := slices.Clone(set.Zones)
	if found {
		zns[at] = zon
	} else {
		zns = slices.Insert(zns, at, zon)
	}
	set.Zones = zns
}

// Remove removes the zone. The version of the set stays.
func Remove(set *Set, name string) {
	if at, found := find(set.Zones, name); found {
		set.Zones = slices.Delete(slices.Clone(set.Zones), at, at+1)
	}
}
