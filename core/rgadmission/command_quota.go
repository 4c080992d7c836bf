package rgadmission

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// TakeQuota spends tasks of the team's quota, of which each entry holds an equal part, or refuses all of them.
func TakeQuota(sta *State, tc rgmodel.TeamConfig, tasks, entries int, now time.Time) Refusal {
	if tc.Quota.Sustained <= 0 {
		return Refusal{}
	}
	if sta.Buckets == nil {
		sta.Buckets = map[string]*Bucket{}
	}
	part := 1 / float64(max(1, entries))
	rate := tc.Quota.Sustained * part
	// A bucket smaller than the largest job would refuse that job for ever.
	burst := max(tc.Quota.Burst*part, rgmodel.MaxTasks)
	buc := sta.Buckets[tc.Team]
	if buc == nil {
		buc = &Bucket{Tokens: burst, Filled: now}
		sta.Buckets[tc.Team] = buc
	}
	buc.Tokens = min(burst, buc.Tokens+rate*max(0, now.Sub(buc.Filled).Seconds()))
	buc.Filled = now
	if short := float64(tasks) - buc.Tokens; short > 0 {
		wait := time.Duration(short / rate * float64(time.Second))
		return Refusal{Reason: rgmodel.ReasonQuota, Detail: "the team's quota is used up", RetryAfter: wait}
	}
	buc.Tokens -= float64(tasks)
	return Refusal{}
}
