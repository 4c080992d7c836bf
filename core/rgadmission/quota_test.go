package rgadmission

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// quotaStep is one job, at a time in milliseconds since the first.
type quotaStep struct {
	at     int
	tasks  int
	reason rgmodel.Reason
	// retry is the wanted RetryAfter in milliseconds.
	retry int
}

// TestTakeQuota guards against jobs beyond the quota, and against jobs that are refused for ever without a reason.
func TestTakeQuota(t *testing.T) {
	const quota = rgmodel.ReasonQuota
	tests := map[string]struct {
		quota   rgmodel.Quota
		entries int
		steps   []quotaStep
	}{
		"no quota": {rgmodel.Quota{}, 1, []quotaStep{{tasks: 360}, {tasks: 360}, {tasks: 360}}},
		"burst": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 60}, {tasks: 40}, {tasks: 1, reason: quota, retry: 100}}},
		"refill": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 100}, {at: 900, tasks: 10, reason: quota, retry: 100}, {at: 1000, tasks: 10},
			{at: 1000, tasks: 1, reason: quota, retry: 100}}},
		"refill ends at the burst": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 100}, {at: 3_600_000, tasks: 100}, {at: 3_600_000, tasks: 1, reason: quota, retry: 100}}},
		"default burst is the largest job": {rgmodel.Quota{Sustained: 10}, 1, []quotaStep{
			{tasks: 360}, {tasks: 1, reason: quota, retry: 100}}},
		"clock jumps back": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{at: 3_600_000, tasks: 100}, {at: 0, tasks: 10, reason: quota, retry: 1000}, {at: 1000, tasks: 10},
			{at: 1000, tasks: 1, reason: quota, retry: 100}}},
		"clock jumps back and forward": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{at: 3_600_000, tasks: 100}, {at: 0, tasks: 10, reason: quota, retry: 1000},
			{at: 3_600_000, tasks: 100}, {at: 3_600_000, tasks: 1, reason: quota, retry: 100}}},
		"job above the burst": {rgmodel.Quota{Sustained: 10, Burst: 100}, 1, []quotaStep{
			{tasks: 101, reason: rgmodel.ReasonAboveBurst}, {at: 3_600_000, tasks: 101, reason: rgmodel.ReasonAboveBurst},
			{at: 3_600_000, tasks: 100}}},
		"job above the part of an entry alone": {rgmodel.Quota{Sustained: 40, Burst: 400}, 4, []quotaStep{
			{tasks: 360}, {at: 1000, tasks: 1, reason: quota, retry: 25_100}, {at: 26_100, tasks: 1}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var sta State
			rng := ring(tc.entries)
			quo := QuotaRequest{Team: rgmodel.TeamConfig{Team: "a", Quota: tc.quota}, Ring: rng, Self: rng.Entries[0]}
			for i, stp := range tc.steps {
				quo.Tasks = stp.tasks
				rfs := TakeQuota(&sta, quo, at(stp.at))
				got := rfs.RetryAfter.Round(time.Millisecond)
				if rfs.Reason != stp.reason || got != time.Duration(stp.retry)*time.Millisecond || (rfs.Reason != "" && rfs.Detail == "") {
					t.Errorf("step %d: got %+v, want %q after %d ms", i, rfs, stp.reason, stp.retry)
				}
			}
		})
	}
}

