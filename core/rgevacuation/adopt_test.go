package rgevacuation

import (
	"reflect"
	"slices"
	"testing"

	"github.com/juju/errors"
)

// newSet returns a set in which each zone was requested by a key with the version of the set, unless the zone names another one.
func newSet(version uint64, zns ...Zone) Set {
	set := Set{Version: version}
	for _, zon := range zns {
		if zon.KeyVersion == 0 {
			zon.KeyVersion = version
		}
		Add(&set, zon)
	}
	return set
}

// TestAdopt guards against a set that goes back to an older one, or that mixes two, because messages arrive late or out of order.
func TestAdopt(t *testing.T) {
	east, west := Zone{Name: "east"}, Zone{Name: "west"}
	tests := map[string]struct {
		offered []Set
		want    []string
		wantVer uint64
	}{
		"never received any": {},
		"first":              {offered: []Set{newSet(5, east)}, want: []string{"east"}, wantVer: 5},
		"several zones":      {offered: []Set{newSet(5, west, east)}, want: []string{"east", "west"}, wantVer: 5},
		"newer one as a whole": {
			offered: []Set{newSet(5, east), newSet(6, west)}, want: []string{"west"}, wantVer: 6,
		},
		"older one late":          {offered: []Set{newSet(6, west), newSet(5, east)}, want: []string{"west"}, wantVer: 6},
		"withdrawn":               {offered: []Set{newSet(5, east), newSet(6)}, wantVer: 6},
		"withdrawn, then the old": {offered: []Set{newSet(5, east), newSet(6), newSet(5, east)}, wantVer: 6},
		"withdrawn and requested again": {
			offered: []Set{newSet(5, east), newSet(6), newSet(7, east)}, want: []string{"east"}, wantVer: 7,
		},
		"withdrawn and requested again, in another order": {
			offered: []Set{newSet(5, east), newSet(7, east), newSet(6)}, want: []string{"east"}, wantVer: 7,
		},
		"the same version":  {offered: []Set{newSet(5, east), newSet(5, west)}, want: []string{"east"}, wantVer: 5},
		"without a version": {offered: []Set{newSet(5, east), {}}, want: []string{"east"}, wantVer: 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var set Set
			for _, ofr := range tc.offered {
				Adopt(&set, ofr)
			}
			var got []string
			for _, zon := range set.Zones {
				got = append(got, zon.Name)
			}
			if !slices.Equal(got, tc.want) || set.Version != tc.wantVer {
				t.Errorf("zones %v of version %d, want %v of version %d", got, set.Version, tc.want, tc.wantVer)
			}
			for _, nam := range []string{"east", "west", ""} {
				if Contains(set, nam) != slices.Contains(tc.want, nam) {
					t.Errorf("zone %q evacuated: %v", nam, Contains(set, nam))
				}
			}
		})
	}
}

// TestAdoptTimes guards against an evacuation that seems to have begun later because an entry has restarted, and against a renewed one that
// keeps the time of the one before.
func TestAdoptTimes(t *testing.T) {
	first := newSet(5, Zone{Name: "east", SinceMillis: 1000})
	restarted := newSet(9, Zone{Name: "east", KeyVersion: 5, SinceMillis: 3000})
	renewed := newSet(9, Zone{Name: "east", KeyVersion: 8, SinceMillis: 3000})
	tests := map[string]struct {
		cur, offered Set
		want         int64
	}{
		"read again by another entry":              {cur: first, offered: restarted, want: 1000},
		"an older set that knows the earlier time": {cur: restarted, offered: first, want: 1000},
		"requested again":                          {cur: first, offered: renewed, want: 3000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			given, unchanged := tc.offered.Zones, slices.Clone(tc.offered.Zones)
			Adopt(&tc.cur, tc.offered)
			if got := tc.cur.Zones[0].SinceMillis; got != tc.want {
				t.Errorf("since %d, want %d", got, tc.want)
			}
			if !reflect.DeepEqual(given, unchanged) {
				t.Errorf("the offered set was changed in place: %v", given)
			}
		})
	}
}

// TestCheck guards against a set of a peer that no store can have held, and that would not be found by its names.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		set  Set
		want bool
	}{
		"sound":             {set: newSet(5, Zone{Name: "a"}, Zone{Name: "b"}), want: true},
		"no zone":           {set: newSet(5), want: true},
		"no version":        {set: Set{Zones: []Zone{{Name: "a"}}}},
		"no name":           {set: Set{Version: 5, Zones: []Zone{{}}}},
		"name with a slash": {set: Set{Version: 5, Zones: []Zone{{Name: "a/b"}}}},
		"not in order":      {set: Set{Version: 5, Zones: []Zone{{Name: "b"}, {Name: "a"}}}},
		"twice":             {set: Set{Version: 5, Zones: []Zone{{Name: "a"}, {Name: "a"}}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if err := Check(tc.set); tc.want != (err == nil) || err != nil && !errors.Is(err, errors.NotValid) {
				t.Errorf("error %v, want valid %v", err, tc.want)
			}
		})
	}
}
