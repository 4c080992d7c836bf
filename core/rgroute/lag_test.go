package rgroute

import (
	"testing"
	"time"
)

// TestObserveVersion guards against entries that all transfer a large configuration to each other, and against an entry that
// never receives a new version because the store does not send it.
func TestObserveVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		cur     *Config
		version uint64
		at      []time.Duration
		want    int
	}{
		"same version":         {cur: &Config{Version: 3}, version: 3, at: []time.Duration{0, time.Second}},
		"older version":        {cur: &Config{Version: 3}, version: 2, at: []time.Duration{0, time.Second}},
		"peer without version": {at: []time.Duration{0, time.Second}},
		"newer, just observed": {cur: &Config{Version: 3}, version: 4, at: []time.Duration{0, 100 * time.Millisecond}},
		"newer, store silent":  {cur: &Config{Version: 3}, version: 4, at: []time.Duration{0, 300 * time.Millisecond}, want: 1},
		"none, store silent":   {version: 4, at: []time.Duration{0, 300 * time.Millisecond}, want: 1},
		"requested once, observed again": {
			version: 4, at: []time.Duration{0, 300 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond}, want: 1,
		},
		"no reply to the request": {version: 4, at: []time.Duration{0, 300 * time.Millisecond, time.Second}, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lag, requests := VersionLag{}, 0
			for _, after := range tc.at {
				if ObserveVersion(&lag, now.Add(after), tc.cur, tc.version) {
					requests++
				}
			}
			if requests != tc.want {
				t.Errorf("requested %d times, want %d", requests, tc.want)
			}
		})
	}
}

// TestResetLag guards against an entry that requests a new version at once instead of waiting for the store, because it
// still counts the time since it learned of the version before.
func TestResetLag(t *testing.T) {
	now, lag := time.Unix(1000, 0), VersionLag{}
	ObserveVersion(&lag, now, nil, 4)
	ResetLag(&lag)
	if ObserveVersion(&lag, now.Add(time.Second), &Config{Version: 4}, 5) {
		t.Error("requested a version that was just observed")
	}
}
