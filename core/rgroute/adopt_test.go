package rgroute

import "testing"

// TestAdopt guards against a configuration in force that is replaced by an older version.
func TestAdopt(t *testing.T) {
	tests := map[string]struct {
		cur, offered *Config
		want         uint64
		wantAdopted  bool
	}{
		"first": {offered: &Config{Version: 3}, want: 3, wantAdopted: true},
		"newer": {cur: &Config{Version: 3}, offered: &Config{Version: 9}, want: 9, wantAdopted: true},
		"same":  {cur: &Config{Version: 3}, offered: &Config{Version: 3}, want: 3},
		"older": {cur: &Config{Version: 3}, offered: &Config{Version: 2}, want: 3},
		"none":  {cur: &Config{Version: 3}, want: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, adopted := Adopt(tc.cur, tc.offered)
			if got.Version != tc.want || adopted != tc.wantAdopted {
				t.Errorf("version %d, adopted %v", got.Version, adopted)
			}
		})
	}
}
