package rgdispatch

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// reportsPerCore is how many reports a second an entry asks for with each core that it may use. One takes some 15 us
	// of it, so that reports take a few hundredths of the processor.
	reportsPerCore = 1200
	// usefulInterval is how often reports have to come for a busy sidecar. More sidecars are watched as long as that
	// holds.
	usefulInterval = 40 * time.Millisecond
	// distantInterval is how often the other sidecars report. Their tasks and their loss are told at once all the same.
	distantInterval = 300 * time.Millisecond
)

// watch decides how often each sidecar reports its load. The sidecars of the own zone come first, and then as many others
// as the processor can take reports of; each entry watches others of these.
func watch(sta *State) {
	budget := sta.Limits.Cores * reportsPerCore
	if budget <= 0 || float64(len(sta.Sidecars)) <= budget*rgmodel.MinReportInterval.Seconds() {
		for _, sc := range sta.Sidecars {
			sc.ReportInterval = rgmodel.MinReportInterval
		}
		return
	}
	scs := make([]*SidecarConn, 0, len(sta.Sidecars))
	near := 0
	for _, sc := range sta.Sidecars {
		scs = append(scs, sc)
		if isNear(sta, sc) {
			near++
		}
	}
	slices.SortFunc(scs, func(one, two *SidecarConn) int {
		switch oneNear, twoNear := isNear(sta, one), isNear(sta, two); {
		case oneNear && !twoNear:
			return -1
		case twoNear && !oneNear:
			return 1
		default:
			return cmp.Compare(one.Rank, two.Rank)
		}
	})
	watched := min(max(near, int(budget*usefulInterval.Seconds())), len(scs))
	every := max(rgmodel.MinReportInterval, time.Duration(float64(watched)/budget*float64(time.Second)))
	for i, sc := range scs {
		sc.ReportInterval = distantInterval
		if i < watched {
			sc.ReportInterval = min(every, distantInterval)
		}
	}
}

// isNear says whether the sidecar is in the zone of the entry.
func isNear(sta *State, sc *SidecarConn) bool {
	return sta.Zone == "" || sc.Executor.Zone == sta.Zone
}

// rank orders the sidecars of other zones, differently for each entry.
func rank(entry, sidecar string) uint64 {
	hsh := fnv.New64a()
	// Write of a hash never fails.
	_, _ = hsh.Write([]byte(entry + "/" + sidecar))
	return hsh.Sum64()
}
