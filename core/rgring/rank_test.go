package rgring

import (
	"fmt"
	"testing"

	"ragwortgap/core/rgmodel"
)

// TestRanksWithin guards against a key for which the wrong number of entries rank within the limit, and against entries
// that rank within it for most keys.
func TestRanksWithin(t *testing.T) {
	tests := map[string]struct{ entries, limit, want int }{
		"one entry":   {1, 2, 1},
		"two entries": {2, 2, 2},
		"ten entries": {10, 2, 2},
		"only home":   {10, 1, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			const keys = 1000
			var rng rgmodel.Ring
			for i := range tc.entries {
				rng.Entries = append(rng.Entries, rgmodel.Entry{Name: fmt.Sprint("entry", i)})
			}
			keysByEntry := map[string]int{}
			for i := range keys {
				key, ranked := fmt.Sprint("sidecar", i), 0
				for _, ent := range rng.Entries {
					if RanksWithin(rng, ent, key, tc.limit) {
						ranked++
						keysByEntry[ent.Name]++
					}
				}
				if hom, _ := Home(rng, rgmodel.SubmissionID(key)); ranked != tc.want || !RanksWithin(rng, hom, key, 1) {
					t.Fatalf("%d entries rank within %d for %s, want %d including the home", ranked, tc.limit, key, tc.want)
				}
			}
			for ent, cnt := range keysByEntry {
				if most := 2 * keys * tc.want / tc.entries; cnt > most {
					t.Errorf("%s ranks within the limit for %d keys, want at most %d", ent, cnt, most)
				}
			}
			if RanksWithin(rng, rgmodel.Entry{Name: "other"}, "sidecar0", tc.limit) {
				t.Error("an entry outside the ring ranks within the limit")
			}
		})
	}
}
