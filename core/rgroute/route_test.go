package rgroute

import "testing"

// TestAdopt guards against a configuration that goes back to an older version, whatever source it comes from.
func TestAdopt(t *testing.T) {
	tests := map[string]struct {
		cur, offered *Config
		want         uint64
		news         bool
	}{
		"first":     {offered: &Config{Version: 3}, want: 3, news: true},
		"newer":     {cur: &Config{Version: 3}, offered: &Config{Version: 9}, want: 9, news: true},
		"same":      {cur: &Config{Version: 3}, offered: &Config{Version: 3}, want: 3},
		"older":     {cur: &Config{Version: 3}, offered: &Config{Version: 2}, want: 3},
		"none come": {cur: &Config{Version: 3}, want: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, news := Adopt(tc.cur, tc.offered)
			if got.Version != tc.want || news != tc.news {
				t.Errorf("version %d, news %v", got.Version, news)
			}
		})
	}
}
