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
	if budget <= 0 || float64(len(sta.Members)) <= budget*rgmodel.MinReportInterval.Seconds() {
		for _, mem := range sta.Members {
			mem.ReportInterval = rgmodel.MinReportInterval
		}
		return
	}
	mems := make([]*Member, 0, len(sta.Members))
	near := 0
	for _, mem := range sta.Members {
		mems = append(mems, mem)
		if isNear(sta, mem) {
			near++
		}
	}
	slices.SortFunc(mems, func(one, two *Member) int {
		switch oneNear, twoNear := isNear(sta, one), isNear(sta, two); {
		case oneNear && !twoNear:
			return -1
		case twoNear && !oneNear:
			return 1
		default:
			return cmp.Compare(one.Rank, two.Rank)
		}
	})
	watched := min(max(near, int(budget*usefulInterval.Seconds())), len(mems))
	every := max(rgmodel.MinReportInterval, time.Duration(float64(watched)/budget*float64(time.Second)))
	for i, mem := range mems {
		mem.ReportInterval = distantInterval
		if i < watched {
			mem.ReportInterval = min(every, distantInterval)
		}
	}
}

// isNear says whether the sidecar is in the zone of the entry.
func isNear(sta *State, mem *Member) bool {
	return sta.Zone == "" || mem.Executor.Zone == sta.Zone
}

// rank orders the sidecars of other zones, differently for each entry.
func rank(entry, sidecar string) uint64 {
	hsh := fnv.New64a()
	// Write of a hash never fails.
	_, _ = hsh.Write([]byte(entry + "/" + sidecar))
	return hsh.Sum64()
}
