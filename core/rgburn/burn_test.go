package rgburn

import (
	"math"
	"strconv"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var (
	baseTime = time.Unix(1_800_000_000, 0)
	signUps  = rgmodel.Flow{Team: "kitapDostu", Kind: "signUps"}
)

// endedJobs describes jobs of one class that end at the same time after baseTime.
type endedJobs struct {
	after time.Duration
	class Class
	count int
}

// TestReport guards against jobs that leave a window too late or too early, and against wrong counts, burn rates and budgets.
func TestReport(t *testing.T) {
	tests := map[string]struct {
		objective   float64
		jobs        []endedJobs
		at          time.Duration
		short, long Counts
		shortRate   float64
		longRate    float64
		budgetLeft  float64
	}{
		"budget used exactly at the granted rate": {
			jobs: []endedJobs{{class: Good, count: 99}, {class: Late, count: 1}},
			long: Counts{Good: 99, Late: 1}, short: Counts{Good: 99, Late: 1}, shortRate: 1, longRate: 1,
		},
		"each class is counted separately": {
			objective: 0.5,
			jobs: []endedJobs{
				{class: Good, count: 6}, {class: Late, count: 1}, {class: Refused, count: 2}, {class: Failed, count: 3},
				{class: MayHaveRun, count: 4},
			},
			long:  Counts{Good: 6, Late: 1, Refused: 2, Failed: 3, MayHaveRun: 4},
			short: Counts{Good: 6, Late: 1, Refused: 2, Failed: 3, MayHaveRun: 4}, shortRate: 1.25, longRate: 1.25, budgetLeft: -0.25,
		},
		"old failures leave the short window first": {
			objective: 0.9,
			jobs:      []endedJobs{{class: Failed, count: 1}, {after: 6 * time.Minute, class: Good, count: 9}},
			at:        6 * time.Minute,
			short:     Counts{Good: 9}, long: Counts{Good: 9, Failed: 1}, longRate: 1,
		},
		"all jobs leave the long window": {
			jobs: []endedJobs{{class: Failed, count: 5}}, at: LongWindow, budgetLeft: 1,
		},
		"a bucket is reused after the long window": {
			objective: 0.9,
			jobs:      []endedJobs{{class: Failed, count: 5}, {after: LongWindow, class: Good, count: 1}},
			at:        LongWindow, short: Counts{Good: 1}, long: Counts{Good: 1}, budgetLeft: 1,
		},
		"an objective of one has a finite burn rate": {
			objective: 1,
			jobs:      []endedJobs{{class: Failed, count: 1}},
			short:     Counts{Failed: 1}, long: Counts{Failed: 1}, shortRate: 10_000, longRate: 10_000, budgetLeft: -9_999,
		},
		"excluded jobs have no effect": {
			jobs: []endedJobs{{class: Excluded, count: 3}, {class: Good, count: 1}},
			long: Counts{Good: 1}, short: Counts{Good: 1}, budgetLeft: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var sta State
			for _, job := range tc.jobs {
				for range job.count {
					CountJob(&sta, signUps, job.class, baseTime.Add(job.after))
				}
			}
			teams := map[string]rgmodel.TeamConfig{
				signUps.Team: {Kinds: []rgmodel.KindConfig{{Kind: signUps.Kind, Objective: tc.objective}}},
			}
			reps := Report(&sta, teams, baseTime.Add(tc.at))
			if len(reps) != 1 {
				t.Fatalf("got %d reports, want 1", len(reps))
			}
			checkReport(t, reps[0], tc.short, tc.long)
			checkNear(t, "short burn rate", reps[0].Short.BurnRate, tc.shortRate)
			checkNear(t, "long burn rate", reps[0].Long.BurnRate, tc.longRate)
			checkNear(t, "budget left", reps[0].BudgetLeft, tc.budgetLeft)
		})
	}
}

// TestSum guards against burn rates that are averaged over entries instead of computed from the summed counts.
func TestSum(t *testing.T) {
	var fstEntry, sndEntry State
	for range 98 {
		CountJob(&fstEntry, signUps, Good, baseTime)
	}
	CountJob(&sndEntry, signUps, Failed, baseTime)
	CountJob(&sndEntry, signUps, Late, baseTime.Add(-10*time.Minute))
	sum := Sum(Report(&fstEntry, nil, baseTime), Report(&sndEntry, nil, baseTime))
	if len(sum) != 1 || sum[0].Long.Counts != (Counts{Good: 98, Failed: 1, Late: 1}) {
		t.Fatalf("got %+v", sum)
	}
	checkNear(t, "long burn rate", sum[0].Long.BurnRate, 2)
	checkNear(t, "newest interval's burn rate", sum[0].Intervals[len(sum[0].Intervals)-1].BurnRate, 100.0/99)
}

