package rgdispatch

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestReportIntervals guards against an entry that requests more reports than its CPU can process, against sidecars of its own zone that
// report less often than those of other zones, and against bytes between zones for reports that come more often than needed.
func TestReportIntervals(t *testing.T) {
	tests := map[string]struct {
		cores         float64
		local, remote int
		// wantInterval is the longest report interval of a sidecar in the entry's zone.
		wantInterval time.Duration
		// wantPrioritized is the number of sidecars in other zones with less than the longest report interval.
		wantPrioritized int
	}{
		"no limit":                      {local: 20, remote: 60, wantInterval: rgmodel.MinReportInterval, wantPrioritized: 60},
		"few sidecars":                  {cores: 0.1, local: 4, remote: 7, wantInterval: 46 * time.Millisecond, wantPrioritized: 7},
		"few sidecars, many cores":      {cores: 0.8, local: 4, remote: 7, wantInterval: rgmodel.MinReportInterval, wantPrioritized: 7},
		"many sidecars, many cores":     {cores: 0.2, local: 17, remote: 35, wantInterval: 80 * time.Millisecond, wantPrioritized: 21},
		"many sidecars, few cores":      {cores: 0.048, local: 17, remote: 35, wantInterval: 148 * time.Millisecond, wantPrioritized: 0},
		"no sidecar in the own zone":    {cores: 0.048, remote: 35, wantPrioritized: 9},
		"more than the CPU can process": {cores: 0.0025, local: 60, wantInterval: maxReportInterval},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.sta.Name, har.sta.AvailabilityZone, har.sta.Limits.Cores = "entry-1", "a", tc.cores
			for i := range tc.local + tc.remote {
				con := har.connectSidecar(fmt.Sprintf("side-%d", i), 1)
				zon := "b"
				if i < tc.local {
					zon = "a"
				}
				UpdateExecutor(&har.sta, con, rgmodel.Executor{Service: "desk", AvailabilityZone: zon})
			}
			updateReportIntervals(&har.sta)
			prioritized := 0
			for _, sc := range har.sta.Sidecars {
				switch {
				case sc.Executor.AvailabilityZone == "a":
					if sc.ReportInterval > tc.wantInterval {
						t.Errorf("%s reports every %v, want at most %v", sc.Name, sc.ReportInterval, tc.wantInterval)
					}
				case tc.cores > 0 && sc.ReportInterval < minOtherZoneInterval:
					t.Errorf("%s of another zone reports every %v, want at least %v", sc.Name, sc.ReportInterval, minOtherZoneInterval)
				case sc.ReportInterval < maxReportInterval:
					prioritized++
				}
			}
			if prioritized != tc.wantPrioritized {
				t.Errorf("%d sidecars of other zones are prioritized, want %d", prioritized, tc.wantPrioritized)
			}
		})
	}
}
