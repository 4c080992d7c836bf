package rgqueue

import (
	"math"
	"time"

	"ragwortgap/core/rgmodel"
)

// rounding is far above the error of a sum of a few hundred floats and far below a slot.
const rounding = 1e-9

// heldFlows returns the flows with waiting tasks that may not take a free slot now: those that have their share of the
// slots and whose next task is long, while the free slots are no more than other flows are likely to need.
func heldFlows(sta *State) map[rgmodel.Flow]bool {
	var held map[rgmodel.Flow]bool
	free := sta.Self.Capacity.Slots - sta.Running
	for key, flo := range sta.Flows {
		if len(flo.Waiting) == 0 {
			continue
		}
		factor := ReserveFactor(serviceTime(sta, key.Kind, flo.Waiting[0].RunTime))
		if factor == 0 {
			continue
		}
		if share, rsv := reserved(sta, key, factor); float64(flo.Running) >= share && free <= rsv {
			if held == nil {
				held = map[rgmodel.Flow]bool{}
			}
			held[key] = true
		}
	}
	return held
}

// reserved returns the flow's share of the slots and the number of free slots that other flows are likely to need. Each of
// them gets a multiple of what it has used recently, but no more than its share among the recently active flows.
func reserved(sta *State, key rgmodel.Flow, factor float64) (float64, int) {
	own := sta.Flows[key].Weight
	total := own
	for oth, flo := range sta.Flows {
		if oth != key && active(flo) {
			total += flo.Weight
		}
	}
	unit := float64(sta.Self.Capacity.Slots) / float64(total)
	need := 0.0
	for oth, flo := range sta.Flows {
		if oth != key && active(flo) {
			need += max(0, min(unit*float64(flo.Weight), factor*flo.Usage)-float64(flo.Running))
		}
	}
	// The sum depends on the order of the flows in its last digits only.
	return unit * float64(own), int(math.Ceil(need - rounding))
}

// ReserveFactor returns how many slots a sidecar leaves free when a task of the service time wants to start, as a multiple
// of what other flows have used recently.
func ReserveFactor(tim time.Duration) float64 {
	switch {
	case tim > VeryLongTaskThreshold:
		return veryLongFactor
	case tim > LongTaskThreshold:
		return 1
	default:
		return 0
	}
}

func active(flo *Flow) bool {
	return flo.Usage >= minUsage || flo.Running > 0 || len(flo.Waiting) > 0
}