// TestFlowLimit guards against state that grows without bound because callers keep using new kinds.
func TestFlowLimit(t *testing.T) {
	var sta State
	for i := range 2 * MaxFlows {
		CountJob(&sta, rgmodel.Flow{Team: "team", Kind: strconv.Itoa(i)}, Good, baseTime)
	}
	if len(sta.Flows) != MaxFlows {
		t.Errorf("%d flows, want %d", len(sta.Flows), MaxFlows)
	}
	if got := flowReport(Overflow, sta.Flows[Overflow], DefaultObjective, bucketNumber(baseTime)).Long.Counts.Good; got != MaxFlows+1 {
		t.Errorf("%d jobs under the overflow flow, want %d", got, MaxFlows+1)
	}
	Expire(&sta, baseTime.Add(LongWindow))
	if len(sta.Flows) != 0 {
		t.Errorf("%d flows after the long window, want none", len(sta.Flows))
	}
}

// TestClassify guards against counting jobs that fail because of their caller, and against classes that do not match the cause.
func TestClassify(t *testing.T) {
	out := func(vd rgmodel.Verdict, rsn rgmodel.Reason) rgmodel.Outcome {
		return rgmodel.Outcome{Verdict: vd, Reason: rsn}
	}
	good := out(rgmodel.RanOK, "")
	const notRun, mayHaveRun = rgmodel.NotRun, rgmodel.MayHaveRun
	upstreamFailed := out(rgmodel.RanFailed, rgmodel.ReasonUpstreamStatus)
	cancelled := out(mayHaveRun, rgmodel.ReasonCancelled)
	lost := out(mayHaveRun, rgmodel.ReasonSidecarLost)
	expired := out(notRun, rgmodel.ReasonExpired)
	tests := map[string]struct {
		outcomes []rgmodel.Outcome
		took     time.Duration
		want     Class
	}{
		"complete within the wait":     {outcomes: []rgmodel.Outcome{good}, took: time.Second, want: Good},
		"complete and late":            {outcomes: []rgmodel.Outcome{good}, took: time.Second + 1, want: Late},
		"expired in the queue":         {outcomes: []rgmodel.Outcome{good, expired}, want: Late},
		"over quota":                   {outcomes: []rgmodel.Outcome{out(notRun, rgmodel.ReasonQuota)}, want: Refused},
		"failed upstream":              {outcomes: []rgmodel.Outcome{upstreamFailed}, want: Failed},
		"lost connection":              {outcomes: []rgmodel.Outcome{out(mayHaveRun, rgmodel.ReasonConnectionLost)}, want: MayHaveRun},
		"id used with another body":    {outcomes: []rgmodel.Outcome{out(notRun, rgmodel.ReasonDigestMismatch)}, want: Excluded},
		"needs more than any upstream": {outcomes: []rgmodel.Outcome{out(notRun, rgmodel.ReasonNeverRunnable)}, want: Excluded},
		"cancelled by the caller":      {outcomes: []rgmodel.Outcome{good, cancelled}, want: Excluded},
		"cancelled after a refusal":    {outcomes: []rgmodel.Outcome{cancelled, out(notRun, rgmodel.ReasonQueueFull)}, want: Refused},
		"worst cause determines class": {outcomes: []rgmodel.Outcome{expired, lost}, want: MayHaveRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Classify(rgmodel.Answer{Outcomes: tc.outcomes}, tc.took, time.Second); got != tc.want {
				t.Errorf("got class %d, want %d", got, tc.want)
			}
		})
	}
}

func checkReport(t *testing.T, rep FlowReport, short, long Counts) {
	t.Helper()
	if rep.Short.Counts != short || rep.Long.Counts != long {
		t.Errorf("short %+v, long %+v; want %+v, %+v", rep.Short.Counts, rep.Long.Counts, short, long)
	}
	var total Counts
	for _, itv := range rep.Intervals {
		total = addCounts(total, itv.Counts)
	}
	if total != rep.Long.Counts {
		t.Errorf("intervals add up to %+v, want %+v", total, rep.Long.Counts)
	}
}

func checkNear(t *testing.T, quantity string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*max(1, math.Abs(want)) {
		t.Errorf("%s is %v, want %v", quantity, got, want)
	}
}
