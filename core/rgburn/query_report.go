package rgburn

import (
	"cmp"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// Report returns the error budgets of all flows, ordered by team and kind. Objectives come from the teams'
// configurations.
func Report(sta *State, teams map[string]rgmodel.TeamConfig, now time.Time) []FlowReport {
	reps := make([]FlowReport, 0, len(sta.Flows))
	for key, his := range sta.Flows {
		kc, _ := teams[key.Team].Kind(key.Kind)
		reps = append(reps, flowReport(key, his, Objective(kc), bucketNumber(now)))
	}
	sortReports(reps)
	return reps
}

// Objective returns the fraction of jobs of the kind that have to be good.
func Objective(kc rgmodel.KindConfig) float64 {
	if kc.Objective <= 0 {
		return DefaultObjective
	}
	return min(kc.Objective, MaxObjective)
}

// Sum adds up the reports of several entries. If the entries have different objectives for a flow, the strictest applies.
func Sum(lists ...[]FlowReport) []FlowReport {
	sums := map[rgmodel.Flow]FlowReport{}
	for _, lis := range lists {
		for _, rep := range lis {
			sum := sums[rep.Flow]
			sum.Flow = rep.Flow
			sum.Objective = max(sum.Objective, rep.Objective)
			sum.Short.Counts = addCounts(sum.Short.Counts, rep.Short.Counts)
			sum.Long.Counts = addCounts(sum.Long.Counts, rep.Long.Counts)
			sum.Intervals = sumIntervals(sum.Intervals, rep.Intervals)
			sums[rep.Flow] = sum
		}
	}
	reps := make([]FlowReport, 0, len(sums))
	for _, sum := range sums {
		reps = append(reps, fillBurnRates(sum))
	}
	sortReports(reps)
	return reps
}

// Bad returns the number of jobs that were not good.
func (cnt Counts) Bad() uint32 {
	return cnt.Late + cnt.Refused + cnt.Failed + cnt.MayHaveRun
}

func flowReport(key rgmodel.Flow, his *FlowHistory, objective float64, newest int64) FlowReport {
	rep := FlowReport{Flow: key, Objective: objective, Intervals: make([]Interval, int64(bucketCount)/shortBuckets)}
	for i := range rep.Intervals {
		back := int64(len(rep.Intervals)-1-i) * shortBuckets
		rep.Intervals[i].End = time.Unix(0, (newest-back+1)*int64(BucketTime)).UTC()
	}
	for _, buc := range his.Buckets {
		age := newest - buc.Number
		if age < 0 || age >= int64(bucketCount) {
			continue
		}
		rep.Long.Counts = addCounts(rep.Long.Counts, buc.Counts)
		if age < shortBuckets {
			rep.Short.Counts = addCounts(rep.Short.Counts, buc.Counts)
		}
		itv := &rep.Intervals[len(rep.Intervals)-1-int(age/shortBuckets)]
		itv.Counts = addCounts(itv.Counts, buc.Counts)
	}
	return fillBurnRates(rep)
}

// fillBurnRates computes the burn rates and the remaining budget from the counts and the objective.
func fillBurnRates(rep FlowReport) FlowReport {
	rep.Short.BurnRate = burnRate(rep.Short.Counts, rep.Objective)
	rep.Long.BurnRate = burnRate(rep.Long.Counts, rep.Objective)
	rep.BudgetLeft = 1 - rep.Long.BurnRate
	for i := range rep.Intervals {
		rep.Intervals[i].BurnRate = burnRate(rep.Intervals[i].Counts, rep.Objective)
	}
	return rep
}

func burnRate(cnt Counts, objective float64) float64 {
	bad := float64(cnt.Bad())
	if bad == 0 {
		return 0
	}
	return bad / (bad + float64(cnt.Good)) / (1 - objective)
}

// sumIntervals adds the intervals by position from the newest, because the newest buckets of the entries end within one BucketTime of
// each other.
func sumIntervals(sum, more []Interval) []Interval {
	if len(more) > len(sum) {
		sum, more = more, sum
	}
	sum = slices.Clone(sum)
	for i := range more {
		itv := &sum[len(sum)-1-i]
		oth := more[len(more)-1-i]
		itv.Counts = addCounts(itv.Counts, oth.Counts)
		if oth.End.After(itv.End) {
			itv.End = oth.End
		}
	}
	return sum
}

func addCounts(fst, snd Counts) Counts {
	return Counts{
		Good:       fst.Good + snd.Good,
		Late:       fst.Late + snd.Late,
		Refused:    fst.Refused + snd.Refused,
		Failed:     fst.Failed + snd.Failed,
		MayHaveRun: fst.MayHaveRun + snd.MayHaveRun,
	}
}

func sortReports(reps []FlowReport) {
	slices.SortFunc(reps, func(fst, snd FlowReport) int {
		return cmp.Or(cmp.Compare(fst.Flow.Team, snd.Flow.Team), cmp.Compare(fst.Flow.Kind, snd.Flow.Kind))
	})
}
