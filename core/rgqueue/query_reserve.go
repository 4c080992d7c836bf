package rgqueue

import (
	"math"
	"time"

	"ragwortgap/core/rgmodel"
)

// roundingTolerance is far above the rounding error of a sum of a few hundred floats and far below one slot.
const roundingTolerance = 1e-9

// throttledFlows returns the flows with queued tasks that may not take a free slot now: their next task is long, they
// already use their share of the slots, and other flows are likely to need all free slots.
func throttledFlows(sta *State) map[rgmodel.Flow]bool {
	var throttled map[rgmodel.Flow]bool
	free := sta.Self.Capacity.Slots - sta.Running
	for key, flo := range sta.Flows {
		if len(flo.Queue) == 0 {
			continue
		}
		factor := ReserveFactor(serviceTime(sta, key.Kind, flo.Queue[0].RunTime))
		if factor == 0 {
			continue
		}
		if share, rsv := shareAndReserve(sta, key, factor); float64(flo.Running) >= share && free <= rsv {
			if throttled == nil {
				throttled = map[rgmodel.Flow]bool{}
			}
			throttled[key] = true
		}
	}
	return throttled
}

// shareAndReserve returns the flow's share of the slots, and the number of free slots to reserve because other flows are
// likely to need them. Each other flow needs a multiple of its recent usage, limited to its share among the active flows.
func shareAndReserve(sta *State, key rgmodel.Flow, factor float64) (float64, int) {
	own := sta.Flows[key].Weight
	total := own
	for other, flo := range sta.Flows {
		if other != key && isActive(flo) {
			total += flo.Weight
		}
	}
	slotsPerWeight := float64(sta.Self.Capacity.Slots) / float64(total)
	need := 0.0
	for other, flo := range sta.Flows {
		if other != key && isActive(flo) {
			need += max(0, min(slotsPerWeight*float64(flo.Weight), factor*flo.Usage)-float64(flo.Running))
		}
	}
	// The last digits of the sum depend on map order. The tolerance keeps the result from depending on it too.
	return slotsPerWeight * float64(own), int(math.Ceil(need - roundingTolerance))
}

// ReserveFactor returns how many slots a sidecar leaves free when it starts a task with the given service time, as a
// multiple of the recent usage of other flows.
func ReserveFactor(tim time.Duration) float64 {
	switch {
	case tim > VeryLongTaskThreshold:
		return veryLongReserveFactor
	case tim > LongTaskThreshold:
		return 1
	default:
		return 0
	}
}

func isActive(flo *FlowState) bool {
	return flo.Usage >= minUsage || flo.Running > 0 || len(flo.Queue) > 0
}
