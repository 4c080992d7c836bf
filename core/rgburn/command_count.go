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
	his := findOrAddFlow(sta, flow)
	his.Newest = max(his.Newest, num)
	buc := &his.Buckets[num%int64(bucketCount)]
	switch {
	case buc.Number < num:
		*buc = Bucket{Number: num}
	case buc.Number > num:
		// The clock was set back by about the long window or more, so the bucket holds the counts of a later time.
		return
	}
	switch cls {
	case Good:
		buc.Counts.Good++
	case Late:
		buc.Counts.Late++
	case Refused:
		buc.Counts.Refused++
	case Failed:
		buc.Counts.Failed++
	default:
		buc.Counts.MayHaveRun++
	}
}

// Expire deletes the flows without a job in the long window.
func Expire(sta *State, now time.Time) {
	for key, his := range sta.Flows {
		if his.Newest <= bucketNumber(now)-int64(bucketCount) {
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
	his := sta.Flows[key]
	if his == nil {
		his = &FlowHistory{}
		sta.Flows[key] = his
	}
	return his
}

func bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(BucketTime)
}
