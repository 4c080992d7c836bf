package rgmembership

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// newForged returns entries that nothing listens for, distributed evenly over zones.
func newForged(entries, zones int) []rgmodel.Entry {
	ents := make([]rgmodel.Entry, 0, entries)
	for i := range entries {
		ents = append(ents, newEntry(fmt.Sprintf("forged-%d", i), zoneName(i%zones)))
	}
	return ents
}

// TestForgedEntries guards against records of another writer that take the sound entries out of use: a process that drops its
// connections for entries that do not exist, that never finds the sound ones among them, or that dials hundreds of addresses at once.
func TestForgedEntries(t *testing.T) {
	fleet := newFleet(35, 5)
	limits := Limits{SameZone: 8, OtherZones: 4}
	tests := map[string]struct {
		forged int
		// before is set if the forged entries are there before the process starts.
		before bool
		seeds  int
		// within is when the process has all of its connections at the latest.
		within time.Duration
	}{
		"none":                           {within: time.Second, seeds: 2},
		"one":                            {forged: 1, within: time.Second, seeds: 2},
		"500 after the start":            {forged: 500, within: time.Second, seeds: 2},
		"6,000 after the start":          {forged: 6000, within: time.Second, seeds: 2},
		"50 before the start":            {forged: 50, before: true, within: 30 * time.Second, seeds: 2},
		"500 before the start":           {forged: 500, before: true, within: 2 * time.Minute, seeds: 2},
		"500 before the start, no seeds": {forged: 500, before: true, within: 2 * time.Minute},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness("side-1", "a", limits)
			for _, ent := range fleet[:tc.seeds] {
				AddSeed(&har.sta, har.now, ent.Address)
			}
			all := append(newForged(tc.forged, 5), fleet...)
			if tc.before {
				for _, ent := range fleet {
					har.reachable[ent.Address] = true
				}
				RecordListed(&har.sta, har.now, all)
			} else {
				har.learn(fleet)
				har.advance(time.Second)
				RecordListed(&har.sta, har.now, all)
			}
			har.advance(tc.within)
			for range 60 {
				har.advance(time.Second)
				RecordListed(&har.sta, har.now, all)
				same, others := 0, 0
				for _, adr := range har.connected() {
					if har.sta.Entries[adr].Entry.AvailabilityZone == "a" {
						same++
					} else {
						others++
					}
				}
				if same < 7 || others < limits.OtherZones {
					t.Fatalf("%v: %d connections in the own zone and %d to others, want 7 and %d", har.now.Sub(start), same, others,
						limits.OtherZones)
				}
				if got := len(har.sta.Entries); got > maxEntries {
					t.Fatalf("%d entries known", got)
				}
				// A new connection is not dropped before surplusDelay has passed.
				if got := len(har.dialed); got > 4*(limits.SameZone+limits.OtherZones) {
					t.Fatalf("%d entries dialed", got)
				}
			}
		})
	}
}

// TestRestartAfterFailure guards against an entry that could not be reached for long and that is not tried when it has started again.
func TestRestartAfterFailure(t *testing.T) {
	har := newHarness("side-1", "a", Limits{SameZone: 1, OtherZones: 1})
	fleet := newFleet(8, 1)
	RecordListed(&har.sta, har.now, fleet)
	har.advance(time.Minute)
	for i := range fleet {
		if !har.dialed[fleet[i].Address] {
			fleet[i].Incarnation = "2"
			har.reachable[fleet[i].Address] = true
		}
	}
	if len(har.reachable) == 0 {
		t.Fatal("all entries are still dialed")
	}
	RecordListed(&har.sta, har.now, fleet)
	har.advance(2 * dialPatience)
	if got := len(har.connected()); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}
