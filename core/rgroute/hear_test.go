package rgroute

import (
	"testing"
	"time"
)

// TestHear guards against a large configuration that every entry sends to every other one, and against an entry that the
// store turns away and that never gets it.
func TestHear(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		cur     *Config
		version uint64
		at      []time.Duration
		want    int
	}{
		"same version":           {cur: &Config{Version: 3}, version: 3, at: []time.Duration{0, time.Second}},
		"older version":          {cur: &Config{Version: 3}, version: 2, at: []time.Duration{0, time.Second}},
		"peer without any":       {at: []time.Duration{0, time.Second}},
		"newer, heard just now":  {cur: &Config{Version: 3}, version: 4, at: []time.Duration{0, 100 * time.Millisecond}},
		"newer, store is silent": {cur: &Config{Version: 3}, version: 4, at: []time.Duration{0, 300 * time.Millisecond}, want: 1},
		"none, store is silent":  {version: 4, at: []time.Duration{0, 300 * time.Millisecond}, want: 1},
		"asked one, told by others": {
			version: 4, at: []time.Duration{0, 300 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond}, want: 1,
		},
		"the one that was asked is lost": {version: 4, at: []time.Duration{0, 300 * time.Millisecond, time.Second}, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lag, asked := VersionLag{}, 0
			for _, at := range tc.at {
				if ObserveVersion(&lag, now.Add(at), tc.cur, tc.version) {
					asked++
				}
			}
			if asked != tc.want {
				t.Errorf("asked %d times, want %d", asked, tc.want)
			}
		})
	}
}

// TestBehindEnds guards against an entry that asks at once for each version after the first one, without waiting for the
// store.
func TestBehindEnds(t *testing.T) {
	now, lag := time.Unix(1000, 0), VersionLag{}
	ObserveVersion(&lag, now, nil, 4)
	ResetLag(&lag)
	if ObserveVersion(&lag, now.Add(time.Second), &Config{Version: 4}, 5) {
		t.Error("asked for a version that was heard of just now")
	}
}
