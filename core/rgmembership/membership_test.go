package rgmembership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var (
	selectionFleet = newFleet(20, 4)

	selectionTests = map[string]struct {
		limits Limits
		run    func(har *harness)
		// wantSame and wantOthers are the numbers of connected entries in zone a, which is the process's own, and in others.
		wantSame, wantOthers int
		wantDropped          int
	}{
		"no limits": {run: func(har *harness) { har.learn(selectionFleet) }, wantSame: 5, wantOthers: 15},
		"limits": {
			limits: Limits{SameZone: 3, OtherZones: 4}, run: func(har *harness) { har.learn(selectionFleet) },
			wantSame: 3, wantOthers: 4,
		},
		"fewer entries than limits": {
			limits: Limits{SameZone: 8, OtherZones: 8}, run: func(har *harness) { har.learn(selectionFleet[:4]) },
			wantSame: 1, wantOthers: 3,
		},
		"seeds only": {
			limits: Limits{SameZone: 1, OtherZones: 1},
			run: func(har *harness) {
				for _, ent := range selectionFleet[:3] {
					har.reachable[ent.Address] = true
					AddSeed(&har.sta, har.now, ent.Address)
				}
			},
			wantOthers: 3,
		},
		"seeds are dropped once enough others are connected": {
			limits: Limits{SameZone: 1, OtherZones: 1},
			run: func(har *harness) {
				for _, ent := range selectionFleet[:3] {
					har.reachable[ent.Address] = true
					AddSeed(&har.sta, har.now, ent.Address)
				}
				har.advance(time.Second)
				har.learn(selectionFleet)
			},
			wantSame: 1, wantOthers: 1, wantDropped: 3,
		},
		"unreachable entries are replaced": {
			limits: Limits{SameZone: 2, OtherZones: 2},
			run: func(har *harness) {
				har.learn(selectionFleet)
				har.advance(time.Second)
				for _, adr := range har.connected() {
					har.lose(adr)
				}
			},
			wantSame: 2, wantOthers: 2,
		},
		"a short loss changes nothing": {
			limits: Limits{SameZone: 2, OtherZones: 2},
			run: func(har *harness) {
				har.learn(selectionFleet)
				har.advance(time.Second)
				adr := har.connected()[0]
				har.lose(adr)
				har.advance(dialPatience / 2)
				har.reachable[adr] = true
			},
			wantSame: 2, wantOthers: 2,
		},
		"the replacement is dropped when the entry is back": {
			limits: Limits{SameZone: 2, OtherZones: 2},
			run: func(har *harness) {
				har.learn(selectionFleet)
				har.advance(time.Second)
				adr := har.connected()[0]
				har.lose(adr)
				har.advance(2 * dialPatience)
				har.reachable[adr] = true
			},
			wantSame: 2, wantOthers: 2, wantDropped: 1,
		},
		"entries that left are dropped": {
			limits: Limits{SameZone: 2, OtherZones: 2},
			run: func(har *harness) {
				har.learn(selectionFleet)
				har.advance(time.Second)
				for _, ent := range selectionFleet {
					har.lose(ent.Address)
				}
				RecordListed(&har.sta, har.now, nil)
				har.advance(expiry + idleInterval)
				if len(har.sta.Entries) > 0 || len(har.dialed) > 0 {
					panic(fmt.Sprintf("%d entries known, %d dialed", len(har.sta.Entries), len(har.dialed)))
				}
			},
			wantDropped: 19,
		},
		"a connection from an entry is not dialed a second time": {
			limits: Limits{SameZone: 2, OtherZones: 2},
			run: func(har *harness) {
				RecordSeen(&har.sta, har.now, 100, selectionFleet[0])
				har.advance(time.Second)
				if har.dialed[selectionFleet[0].Address] {
					panic("dialed")
				}
			},
			wantSame: 1,
		},
	}
)

// TestSelection guards against a process that connects to more entries than its limits allow, that stays without a connection
// although an entry can be reached, that drops a connection too early, and that dials an entry that is gone forever.
func TestSelection(t *testing.T) {
	for name, tc := range selectionTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness("side-1", "a", tc.limits)
			tc.run(har)
			har.advance(2 * surplusDelay)
			same, others := 0, 0
			for _, adr := range har.connected() {
				if har.sta.Entries[adr].Entry.AvailabilityZone == "a" {
					same++
				} else {
					others++
				}
			}
			if same != tc.wantSame || others != tc.wantOthers {
				t.Errorf("%d connections in the own zone and %d to others, want %d and %d", same, others, tc.wantSame, tc.wantOthers)
			}
			if len(har.dropped) != tc.wantDropped {
				t.Errorf("%d connections dropped, want %d", len(har.dropped), tc.wantDropped)
			}
		})
	}
}

