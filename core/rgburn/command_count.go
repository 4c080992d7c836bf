package rgburn

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// CountJob counts a job that ended at the given time.
func CountJob(sta *State, flow rgmodel.Flow, cls Class, now time.Time) {
	if cls == Excluded {
		return
	}
	num := bucketNumber(now)
	flo := findOrAddFlow(sta, flow)
	flo.Newest = max(flo.Newest, num)
	slt := &flo.Buckets[num%int64(bucketCount)]
	switch {
	case slt.Number < num:
		*slt = Bucket{Number: num}
	case slt.Number > num:
		// The clock was set back by about the long window or more, so the bucket holds the counts of a later time.
		return
	}
	switch cls {
	case Good:
		slt.Counts.Good++
	case Late:
		slt.Counts.Late++
	case Refused:
		slt.Counts.Refused++
	case Failed:
		slt.Counts.Failed++
	default:
		slt.Counts.MayHaveRun++
	}
}

// Expire deletes the flows without a job in the long window.
func Expire(sta *State, now time.Time) {
	for key, flo := range sta.Flows {
		if flo.Newest <= bucketNumber(now)-int64(bucketCount) {
			delete(sta.Flows, key)
		}
	}
}

func findOrAddFlow(sta *State, key rgmodel.Flow) *FlowHistory {
	if sta.Flows == nil {
		sta.Flows = map[rgmodel.Flow]*FlowHistory{}
	}
	if sta.Flows[key] == nil && len(sta.Flows) >= MaxFlows-1 {
		key = Overflow
	}
	flo := sta.Flows[key]
	if flo == nil {
		flo = &FlowHistory{}
		sta.Flows[key] = flo
	}
	return flo
}

func bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(BucketTime)
}
