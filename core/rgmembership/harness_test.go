package rgmembership

import (
	"fmt"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

var start = time.Unix(1000, 0)

// newEntry returns an entry in a zone. Its address contains its name.
func newEntry(name, zone string) rgmodel.Entry {
	return rgmodel.Entry{Name: name, Incarnation: "1", Address: name + ":1", AvailabilityZone: zone}
}

// newFleet returns entries that are distributed evenly over zones.
func newFleet(entries, zones int) []rgmodel.Entry {
	ents := make([]rgmodel.Entry, 0, entries)
	for i := range entries {
		ents = append(ents, newEntry(fmt.Sprintf("entry-%d", i), zoneName(i%zones)))
	}
	return ents
}

func zoneName(num int) string { return string(rune('a' + num)) }

// harness holds the state of a process whose connections to the entries of reachable open at once.
type harness struct {
	sta       State
	now       time.Time
	reachable map[string]bool
	lastConn  ConnID
	dialed    map[string]bool
	dropped   []string
}

func newHarness(name, zone string, limits Limits) *harness {
	return &harness{
		sta: State{Name: name, AvailabilityZone: zone, Limits: limits}, now: start,
		reachable: map[string]bool{}, dialed: map[string]bool{},
	}
}

// advance calls Update at each interval and carries out its actions.
func (har *harness) advance(dur time.Duration) {
	for ; dur > 0; dur -= UpdateInterval {
		har.now = har.now.Add(UpdateInterval)
		for _, act := range Update(&har.sta, har.now) {
			switch act := act.(type) {
			case Dial:
				har.dialed[act.Address] = true
			case Drop:
				delete(har.dialed, act.Address)
				har.dropped = append(har.dropped, act.Address)
				har.disconnect(act.Address)
			}
		}
		for adr := range har.dialed {
			if kno := har.sta.Entries[adr]; har.reachable[adr] && (kno == nil || len(kno.Conns) == 0) {
				har.lastConn++
				RecordOpened(&har.sta, har.now, har.lastConn, adr)
			}
		}
	}
}

// disconnect closes the connections to the address.
func (har *harness) disconnect(adr string) {
	for con, other := range har.sta.Conns {
		if other == adr {
			RecordClosed(&har.sta, har.now, con)
		}
	}
}

// lose makes an entry unreachable.
func (har *harness) lose(adr string) {
	har.reachable[adr] = false
	har.disconnect(adr)
}

// connected returns the addresses with an open connection, in order.
func (har *harness) connected() []string {
	var ads []string
	for _, adr := range har.sta.Conns {
		ads = append(ads, adr)
	}
	slices.Sort(ads)
	return ads
}

// learn makes all entries known from the store and reachable.
func (har *harness) learn(ents []rgmodel.Entry) {
	for _, ent := range ents {
		har.reachable[ent.Address] = true
	}
	RecordListed(&har.sta, har.now, ents)
}
