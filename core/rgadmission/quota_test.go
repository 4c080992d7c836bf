package rgadmission

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// quotaStep is the submission of one job with the expected refusal; an empty reason means that it is admitted.
type quotaStep struct {
	atMillis int
	tasks    int
	reason   rgmodel.Reason
	// retryMillis is the expected RetryAfter in milliseconds.
	retryMillis int
}

// TestTakeQuota guards against jobs that are admitted above the quota or refused within it, against jobs that are refused forever
// without a reason that says so, and against a wrong time to retry.
func TestTakeQuota(t *testing.T) {
	const quota = rgmodel.ReasonQuota
	tests := map[string]struct {
		quota   rgmodel.Quota
		entries int
		steps   []quotaStep
	}{
		"no quota": {rgmodel.Quota{}, 1, []quotaStep{{tasks: 360}, {tasks: 360}, {tasks: 360}}},
		"burst": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 60}, {tasks: 40}, {tasks: 1, reason: quota, retryMillis: 100}}},
		"refill": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 100}, {atMillis: 900, tasks: 10, reason: quota, retryMillis: 100}, {atMillis: 1000, tasks: 10},
			{atMillis: 1000, tasks: 1, reason: quota, retryMillis: 100}}},
		"refill stops at the burst": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 100}, {atMillis: 3_600_000, tasks: 100}, {atMillis: 3_600_000, tasks: 1, reason: quota, retryMillis: 100}}},
		"default burst is the largest job": {rgmodel.Quota{Sustained: 10}, 1, []quotaStep{
			{tasks: 360}, {tasks: 1, reason: quota, retryMillis: 100}}},
		"clock jumps back": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{atMillis: 3_600_000, tasks: 100}, {atMillis: 0, tasks: 10, reason: quota, retryMillis: 1000}, {atMillis: 1000, tasks: 10},
			{atMillis: 1000, tasks: 1, reason: quota, retryMillis: 100}}},
		"clock jumps back and forward": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{atMillis: 3_600_000, tasks: 100}, {atMillis: 0, tasks: 10, reason: quota, retryMillis: 1000},
			{atMillis: 3_600_000, tasks: 100}, {atMillis: 3_600_000, tasks: 1, reason: quota, retryMillis: 100}}},
		"job above the burst": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 101, reason: rgmodel.ReasonAboveBurst}, {atMillis: 3_600_000, tasks: 101, reason: rgmodel.ReasonAboveBurst},
			{atMillis: 3_600_000, tasks: 100}}},
		"job above the share of a single entry": {rgmodel.Quota{Sustained: 40, Burst: 400}, 4, []quotaStep{
			{tasks: 360}, {atMillis: 1000, tasks: 1, reason: quota, retryMillis: 25_100}, {atMillis: 26_100, tasks: 1}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var sta State
			rng := ring(tc.entries)
			req := QuotaRequest{Team: rgmodel.TeamConfig{Team: "a", Quota: tc.quota}, Ring: rng, Self: rng.Entries[0]}
			for i, stp := range tc.steps {
				req.Tasks = stp.tasks
				rfs := TakeQuota(&sta, req, at(stp.atMillis))
				got := rfs.RetryAfter.Round(time.Millisecond)
				if rfs.Reason != stp.reason || got != time.Duration(stp.retryMillis)*time.Millisecond ||
					(rfs.Reason != "" && rfs.Detail == "") {
					t.Errorf("step %d: got %+v, want %q after %d ms", i, rfs, stp.reason, stp.retryMillis)
				}
			}
		})
	}
}

// TestMergeUsage guards against usage that is charged twice or not at all because messages are duplicated, reordered or lost, and
// against a new entry that is charged for tokens that its bucket never held, because they were spent before the first message
// that it gets.
func TestMergeUsage(t *testing.T) {
	usage := func(num uint64) []TeamUsage { return []TeamUsage{{Team: "a", Used: num}} }
	tests := map[string]struct {
		messages [][]TeamUsage
		// fits is a number of tasks for which the bucket has enough tokens. For above, it has not.
		fits, above int
	}{
		"no message":            {nil, 50, 51},
		"first message":         {[][]TeamUsage{usage(1000)}, 100, 101},
		"later usage":           {[][]TeamUsage{usage(1000), usage(1030)}, 70, 71},
		"duplicate message":     {[][]TeamUsage{usage(1000), usage(1030), usage(1030)}, 70, 71},
		"reordered message":     {[][]TeamUsage{usage(1000), usage(1030), usage(1010)}, 70, 71},
		"lost message":          {[][]TeamUsage{usage(1000), usage(1060)}, 40, 41},
		"message without usage": {[][]TeamUsage{usage(1000), usage(1030), nil}, 70, 71},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for tasks, want := range map[int]bool{tc.fits: true, tc.above: false} {
				rng := ring(2)
				req := QuotaRequest{
					Team: rgmodel.TeamConfig{Team: "a", Quota: rgmodel.Quota{Sustained: 1e-6, Burst: 100}}, Ring: rng, Self: rng.Entries[0],
				}
				var sta State
				if len(tc.messages) > 0 {
					MergeUsage(&sta, rng.Entries[1].Incarnation, tc.messages[0], at(0))
				}
				refill(&sta, "a", quotaShare(&sta, req, at(0)), at(0))
				for i := 1; i < len(tc.messages); i++ {
					MergeUsage(&sta, rng.Entries[1].Incarnation, tc.messages[i], at(i))
				}
				req.Tasks = tasks
				// The tokens are compared because a full bucket admits any job up to the burst.
				if got := sta.Buckets["a"].Tokens >= float64(tasks); got != want {
					t.Errorf("bucket has tokens for %d tasks: %v, want %v", tasks, got, want)
				}
			}
		})
	}
}

