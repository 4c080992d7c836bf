package rgburn

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// CountJob counts a job that ended at the time given.
func CountJob(sta *State, flow rgmodel.Flow, cls Class, now time.Time) {
	if cls == Uncounted {
		return
	}
	num := slotNumber(now)
	flo := open(sta, flow)
	flo.Newest = max(flo.Newest, num)
	slo := &flo.Slots[num%int64(slotCount)]
	switch {
	case slo.Number < num:
		*slo = Slot{Number: num}
	case slo.Number > num:
		// The clock was set back by more than the long window; the slot is in use for a later time.
		return
	}
	switch cls {
	case Good:
		slo.Counts.Good++
	case Late:
		slo.Counts.Late++
	case Refused:
		slo.Counts.Refused++
	case Failed:
		slo.Counts.Failed++
	default:
		slo.Counts.MayHaveRun++
	}
}

// Expire forgets the flows without a job in the long window.
func Expire(sta *State, now time.Time) {
	for key, flo := range sta.Flows {
		if flo.Newest <= slotNumber(now)-int64(slotCount) {
			delete(sta.Flows, key)
		}
	}
}

func open(sta *State, key rgmodel.Flow) *Flow {
	if sta.Flows == nil {
		sta.Flows = map[rgmodel.Flow]*Flow{}
	}
	if sta.Flows[key] == nil && len(sta.Flows) >= MaxFlows-1 {
		key = Overflow
	}
	flo := sta.Flows[key]
	if flo == nil {
		flo = &Flow{}
		sta.Flows[key] = flo
	}
	return flo
}

func slotNumber(now time.Time) int64 {
	return now.UnixNano() / int64(SlotTime)
}
