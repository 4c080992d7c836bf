package rgdispatch

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestWatch guards against an entry that asks for more reports than its processor can take, and against sidecars of its
// own zone that it knows less of than of others.
func TestWatch(t *testing.T) {
	tests := map[string]struct {
		cores     float64
		near, far int
		// wantNear and wantFar are the most reports a second of one sidecar of either kind, wantWatched how many far ones
		// report more often than distant ones.
		wantNear    time.Duration
		wantWatched int
	}{
		"no limit":                     {near: 20, far: 60, wantNear: rgmodel.MinReportInterval, wantWatched: 60},
		"few sidecars":                 {cores: 0.4, near: 4, far: 7, wantNear: rgmodel.MinReportInterval, wantWatched: 7},
		"many sidecars, large entry":   {cores: 0.8, near: 17, far: 35, wantNear: 40 * time.Millisecond, wantWatched: 21},
		"many sidecars, small entry":   {cores: 0.192, near: 17, far: 35, wantNear: 75 * time.Millisecond, wantWatched: 0},
		"no sidecar in the own zone":   {cores: 0.192, far: 35, wantWatched: 9},
		"as many as can be ever asked": {cores: 0.01, near: 60, wantNear: distantInterval},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench()
			bnc.sta.Name, bnc.sta.Zone, bnc.sta.Limits.Cores = "entry-1", "a", tc.cores
			for i := range tc.near + tc.far {
				con := bnc.sidecar(fmt.Sprintf("side-%d", i), 1)
				zon := "b"
				if i < tc.near {
					zon = "a"
				}
				UpdateExecutor(&bnc.sta, con, rgmodel.Executor{Service: "desk", Zone: zon})
			}
			watch(&bnc.sta)
			watched := 0
			for _, sc := range bnc.sta.Sidecars {
				switch {
				case sc.Executor.Zone == "a":
					if sc.ReportInterval > tc.wantNear {
						t.Errorf("%s reports every %v, want %v", sc.Name, sc.ReportInterval, tc.wantNear)
					}
				case sc.ReportInterval < distantInterval:
					watched++
				}
			}
			if watched != tc.wantWatched {
				t.Errorf("%d sidecars of other zones are watched, want %d", watched, tc.wantWatched)
			}
		})
	}
}