// TestNewEntry guards against a new entry that admits another burst while the other entries use the whole quota.
func TestNewEntry(t *testing.T) {
	tests := map[string]struct {
		demand float64
		want   rgmodel.Reason
	}{
		"idle team":     {0, ""},
		"half used":     {50, ""},
		"quota used up": {120, rgmodel.ReasonQuota},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rng := ring(2)
			var sta State
			MergeUsage(&sta, rng.Entries[1].Incarnation, []TeamUsage{{Team: "a", Used: 9000, Demand: tc.demand}}, at(0))
			team := rgmodel.TeamConfig{Team: "a", Quota: rgmodel.Quota{Sustained: 100, Burst: 100}}
			rfs := TakeQuota(&sta, QuotaRequest{Team: team, Tasks: 20, Ring: rng, Self: rng.Entries[0]}, at(0))
			if rfs.Reason != tc.want {
				t.Errorf("got %+v, want %q", rfs, tc.want)
			}
		})
	}
}

// TestSharesOfEntries guards against entries that together admit more than the sustained quota in the long run, or less
// than 90% of it, with and without usage messages between them.
func TestSharesOfEntries(t *testing.T) {
	tests := map[string]struct {
		entries     int
		partitioned bool
		minFraction float64
	}{
		"three":              {3, false, 0.9},
		"ten":                {10, false, 0.9},
		"three, partitioned": {3, true, 0.9},
		"ten, partitioned":   {10, true, 0.9},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			const seconds = 600
			rng := ring(tc.entries)
			stas := make([]State, tc.entries)
			team := rgmodel.TeamConfig{Team: "a", Quota: rgmodel.Quota{Sustained: 100, Burst: 360}}
			admitted := 0
			for ms := 0; ms < seconds*1000; ms += 100 {
				for i := range stas {
					req := QuotaRequest{Team: team, Tasks: 5, Ring: rng, Self: rng.Entries[i]}
					if TakeQuota(&stas[i], req, at(ms)).Reason == "" {
						admitted += req.Tasks
					}
				}
				if ms%1000 == 0 && !tc.partitioned {
					exchangeUsage(stas, rng, team, at(ms))
				}
			}
			// The bound allows for one burst, and for one more burst of each entry before it knows the usage of the others.
			upperBound := 100*seconds + 360*(1+tc.entries)
			if float64(admitted) < tc.minFraction*100*seconds || admitted > upperBound {
				t.Errorf("%d tasks admitted, want %g to %d", admitted, tc.minFraction*100*seconds, upperBound)
			}
		})
	}
}

// TestUsageToSend guards against messages that grow with the number of teams, and against usage that is never sent.
func TestUsageToSend(t *testing.T) {
	rng := ring(10)
	var sta State
	teams := map[string]rgmodel.TeamConfig{}
	for num := range 270 {
		tc := rgmodel.TeamConfig{Team: fmt.Sprint("team", num), Quota: rgmodel.Quota{Sustained: 100, Burst: 100}}
		teams[tc.Team] = tc
		TakeQuota(&sta, QuotaRequest{Team: tc, Tasks: 1 + num%10, Ring: rng, Self: rng.Entries[0]}, at(0))
	}
	sent := map[string]bool{}
	for rounds := 0; len(sent) < len(teams); rounds++ {
		tus := UsageToSend(&sta, teams, len(rng.Entries), at(1000*rounds))
		if bytes := len(tus) * teamUsageBytes * 9; len(tus) == 0 || bytes > MaxUsageBytesPerSecond {
			t.Fatalf("round %d: %d teams, %d bytes; want 1 to %d bytes", rounds, len(tus), bytes, MaxUsageBytesPerSecond)
		}
		for _, tu := range tus {
			sent[tu.Team] = true
		}
	}
}

// exchangeUsage delivers the usage of each entry to all others.
func exchangeUsage(stas []State, rng rgmodel.Ring, team rgmodel.TeamConfig, now time.Time) {
	teams := map[string]rgmodel.TeamConfig{team.Team: team}
	for i := range stas {
		tus := UsageToSend(&stas[i], teams, len(stas), now)
		for k := range stas {
			if k != i {
				MergeUsage(&stas[k], rng.Entries[i].Incarnation, tus, now)
			}
		}
	}
}

// at returns the time after the given number of milliseconds.
func at(ms int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
}
