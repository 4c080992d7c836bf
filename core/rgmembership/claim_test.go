package rgmembership

import (
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

type claimTest struct {
	// address is that of the process, if it is an entry.
	address string
	// run is called each second.
	run         func(har *harness)
	unreachable string
	wantConns   []string
	wantName    string
	// maxVersion bounds the changes of the list passed on.
	maxVersion Version
}

func claimTests() map[string]claimTest {
	sound := newEntry("e1", "a")
	claimed := rgmodel.Entry{Name: "zz", Incarnation: "9", Address: sound.Address, AvailabilityZone: "b"}
	alias := rgmodel.Entry{Name: sound.Name, Incarnation: sound.Incarnation, Address: "alias:1", AvailabilityZone: "a"}
	moved := rgmodel.Entry{Name: sound.Name, Incarnation: "2", Address: "moved:1", AvailabilityZone: "a"}
	other := newEntry("e2", "a")
	return map[string]claimTest{
		"address of a connected entry, in the store": {
			address: "self:1",
			run: func(har *harness) {
				RecordSeen(&har.sta, har.now, 100, sound)
				RecordListed(&har.sta, har.now, []rgmodel.Entry{sound, claimed})
			},
			wantConns: []string{"e1:1"}, wantName: "e1", maxVersion: 1,
		},
		"address of a connected entry, mentioned by a peer": {
			run: func(har *harness) {
				RecordFound(&har.sta, har.now, []rgmodel.Entry{other})
				for con, adr := range har.sta.Conns {
					switch adr {
					case sound.Address:
						RecordMentions(&har.sta, har.now, con, []rgmodel.Entry{other, sound}, nil, true)
					case other.Address:
						RecordMentions(&har.sta, har.now, con, []rgmodel.Entry{claimed, other}, nil, true)
					}
				}
				if len(har.sta.Conns) == 0 {
					RecordFound(&har.sta, har.now, []rgmodel.Entry{sound})
				}
			},
			wantConns: []string{"e1:1", "e2:1"}, wantName: "e1",
		},
		"name of a connected entry at another of its addresses": {
			run:       func(har *harness) { RecordFound(&har.sta, har.now, []rgmodel.Entry{sound, alias, other}) },
			wantConns: []string{"alias:1", "e2:1"},
		},
		"name of an entry that has moved": {
			run:         func(har *harness) { RecordFound(&har.sta, har.now, []rgmodel.Entry{sound, moved, other}) },
			unreachable: sound.Address,
			wantConns:   []string{"e2:1", "moved:1"},
		},
		"name of the process": {
			address: "self:1",
			run: func(har *harness) {
				RecordListed(&har.sta, har.now, []rgmodel.Entry{{Name: "side-1", Incarnation: "1", Address: "alias:1"}, sound})
			},
			wantConns: []string{"e1:1"}, wantName: "e1", maxVersion: 1,
		},
	}
}

// TestClaims guards against records that claim the name or the address of another entry: a description that changes back and forth,
// each time with a message to the fleet and another selection, and two connections to one entry.
func TestClaims(t *testing.T) {
	for name, tc := range claimTests() {
		t.Run(name, func(t *testing.T) {
			har := newHarness("side-1", "a", Limits{SameZone: 4, OtherZones: 4})
			har.sta.Address = tc.address
			for _, adr := range []string{"e1:1", "e2:1", "alias:1", "moved:1"} {
				har.reachable[adr] = adr != tc.unreachable
			}
			for range 20 {
				tc.run(har)
				har.advance(time.Second / 2)
				if kno := har.sta.Entries["e1:1"]; tc.wantName != "" && kno != nil && kno.Entry.Name != tc.wantName {
					t.Fatalf("%v: the entry is called %q, want %q", har.now.Sub(start), kno.Entry.Name, tc.wantName)
				}
			}
			if got := slices.Compact(har.connected()); !slices.Equal(got, tc.wantConns) {
				t.Errorf("connected to %q, want %q", got, tc.wantConns)
			}
			if tc.maxVersion > 0 && har.sta.Version > tc.maxVersion {
				t.Errorf("%d changes passed on, want at most %d", har.sta.Version, tc.maxVersion)
			}
		})
	}
}
