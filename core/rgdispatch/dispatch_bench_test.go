package rgdispatch

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
)

// benchFleets are the sizes at which the cost of an entry is measured, in order.
var benchFleets = []simLoad{
	{entries: 3, sidecars: 11, zones: 3},
	{entries: 8, sidecars: 52, zones: 3},
	{entries: 35, sidecars: 160, zones: 5},
	{entries: 70, sidecars: 320, zones: 5},
	{entries: 168, sidecars: 5600, zones: 10},
}

// newViewHarness returns an entry of the fleet with the sidecars that select it, of which two of three have free cores.
func newViewHarness(lod simLoad) *harness {
	har := newHarness()
	har.sta.Name, har.sta.AvailabilityZone, har.sta.Limits.Cores = "entry-0", zoneName(0), 0.5
	var ents []rgmodel.Entry
	for i := range lod.entries {
		name := fmt.Sprintf("entry-%d", i)
		ents = append(ents, rgmodel.Entry{Name: name, Address: name, AvailabilityZone: zoneName(i % lod.zones)})
	}
	for i := range lod.sidecars {
		members := rgmembership.State{Name: fmt.Sprintf("side-%d", i), AvailabilityZone: zoneName(i % lod.zones), Limits: boundedViews}
		rgmembership.RecordListed(&members, har.now, ents)
		for _, act := range rgmembership.Update(&members, har.now) {
			if dial, ok := act.(rgmembership.Dial); ok && dial.Address == har.sta.Name {
				har.connectInZone(members.Name, members.AvailabilityZone, i%3 == 0)
			}
		}
	}
	return har
}

func (har *harness) connectInZone(name, zone string, busy bool) {
	con := har.connectSidecar(name, 1)
	exe := har.sta.Sidecars[con].Executor
	exe.AvailabilityZone = zone
	UpdateExecutor(&har.sta, con, exe)
	if busy {
		har.report(con, busyReport(1, 100*time.Millisecond))
	}
}

// BenchmarkEntry measures what an entry spends on a job with 8 tasks and its ends, on a report and on a tick, in fleets of
// growing size.
func BenchmarkEntry(b *testing.B) {
	for _, lod := range benchFleets {
		har := newViewHarness(lod)
		size := fmt.Sprintf("%dSidecars", lod.sidecars)
		b.Run("submit/"+size, func(b *testing.B) {
			for i := range b.N {
				har.submit(1, newRequest(fmt.Sprintf("job-%d", i), 8, 60*time.Millisecond))
				har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
				for _, sc := range har.sta.Sidecars {
					sc.Unreported = sc.Unreported[:0]
				}
				har.efs = nil
			}
			b.ReportMetric(float64(len(har.sta.Sidecars)), "connected")
		})
		con := har.sta.Order[0]
		b.Run("report/"+size, func(b *testing.B) {
			for range b.N {
				har.report(con, rgmodel.ExecutorReport{Usable: true, EarlierRunsEnded: true, Allocatable: rgmodel.Resources{Cores: 8}})
			}
		})
		b.Run("tick/"+size, func(b *testing.B) {
			for range b.N {
				Tick(&har.sta, har.now)
			}
		})
	}
}
