package rgevacuation

import "slices"

// Adopt replaces the set by the offered one if that is newer, and reports whether it was. The version in force never decreases, regardless
// of the source of the offered set. Of a key that both sets contain, the earlier time is kept in either case.
func Adopt(cur *Set, offered Set) bool {
	if offered.Version <= cur.Version {
		cur.Zones = withEarliestTimes(cur.Zones, offered.Zones)
		return false
	}
	offered.Zones = withEarliestTimes(offered.Zones, cur.Zones)
	*cur = offered
	return true
}

// withEarliestTimes returns the zones, each with the earlier of the times that the two sets name for the same key. A process that has
// restarted reads a key later than the others did.
func withEarliestTimes(zns, others []Zone) []Zone {
	res := slices.Clone(zns)
	for i := range res {
		at, found := find(others, res[i].Name)
		if found && others[at].KeyVersion == res[i].KeyVersion && others[at].SinceMillis > 0 {
			res[i].SinceMillis = min(res[i].SinceMillis, others[at].SinceMillis)
		}
	}
	return res
}
