package rgentry_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	// changeCount is the number of changes measured at each size.
	changeCount = 20
	// idleWindow is how long the calls to the store are counted while nothing changes.
	idleWindow = 10 * time.Second
)

// BenchmarkConfigInForce measures the time from the acceptance of a change by the store until it is in force at all
// entries, and until the reports of all sidecars show it, and the calls to the store while idle and per change.
// One process in five is an entry.
func BenchmarkConfigInForce(b *testing.B) {
	var sizes, entries, all, idle, change []float64
	for _, num := range []int{1, 5, 10, 20, 50} {
		ents := max(1, num/5)
		b.Run(fmt.Sprintf("instances=%d", num), func(b *testing.B) {
			sys := startSystem(b, ents, num-ents)
			calls := sys.callCount()
			// The rate is measured, so the benchmark has to wait for the whole window.
			<-time.After(idleWindow)
			idleRate := float64(sys.callCount()-calls) / idleWindow.Seconds()
			var atEntries, atAll, longest time.Duration
			calls = sys.callCount()
			began := time.Now()
			for i := range changeCount {
				toEntries, toAll := sys.timeChange(i)
				atEntries, atAll, longest = atEntries+toEntries, atAll+toAll, max(longest, toAll)
			}
			perChange := (float64(sys.callCount()-calls) - idleRate*time.Since(began).Seconds()) / changeCount
			ms := func(dur time.Duration) float64 { return dur.Seconds() * 1000 }
			b.ReportMetric(ms(atEntries)/changeCount, "msEntries")
			b.ReportMetric(ms(atAll)/changeCount, "msAll")
			b.ReportMetric(ms(longest), "msAllLongest")
			b.ReportMetric(idleRate, "storeCalls/s")
			b.ReportMetric(perChange, "storeCalls/change")
			if num == ents {
				// Without a sidecar there is no report to wait for.
				return
			}
			sizes, entries = append(sizes, float64(num)), append(entries, float64(ents))
			all, idle, change = append(all, ms(atAll)/changeCount), append(idle, idleRate), append(change, perChange)
		})
	}
	if len(sizes) < 2 {
		return
	}
	b.Run("slopes", func(b *testing.B) {
		b.ReportMetric(slope(sizes, all), "msAll/instance")
		b.ReportMetric(slope(entries, idle), "storeCalls/s/entry")
		b.ReportMetric(slope(entries, change), "storeCalls/change/entry")
		b.ReportMetric(0, "ns/op")
	})
}

// timeChange writes a change to the store and returns the times until all entries, and all processes, have it.
func (sys *system) timeChange(num int) (entries, all time.Duration) {
	rev := sys.applyChange(team, fmt.Sprint("change", num), float64(num+1))
	began := time.Now()
	sys.waitUntil("configuration at entries", func() bool {
		for _, ent := range sys.entries {
			if ent.View().Teams[team].Revision != rev {
				return false
			}
		}
		return true
	})
	entries = time.Since(began)
	sys.waitInForce(team, rev)
	return entries, time.Since(began)
}

// callCount returns the number of calls to the store.
func (sys *system) callCount() int {
	sum := 0
	for _, cnt := range sys.store.Calls() {
		sum += cnt
	}
	return sum
}

// slope returns the slope of the least-squares line.
func slope(xs, ys []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy, sxx, sxy = sx+xs[i], sy+ys[i], sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	num := float64(len(xs))
	return (num*sxy - sx*sy) / (num*sxx - sx*sx)
}
