package rgmembership

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// fleetSize is a fleet of entries and sidecars that are distributed evenly over zones.
type fleetSize struct{ entries, sidecars, zones int }

var fleetSizes = map[string]fleetSize{
	"3 entries, 11 sidecars":     {entries: 3, sidecars: 11, zones: 3},
	"8 entries, 52 sidecars":     {entries: 8, sidecars: 52, zones: 3},
	"35 entries, 160 sidecars":   {entries: 35, sidecars: 160, zones: 5},
	"168 entries, 5600 sidecars": {entries: 168, sidecars: 5600, zones: 10},
}

// selectEntries returns the entries that each process of a fleet selects once it knows all of them. Entries of the lost zone are
// known and cannot be reached.
func selectEntries(ents []rgmodel.Entry, processes []State, lostZone string) []map[string]bool {
	sels := make([]map[string]bool, 0, len(processes))
	for i := range processes {
		har := &harness{sta: processes[i], now: start, reachable: map[string]bool{}, dialed: map[string]bool{}}
		har.learn(ents)
		for _, ent := range ents {
			if ent.AvailabilityZone == lostZone {
				har.reachable[ent.Address] = false
			}
		}
		har.advance(3 * dialPatience)
		sel := map[string]bool{}
		for _, adr := range har.connected() {
			sel[adr] = true
		}
		sels = append(sels, sel)
	}
	return sels
}

func newSidecars(siz fleetSize) []State {
	scs := make([]State, 0, siz.sidecars)
	for i := range siz.sidecars {
		scs = append(scs, State{
			Name: fmt.Sprintf("side-%d", i), AvailabilityZone: zoneName(i % siz.zones),
			Limits: Limits{SameZone: DefaultSameZone, OtherZones: DefaultOtherZones},
		})
	}
	return scs
}

// TestViews guards against sidecars that no entry or too few entries know, and against entries with far more or far fewer
// sidecars than the others have. Each entry needs sidecars of other zones in case those of its own are lost.
func TestViews(t *testing.T) {
	for name, siz := range fleetSizes {
		t.Run(name, func(t *testing.T) {
			// The sidecars of the largest fleet select independently of each other, so a part of them shows the distribution.
			siz.sidecars = min(siz.sidecars, 400)
			ents := newFleet(siz.entries, siz.zones)
			views := map[string]int{}
			total := 0
			for i, sel := range selectEntries(ents, newSidecars(siz), "") {
				if want := min(siz.entries/siz.zones, DefaultSameZone) + min(2, siz.entries-1); len(sel) < want {
					t.Errorf("sidecar %d is connected to %d entries, want at least %d", i, len(sel), want)
				}
				if len(sel) > DefaultSameZone+DefaultOtherZones {
					t.Errorf("sidecar %d is connected to %d entries, want at most %d", i, len(sel), DefaultSameZone+DefaultOtherZones)
				}
				for adr := range sel {
					views[adr]++
					total++
				}
			}
			mean := float64(total) / float64(siz.entries)
			for _, ent := range ents {
				if got := float64(views[ent.Address]); got < mean/2 || got > 2*mean {
					t.Errorf("%s has %v sidecars, want between half and twice the mean of %.1f", ent.Name, got, mean)
				}
			}
		})
	}
}

// TestLostZone guards against sidecars without connections after the entries of a whole zone are lost.
func TestLostZone(t *testing.T) {
	for name, siz := range fleetSizes {
		t.Run(name, func(t *testing.T) {
			siz.sidecars = min(siz.sidecars, 200)
			for i, sel := range selectEntries(newFleet(siz.entries, siz.zones), newSidecars(siz), zoneName(0)) {
				if len(sel) < min(2, siz.entries-1) {
					t.Errorf("sidecar %d is connected to %d entries after the loss of a zone, want 2 at least", i, len(sel))
				}
			}
		})
	}
}

// TestPeers guards against entries that form separate groups, of which one without the store would never get a new
// configuration, and against groups after the loss of a zone.
func TestPeers(t *testing.T) {
	for name, siz := range fleetSizes {
		for _, lost := range []string{"", zoneName(0)} {
			t.Run(fmt.Sprintf("%s, lost zone %q", name, lost), func(t *testing.T) {
				ents := newFleet(siz.entries, siz.zones)
				var processes []State
				for _, ent := range ents {
					processes = append(processes, State{
						Name: ent.Name, AvailabilityZone: ent.AvailabilityZone, Address: ent.Address,
						Limits: Limits{SameZone: DefaultPeersSameZone, OtherZones: DefaultPeersOtherZones},
					})
				}
				sels := selectEntries(ents, processes, lost)
				peers := map[string][]string{}
				alive := 0
				for i, ent := range ents {
					if ent.AvailabilityZone == lost {
						continue
					}
					alive++
					if most := DefaultPeersSameZone + DefaultPeersOtherZones; len(sels[i]) > most {
						t.Errorf("%s is connected to %d entries, want at most %d", ent.Name, len(sels[i]), most)
					}
					for adr := range sels[i] {
						peers[ent.Address] = append(peers[ent.Address], adr)
						peers[adr] = append(peers[adr], ent.Address)
					}
				}
				if got := countReached(peers, ents[len(ents)-1].Address); got != alive {
					t.Errorf("%d of %d entries are connected to each other", got, alive)
				}
			})
		}
	}
}

// countReached returns how many entries can be reached over connections, the first one included.
func countReached(peers map[string][]string, first string) int {
	seen := map[string]bool{first: true}
	for queue := []string{first}; len(queue) > 0; queue = queue[1:] {
		for _, adr := range peers[queue[0]] {
			if !seen[adr] {
				seen[adr] = true
				queue = append(queue, adr)
			}
		}
	}
	return len(seen)
}

// TestNewSidecar guards against an executor that is added and stays without tasks because its sidecar finds the entries of its
// zone late.
func TestNewSidecar(t *testing.T) {
	ents := newFleet(35, 5)
	har := newHarness("side-new", "a", Limits{SameZone: DefaultSameZone, OtherZones: DefaultOtherZones})
	for _, ent := range ents {
		har.reachable[ent.Address] = true
	}
	for _, ent := range ents[1:4] {
		AddSeed(&har.sta, har.now, ent.Address)
	}
	har.advance(UpdateInterval)
	con := har.lastConn
	RecordMentions(&har.sta, har.now, con, ents, nil, true)
	const reportInterval = 300 * time.Millisecond
	har.advance(reportInterval)
	same := 0
	for _, adr := range har.connected() {
		if har.sta.Entries[adr].Entry.AvailabilityZone == "a" {
			same++
		}
	}
	if same != 7 {
		t.Errorf("connected to %d entries of its zone after %v, want 7", same, reportInterval)
	}
}
