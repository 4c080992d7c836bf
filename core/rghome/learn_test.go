package rghome

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestLearnBeforeRing guards against a zero state that cannot take in what another entry knows: an entry that starts
// while the store is down learns before it has adopted a ring.
func TestLearnBeforeRing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]Knowledge{
		"nothing":    {},
		"suspects":   {Suspects: []string{"other-1"}},
		"sidecars":   {Sidecars: []rgmodel.Sidecar{{Name: "sidecar", Incarnation: "sidecar-1"}}},
		"departures": {Departed: []rgmodel.Departure{{Sidecar: rgmodel.SidecarKey{Name: "sidecar"}, At: now}}},
		"horizon":    {Horizon: now},
	}
	for name, kno := range tests {
		t.Run(name, func(t *testing.T) {
			var sta State
			Learn(&sta, kno, now)
			got := Tell(&sta)
			if len(got.Suspects) != len(kno.Suspects) || len(got.Sidecars) != len(kno.Sidecars) || len(got.Departed) != len(kno.Departed) {
				t.Errorf("got %+v, want %+v", got, kno)
			}
			if got.Horizon.Before(kno.Horizon) {
				t.Errorf("horizon %v, want at least %v", got.Horizon, kno.Horizon)
			}
		})
	}
}
