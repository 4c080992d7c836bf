package rgadmission

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// TakeQuota spends the team's quota on all tasks of the job, or refuses the job.
//
// A job that exceeds what the entry may spend in an interval is admitted if it is the first job of the interval and the
// bucket is full or has a token for each task. Otherwise a team with a burst of 720 could never run a job of 360 tasks
// with three entries.
func TakeQuota(sta *State, req QuotaRequest, now time.Time) Refusal {
	quo := effectiveQuota(req.Team)
	if quo.Sustained <= 0 {
		return Refusal{}
	}
	tasks := float64(req.Tasks)
	if tasks > quo.Burst {
		return Refusal{
			Reason: rgmodel.ReasonAboveBurst,
			Detail: fmt.Sprintf("the job has %d tasks and the team's burst is %g; no later time will do", req.Tasks, quo.Burst),
		}
	}
	qs := quotaShare(sta, req, now)
	buc := refill(sta, req.Team.Team, qs, now)
	fraction := spendableFraction(sta, buc.DemandRate, qs)
	buc.DemandRate += tasks / DemandTimeConstant.Seconds()
	accrued := qs.Quota.Sustained * now.Sub(buc.IntervalStart).Seconds()
	wait := time.Duration(0)
	switch need := min(tasks, qs.Quota.Burst); {
	case buc.Tokens < need:
		wait = time.Duration((need - buc.Tokens) / qs.Quota.Sustained * float64(time.Second))
	case buc.IntervalSpent > 0 && buc.IntervalSpent+tasks > fraction*(buc.IntervalTokens+accrued):
		wait = UsageInterval - now.Sub(buc.IntervalStart)
	}
	if wait > 0 {
		return Refusal{
			Reason:     rgmodel.ReasonQuota,
			Detail:     fmt.Sprintf("the team's quota of %g tasks per second is used up", quo.Sustained),
			RetryAfter: wait,
		}
	}
	buc.Tokens -= tasks
	buc.IntervalSpent += tasks
	buc.Used += uint64(req.Tasks)
	return Refusal{}
}

// UsageToSend returns the next usage message to the other entries and marks its content as sent. It holds the teams with
// the most unsent usage relative to their quota, as many as MaxUsageBytesPerSecond allows. The rest is sent later.
func UsageToSend(sta *State, teams map[string]rgmodel.TeamConfig, entries int, now time.Time) []TeamUsage {
	type unsentUsage struct {
		usage TeamUsage
		ratio float64
	}
	var uus []unsentUsage
	for name, buc := range sta.Buckets {
		rate := teams[name].Quota.Sustained
		if buc.Used == buc.SentUsed || rate <= 0 {
			continue
		}
		age := max(0, now.Sub(buc.RefilledAt).Seconds())
		tu := TeamUsage{Team: name, Used: buc.Used, Demand: buc.DemandRate * math.Exp(-age/DemandTimeConstant.Seconds())}
		uus = append(uus, unsentUsage{usage: tu, ratio: float64(buc.Used-buc.SentUsed) / rate})
	}
	slices.SortFunc(uus, func(fst, snd unsentUsage) int {
		return cmp.Or(cmp.Compare(snd.ratio, fst.ratio), cmp.Compare(fst.usage.Team, snd.usage.Team))
	})
	limit := int(MaxUsageBytesPerSecond * UsageInterval.Seconds() / teamUsageBytes / float64(max(1, entries-1)))
	tus := make([]TeamUsage, 0, len(uus))
	for _, uu := range uus[:min(len(uus), max(1, limit))] {
		sta.Buckets[uu.usage.Team].SentUsed = uu.usage.Used
		tus = append(tus, uu.usage)
	}
	return tus
}

// MergeUsage merges the usage that another entry has sent. Usage before its first message is not charged, because the
// bucket here did not hold the tokens that were spent then.
func MergeUsage(sta *State, incarnation string, tus []TeamUsage, now time.Time) {
	if sta.Peers == nil {
		sta.Peers = map[string]PeerUsage{}
	}
	pu, known := sta.Peers[incarnation]
	_, equal := sta.SharePolicy.(EqualShare)
	if !known {
		pu.Teams = map[string]TeamUsage{}
	}
	for _, tu := range tus {
		old := pu.Teams[tu.Team]
		if buc := sta.Buckets[tu.Team]; buc != nil && known && !equal && tu.Used > old.Used {
			buc.Tokens -= float64(tu.Used - old.Used)
		}
		pu.Teams[tu.Team] = tu
	}
	// A team that is missing in the message has little or no unsent usage at the other entry.
	for name, old := range pu.Teams {
		if !slices.ContainsFunc(tus, func(tu TeamUsage) bool { return tu.Team == name }) {
			old.Demand = 0
			pu.Teams[name] = old
		}
	}
	pu.ReceivedAt = now
	sta.Peers[incarnation] = pu
}

// ForgetUsage drops the usage of entries that are no longer in the ring.
func ForgetUsage(sta *State, rng rgmodel.Ring) {
	for inc := range sta.Peers {
		if !slices.ContainsFunc(rng.Entries, func(ent rgmodel.Entry) bool { return ent.Incarnation == inc }) {
			delete(sta.Peers, inc)
		}
	}
}

// refill adds the tokens for the time since the last refill to the team's bucket and returns it.
func refill(sta *State, team string, qs QuotaShare, now time.Time) *Bucket {
	if sta.Buckets == nil {
		sta.Buckets = map[string]*Bucket{}
	}
	quo := qs.Quota
	buc := sta.Buckets[team]
	if buc == nil {
		// The other entries may already use the whole sustained rate. A full bucket would then let each new entry admit
		// another burst.
		full := quo.Burst * max(0, 1-qs.OtherDemand/quo.Sustained)
		buc = &Bucket{Tokens: full, RefilledAt: now, IntervalStart: now, IntervalTokens: full}
		sta.Buckets[team] = buc
	}
	// If the clock jumps back, time counts from its new value. Otherwise the team would get no tokens until the clock has
	// caught up. A jump forward again adds at most one burst.
	passed := max(0, now.Sub(buc.RefilledAt).Seconds())
	buc.Tokens = min(quo.Burst, buc.Tokens+quo.Sustained*passed)
	buc.DemandRate *= math.Exp(-passed / DemandTimeConstant.Seconds())
	buc.RefilledAt = now
	if since := now.Sub(buc.IntervalStart); since < 0 || since >= UsageInterval {
		buc.IntervalStart, buc.IntervalTokens, buc.IntervalSpent = now, buc.Tokens, 0
	}
	return buc
}