// TestUsage guards against use that is charged twice, not at all, or to a new entry that has not seen the tokens.
func TestUsage(t *testing.T) {
	use := func(num uint64) []TeamUsage { return []TeamUsage{{Team: "a", Used: num}} }
	tests := map[string]struct {
		told [][]TeamUsage
		// fits and above are numbers of tasks of which the bucket holds the first and not the second.
		fits, above int
	}{
		"nothing told":           {nil, 50, 51},
		"first message":          {[][]TeamUsage{use(1000)}, 100, 101},
		"use since":              {[][]TeamUsage{use(1000), use(1030)}, 70, 71},
		"same message twice":     {[][]TeamUsage{use(1000), use(1030), use(1030)}, 70, 71},
		"older message later":    {[][]TeamUsage{use(1000), use(1030), use(1010)}, 70, 71},
		"message between lost":   {[][]TeamUsage{use(1000), use(1060)}, 40, 41},
		"nothing used in a time": {[][]TeamUsage{use(1000), use(1030), nil}, 70, 71},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for tasks, want := range map[int]bool{tc.fits: true, tc.above: false} {
				rng := ring(2)
				quo := QuotaRequest{
					Team: rgmodel.TeamConfig{Team: "a", Quota: rgmodel.Quota{Sustained: 1e-6, Burst: 100}}, Ring: rng, Self: rng.Entries[0],
				}
				var sta State
				if len(tc.told) > 0 {
					MergeUsage(&sta, rng.Entries[1].Incarnation, tc.told[0], at(0))
				}
				fill(&sta, "a", hold(&sta, quo, at(0)), at(0))
				for i := 1; i < len(tc.told); i++ {
					MergeUsage(&sta, rng.Entries[1].Incarnation, tc.told[i], at(i))
				}
				quo.Tasks = tasks
				// A full bucket admits any job up to the burst; so the tokens are compared.
				if got := sta.Buckets["a"].Tokens >= float64(tasks); got != want {
					t.Errorf("%d tasks: fits is %v, want %v", tasks, got, want)
				}
			}
		})
	}
}

// TestLateEntry guards against an entry that admits a burst of its own while the others use up the quota.
func TestLateEntry(t *testing.T) {
	tests := map[string]struct {
		demand float64
		want   rgmodel.Reason
	}{
		"idle team":     {0, ""},
		"half in use":   {50, ""},
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

// TestSharesOfEntries guards against entries that together admit more than the sustained quota in the long run, also
// when they do not hear of each other, and against an entry that admits nothing.
func TestSharesOfEntries(t *testing.T) {
	tests := map[string]struct {
		entries int
		apart   bool
		least   float64
	}{
		"three":            {3, false, 0.9},
		"ten":              {10, false, 0.9},
		"three, cut apart": {3, true, 0.9},
		"ten, cut apart":   {10, true, 0.9},
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
					quo := QuotaRequest{Team: team, Tasks: 5, Ring: rng, Self: rng.Entries[i]}
					if TakeQuota(&stas[i], quo, at(ms)).Reason == "" {
						admitted += quo.Tasks
					}
				}
				if ms%1000 == 0 && !tc.apart {
					exchange(stas, rng, team, at(ms))
				}
			}
			// Above the rate there may be the burst, and once what all entries spend before they hear of each other.
			most := 100*seconds + 360*(1+tc.entries)
			if float64(admitted) < tc.least*100*seconds || admitted > most {
				t.Errorf("%d tasks admitted, want %g to %d", admitted, tc.least*100*seconds, most)
			}
		})
	}
}

// TestTellUsage guards against messages that grow with the number of teams, and against use that is never told.
func TestTellUsage(t *testing.T) {
	rng := ring(10)
	var sta State
	teams := map[string]rgmodel.TeamConfig{}
	for num := range 270 {
		tc := rgmodel.TeamConfig{Team: fmt.Sprint("team", num), Quota: rgmodel.Quota{Sustained: 100, Burst: 100}}
		teams[tc.Team] = tc
		TakeQuota(&sta, QuotaRequest{Team: tc, Tasks: 1 + num%10, Ring: rng, Self: rng.Entries[0]}, at(0))
	}
	told := map[string]bool{}
	for rounds := 0; len(told) < len(teams); rounds++ {
		uss := UsageToSend(&sta, teams, len(rng.Entries), at(1000*rounds))
		if bytes := len(uss) * usageSize * 9; len(uss) == 0 || bytes > MaxUsageBytesPerSecond {
			t.Fatalf("round %d: %d teams, %d bytes; want 1 to %d bytes", rounds, len(uss), bytes, MaxUsageBytesPerSecond)
		}
		for _, usa := range uss {
			told[usa.Team] = true
		}
	}
}

func exchange(stas []State, rng rgmodel.Ring, team rgmodel.TeamConfig, now time.Time) {
	teams := map[string]rgmodel.TeamConfig{team.Team: team}
	for i := range stas {
		uss := UsageToSend(&stas[i], teams, len(stas), now)
		for k := range stas {
			if k != i {
				MergeUsage(&stas[k], rng.Entries[i].Incarnation, uss, now)
			}
		}
	}
}

func at(ms int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
}
