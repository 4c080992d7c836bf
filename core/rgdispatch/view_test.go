package rgdispatch

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmembership"
)

var boundedViews = rgmembership.Limits{SameZone: rgmembership.DefaultSameZone, OtherZones: rgmembership.DefaultOtherZones}

// TestBoundedViews guards against executors that stay idle while jobs wait or are refused, because the entries that get the jobs
// are connected to other sidecars: under overload and at high load, with entries that get far more jobs than others, with the
// executors of a zone lost, and with executors that are added empty. Each case is compared with entries that know all sidecars.
func TestBoundedViews(t *testing.T) {
	tests := map[string]simLoad{
		"3 entries, 11 sidecars, overload":  {entries: 3, sidecars: 11, zones: 3, load: 1.3},
		"8 entries, 52 sidecars, overload":  {entries: 8, sidecars: 52, zones: 3, load: 1.3},
		"35 entries, overload":              {entries: 35, sidecars: 160, zones: 5, load: 1.3},
		"35 entries, uneven":                {entries: 35, sidecars: 160, zones: 5, load: 0.8, weight: unevenWeight},
		"35 entries, most jobs in one zone": {entries: 35, sidecars: 160, zones: 5, load: 0.8, weight: weightOfZone(5, 4)},
		"35 entries, a zone's executors lost": {
			entries: 35, sidecars: 160, zones: 5, load: 0.8, lostZone: "a",
		},
		"35 entries, executors added": {entries: 35, sidecars: 120, zones: 5, load: 1.2, added: 40},
	}
	for name, lod := range tests {
		t.Run(name, func(t *testing.T) {
			lod.duration = 1500 * time.Millisecond
			full := runSimulation(lod)
			lod.limits = boundedViews
			bounded := runSimulation(lod)
			t.Logf("full: %s", full)
			t.Logf("bounded: %s", bounded)
			if bounded.utilization() < 0.95*full.utilization() {
				t.Errorf("%.3f of the cores used, want at least 0.95 of %.3f", bounded.utilization(), full.utilization())
			}
			if bounded.onTimePart() < full.onTimePart()-0.02 {
				t.Errorf("%.3f of the jobs on time, want at most 0.02 less than %.3f", bounded.onTimePart(), full.onTimePart())
			}
		})
	}
}

// unevenWeight gives an entry up to four times as many jobs as another one.
func unevenWeight(i int) float64 { return float64(1 + i%4) }

// weightOfZone gives the entries of the first of several zones more jobs than the others.
func weightOfZone(zones int, weight float64) func(int) float64 {
	return func(i int) float64 {
		if i%zones == 0 {
			return weight
		}
		return 1
	}
}

func (sim *simulation) onTimePart() float64 { return float64(sim.onTime) / float64(max(1, sim.jobs)) }

// String returns the figures of the simulation for the log.
func (sim *simulation) String() string {
	const format = "%.3f of the cores used, %.4f of the jobs on time, %.4f refused, p50 %.2f and p99 %.2f of the estimate, " +
		"%.2f messages a task"
	return fmt.Sprintf(format, sim.utilization(), sim.onTimePart(), float64(sim.refused)/float64(max(1, sim.jobs)),
		sim.quantile(0.5), sim.quantile(0.99), float64(sim.messages)/float64(max(1, sim.tasks)))
}