// TestMentions guards against an entry that is forgotten while a connected peer has it in its list, and against one that left
// and stays known because peers once mentioned it.
func TestMentions(t *testing.T) {
	first, second := newEntry("e1", "a"), newEntry("e2", "b")
	tests := map[string]struct {
		run  func(har *harness)
		want []string
	}{
		"mentioned by a connected peer": {
			run:  func(har *harness) { RecordMentions(&har.sta, har.now, 1, []rgmodel.Entry{first, second}, nil, true) },
			want: []string{"e1:1", "e2:1"},
		},
		"removed from the list": {
			run: func(har *harness) {
				RecordMentions(&har.sta, har.now, 1, []rgmodel.Entry{first, second}, nil, true)
				RecordMentions(&har.sta, har.now, 1, nil, []string{"e1:1"}, false)
			},
			want: []string{"e2:1"},
		},
		"removed from the list of one of two peers": {
			run: func(har *harness) {
				RecordMentions(&har.sta, har.now, 1, []rgmodel.Entry{first}, nil, true)
				RecordMentions(&har.sta, har.now, 2, []rgmodel.Entry{first}, nil, true)
				RecordMentions(&har.sta, har.now, 1, nil, []string{"e1:1"}, false)
			},
			want: []string{"e1:1"},
		},
		"not in a new full list": {
			run: func(har *harness) {
				RecordMentions(&har.sta, har.now, 1, []rgmodel.Entry{first}, nil, true)
				RecordMentions(&har.sta, har.now, 1, []rgmodel.Entry{second}, nil, true)
			},
			want: []string{"e2:1"},
		},
		"connection of the peer lost": {
			run: func(har *harness) {
				RecordMentions(&har.sta, har.now, 1, []rgmodel.Entry{first}, nil, true)
				RecordClosed(&har.sta, har.now, 1)
			},
		},
		"found in the store": {run: func(har *harness) { RecordFound(&har.sta, har.now, []rgmodel.Entry{first}) }},
		"the process itself": {run: func(har *harness) {
			har.sta.Address = "e1:1"
			RecordListed(&har.sta, har.now, []rgmodel.Entry{first})
		}},
		"an entry without an address": {run: func(har *harness) { RecordListed(&har.sta, har.now, []rgmodel.Entry{{Name: "x"}}) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness("side-1", "a", Limits{})
			tc.run(har)
			har.advance(expiry + time.Second)
			var got []string
			for adr := range har.sta.Entries {
				got = append(got, adr)
			}
			slices.Sort(got)
			if !slices.Equal(got, tc.want) {
				t.Errorf("known entries %v, want %v", got, tc.want)
			}
		})
	}
}

// TestChangesSince guards against a peer that misses a change of the list, that gets the list again although nothing has
// changed, and that is told of entries that only other peers mention, which would keep an entry that is gone in the lists
// forever.
func TestChangesSince(t *testing.T) {
	for name, tc := range changesTests() {
		t.Run(name, func(t *testing.T) {
			har := newHarness("entry-0", "a", Limits{})
			tc.run(har)
			har.advance(UpdateInterval)
			ents, left, full := ChangesSince(&har.sta, tc.since)
			if full != tc.wantFull || !slices.Equal(ents, tc.wantEnts) || !slices.Equal(left, tc.wantLeft) {
				t.Errorf("entries %v, left %v, full %v, want %v, %v, %v", ents, left, full, tc.wantEnts, tc.wantLeft, tc.wantFull)
			}
		})
	}
}

type changesTest struct {
	run      func(har *harness)
	since    Version
	wantFull bool
	wantEnts []rgmodel.Entry
	wantLeft []string
}

func changesTests() map[string]changesTest {
	first, second, moved := newEntry("e1", "a"), newEntry("e2", "b"), newEntry("e1", "c")
	restarted := first
	restarted.Incarnation = "2"
	return map[string]changesTest{
		"first message": {
			run:      func(har *harness) { RecordListed(&har.sta, har.now, []rgmodel.Entry{second, first}) },
			wantFull: true, wantEnts: []rgmodel.Entry{first, second},
		},
		"nothing changed": {
			run:   func(har *harness) { RecordListed(&har.sta, har.now, []rgmodel.Entry{first}) },
			since: 1,
		},
		"one added": {
			run: func(har *harness) {
				RecordListed(&har.sta, har.now, []rgmodel.Entry{first})
				har.advance(UpdateInterval)
				RecordListed(&har.sta, har.now, []rgmodel.Entry{first, second})
			},
			since: 1, wantEnts: []rgmodel.Entry{second},
		},
		"one left": {
			run: func(har *harness) {
				RecordListed(&har.sta, har.now, []rgmodel.Entry{first, second})
				har.advance(UpdateInterval)
				RecordListed(&har.sta, har.now, []rgmodel.Entry{second})
				har.advance(expiry + idleInterval)
			},
			since: 2, wantLeft: []string{"e1:1"},
		},
		"left and back in time": {
			run: func(har *harness) {
				RecordListed(&har.sta, har.now, []rgmodel.Entry{first})
				har.advance(UpdateInterval)
				RecordListed(&har.sta, har.now, nil)
				har.advance(expiry / 2)
				RecordListed(&har.sta, har.now, []rgmodel.Entry{restarted})
			},
			since: 1,
		},
		"another zone at the same address": {
			run: func(har *harness) {
				RecordListed(&har.sta, har.now, []rgmodel.Entry{first})
				har.advance(UpdateInterval)
				RecordListed(&har.sta, har.now, []rgmodel.Entry{moved})
			},
			since: 1, wantEnts: []rgmodel.Entry{moved},
		},
		"connected without the store": {
			run:      func(har *harness) { RecordSeen(&har.sta, har.now, 1, first) },
			wantFull: true, wantEnts: []rgmodel.Entry{first},
		},
		"only mentioned": {
			run:      func(har *harness) { RecordMentions(&har.sta, har.now, 1, []rgmodel.Entry{first}, nil, true) },
			wantFull: true,
		},
		"more changes than are kept": {
			run: func(har *harness) {
				for i := range maxChanges {
					RecordListed(&har.sta, har.now, []rgmodel.Entry{newEntry("e1", zoneName(i%2))})
					har.advance(UpdateInterval)
				}
				RecordListed(&har.sta, har.now, []rgmodel.Entry{second})
				har.advance(expiry + idleInterval)
			},
			since: 1, wantFull: true, wantEnts: []rgmodel.Entry{second},
		},
	}
}
