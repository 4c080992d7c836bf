package rgmembership

import (
	"fmt"
	"testing"

	"ragwortgap/core/rgmodel"
)

// BenchmarkMembership measures what a process spends on an update after a change and on a message of a peer without
// changes, in fleets of growing size.
func BenchmarkMembership(b *testing.B) {
	for _, entries := range []int{3, 8, 35, 70, 168} {
		har := newHarness("side-1", "a", Limits{SameZone: DefaultSameZone, OtherZones: DefaultOtherZones})
		har.learn(newFleet(entries, 3))
		har.advance(UpdateInterval)
		ent := rgmodel.Entry{Name: "entry-0", Incarnation: "1", Address: "entry-0:1", AvailabilityZone: "a"}
		b.Run(fmt.Sprintf("update/%dEntries", entries), func(b *testing.B) {
			for range b.N {
				har.sta.Changed = true
				Update(&har.sta, har.now)
			}
		})
		b.Run(fmt.Sprintf("message/%dEntries", entries), func(b *testing.B) {
			for range b.N {
				RecordSeen(&har.sta, har.now, 1, ent)
				RecordMentions(&har.sta, har.now, 1, nil, nil, false)
				ChangesSince(&har.sta, har.sta.Version)
			}
		})
	}
}
