package rgring

import (
	"fmt"
	"testing"

	"ragwortgap/core/rgmodel"
)

// TestNear guards against keys without an entry, and against entries that are near to most of the keys.
func TestNear(t *testing.T) {
	tests := map[string]struct{ entries, num, want int }{
		"alone":     {1, 2, 1},
		"two":       {2, 2, 2},
		"ten":       {10, 2, 2},
		"only home": {10, 1, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			const keys = 1000
			var rng rgmodel.Ring
			for i := range tc.entries {
				rng.Entries = append(rng.Entries, rgmodel.Entry{Name: fmt.Sprint("entry", i)})
			}
			load := map[string]int{}
			for i := range keys {
				key, near := fmt.Sprint("sidecar", i), 0
				for _, ent := range rng.Entries {
					if RanksWithin(rng, ent, key, tc.num) {
						near++
						load[ent.Name]++
					}
				}
				if hom, _ := Home(rng, rgmodel.SubmissionID(key)); near != tc.want || !RanksWithin(rng, hom, key, 1) {
					t.Fatalf("%s has %d near entries, want %d, the home among them", key, near, tc.want)
				}
			}
			for ent, cnt := range load {
				if most := 2 * keys * tc.want / tc.entries; cnt > most {
					t.Errorf("%s is near to %d keys, want at most %d", ent, cnt, most)
				}
			}
			if RanksWithin(rng, rgmodel.Entry{Name: "other"}, "sidecar0", tc.num) {
				t.Error("an entry outside the ring is near")
			}
		})
	}
}
