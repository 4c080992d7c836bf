package rgevacuation

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
)

// Contains reports whether the zone is evacuated.
func Contains(set Set, name string) bool {
	_, found := Lookup(set, name)
	return found
}

// Lookup returns the evacuated zone with the name.
func Lookup(set Set, name string) (Zone, bool) {
	if len(set.Zones) == 0 {
		return Zone{}, false
	}
	at, found := find(set.Zones, name)
	if !found {
		return Zone{}, false
	}
	return set.Zones[at], true
}

// SameZones reports whether the two sets contain the same zones by the same keys.
func SameZones(one, two Set) bool {
	return slices.EqualFunc(one.Zones, two.Zones, func(one, two Zone) bool {
		return one.Name == two.Name && one.KeyVersion == two.KeyVersion
	})
}

// Check returns errors.NotValid unless the set is one that a process can have read: with a version, and with valid names in order.
func Check(set Set) error {
	if set.Version == 0 {
		return errors.NotValidf("set of evacuated zones without a version")
	}
	for i, zon := range set.Zones {
		if err := rgmodel.CheckZone(zon.Name); err != nil {
			return errors.Annotate(err, "evacuated zone")
		}
		if i > 0 && set.Zones[i-1].Name >= zon.Name {
			return errors.NotValidf("order of the evacuated zones at %q", zon.Name)
		}
	}
	return nil
}

// find returns the position of the name, or the one at which it would be inserted.
func find(zns []Zone, name string) (int, bool) {
	return slices.BinarySearchFunc(zns, name, func(zon Zone, name string) int { return cmp.Compare(zon.Name, name) })
}
