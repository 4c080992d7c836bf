package rgdispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// deployment1 has callers that at times compete for too little capacity.
func deployment1() contentionLoad {
	return contentionLoad{
		zones: 4, entries: 10, sidecars: 61, rack: 7, cores: 16, taskCores: 1.4, remoteFactor: 3,
		scale: 1, duration: 47 * time.Second, seed: 1,
		routes: []contentionRoute{
			{name: "A", rate: 206, tasks: 8, maxTasks: 32, meanRun: 60 * ms, maxRun: 240 * ms},
			{name: "B", rate: 600, tasks: 2, maxTasks: 8, meanRun: 200 * ms, maxRun: 800 * ms},
			{name: "C", rate: 37.5, tasks: 4, maxTasks: 16, meanRun: 900 * ms, maxRun: 3600 * ms},
		},
	}
}

// deployment2 has uneven executors and demand that rises and falls in each zone.
func deployment2() contentionLoad {
	return contentionLoad{
		zones: 3, entries: 12, sidecars: 68, rack: 8, cores: 64, taskCores: 6.4, unevenCores: true,
		remoteFactor: 1.5, wave: 0.55, scale: 1,
		duration: 47 * time.Second, seed: 1,
		routes: []contentionRoute{
			{name: "A", rate: 181, tasks: 8, maxTasks: 32, meanRun: 51 * ms, maxRun: 540 * ms},
			{name: "B", rate: 529, tasks: 2, maxTasks: 8, meanRun: 170 * ms, maxRun: 1800 * ms},
			{name: "C", rate: 33, tasks: 4, maxTasks: 16, meanRun: 760 * ms, maxRun: 8100 * ms},
		},
	}
}

// quarter returns the load on a quarter of the fleet.
func quarter(lod contentionLoad, scale float64) contentionLoad {
	lod.entries, lod.sidecars, lod.rack, lod.scale, lod.duration = lod.entries/2, lod.sidecars/4, lod.rack/3, scale/4, 25*time.Second
	return lod
}

// TestCapacityUnderContention guards against a route or a size of jobs that is starved while callers compete for too little capacity. The
// multiples are those of the rates of the deployment.
func TestCapacityUnderContention(t *testing.T) {
	// minServed is the part of the jobs of each route that has to be served.
	const minServed = 0.8
	tests := map[string]contentionLoad{
		"deployment 1, bursts above the capacity":           quarter(deployment1(), 1.35),
		"deployment 2, waves and bursts above the capacity": quarter(deployment2(), 1.7),
	}
	for name, lod := range tests {
		t.Run(name, func(t *testing.T) {
			con := runContention(lod)
			t.Log(con.figures())
			for r, rte := range lod.routes {
				jbs := con.jobsOf(r)
				all := servedPart(jbs)
				if all < minServed {
					t.Errorf("route %s: %.3f of the jobs served, want %.2f", rte.name, all, minServed)
				}
				n := len(jbs)
				for part, got := range map[string]float64{
					"largest tenth": servedPart(jbs[9*n/10:]), "fifth below it": servedPart(jbs[7*n/10 : 9*n/10]),
				} {
					if got < all/2 {
						t.Errorf("route %s, %s: %.3f of the jobs served, want half of %.3f", rte.name, part, got, all)
					}
				}
			}
		})
	}
}

// BenchmarkContention reports the part of the jobs of each route that are served by the whole fleet, and logs all figures, to compare
// decisions.
func BenchmarkContention(b *testing.B) {
	for name, lod := range map[string]contentionLoad{"deployment 1": deployment1(), "deployment 2": deployment2()} {
		for _, multiple := range []float64{1, 1.3, 1.8} {
			b.Run(fmt.Sprintf("%s times %.1f", name, multiple), func(b *testing.B) {
				lod.scale = multiple
				for b.Loop() {
					con := runContention(lod)
					b.Log(con.figures())
					for r, rte := range lod.routes {
						b.ReportMetric(servedPart(con.jobsOf(r)), rte.name+"-served")
					}
				}
			})
		}
	}
}

// jobsOf returns the jobs of a route whose outcome is known, by size.
func (con *contention) jobsOf(route int) []*contentionJob {
	var jbs []*contentionJob
	for _, jb := range con.order {
		if jb.route == route && jb.arrived.Before(con.begin.Add(con.lod.duration-13*time.Second)) {
			jbs = append(jbs, jb)
		}
	}
	slices.SortStableFunc(jbs, func(one, two *contentionJob) int { return cmp.Compare(one.size, two.size) })
	return jbs
}

// figures returns the outcomes by route and by decile of the size of the jobs.
func (con *contention) figures() string {
	var out strings.Builder
	cores := 0.0
	for _, sc := range con.sidecars {
		cores += sc.cores
	}
	fmt.Fprintf(&out, "\nutilization %.2f\n", con.used/cores/con.lod.duration.Seconds())
	for r, rte := range con.lod.routes {
		jbs := con.jobsOf(r)
		fmt.Fprintf(&out, "%s %s\n  by decile:", rte.name, partsOf(jbs))
		for d := range 10 {
			fmt.Fprintf(&out, " %.2f", servedPart(jbs[d*len(jbs)/10:(d+1)*len(jbs)/10]))
		}
		out.WriteString("\n")
		jbs = slices.DeleteFunc(jbs, func(jb *contentionJob) bool { return jb.straggler })
		fmt.Fprintf(&out, "  without stragglers: %s\n", partsOf(jbs))
	}
	for _, key := range slices.Sorted(maps.Keys(con.counts)) {
		fmt.Fprintf(&out, "  %s: %d\n", key, con.counts[key])
	}
	return out.String()
}

func partsOf(jbs []*contentionJob) string {
	sums := map[string]int{}
	for _, jb := range jbs {
		sums[jb.outcome]++
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%d jobs, served %.3f:", len(jbs), servedPart(jbs))
	for _, key := range []string{"onTime", "late", "tooLate", "refused", "failed", "open"} {
		fmt.Fprintf(&out, " %s %.3f", key, float64(sums[key])/float64(max(1, len(jbs))))
	}
	return out.String()
}

// servedPart returns the part of the jobs that have ended on time, or late within three times the limit.
func servedPart(jbs []*contentionJob) float64 {
	sum := 0
	for _, jb := range jbs {
		if jb.outcome == "onTime" || jb.outcome == "late" {
			sum++
		}
	}
	return float64(sum) / float64(max(1, len(jbs)))
}
