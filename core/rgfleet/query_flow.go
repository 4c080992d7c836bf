package rgfleet

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// FlowLoad returns the number of tasks at the member that a new task of the flow waits for: those in the slots, and those
// of its own flow in the queue. Fair queueing lets it pass the queue of other flows.
func FlowLoad(mem *Member, flo rgmodel.Flow) int {
	own := mem.SentFlows[flo]
	for _, lod := range mem.Report.Flows {
		if lod.Flow == flo {
			own += lod.Queued
		}
	}
	others := mem.Report.Queued + mem.Report.Running + mem.SentSince - own
	return min(others, mem.Sidecar.Capacity.Slots) + own
}

// MeanTime returns the mean of the members' learned service times of a kind of work, or else the declared one.
// It stands in for a member that has not learned the kind: with a declared time that is far too long, the member would
// get no task of the kind, and so would never learn it.
func MeanTime(mems []*Member, kind string, declared time.Duration) time.Duration {
	sum, count := time.Duration(0), 0
	for _, mem := range mems {
		for _, kt := range mem.Report.Times {
			if kt.Kind == kind {
				sum += kt.Mean.Duration
				count++
			}
		}
	}
	if count == 0 {
		return declared
	}
	return sum / time.Duration(count)
}
