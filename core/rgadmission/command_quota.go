package rgadmission

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// TakeQuota spends tasks of the team's quota, or refuses all of them.
//
// A job that is larger than what the entry may spend in an interval is admitted if it is the first of the interval and
// the bucket has as many tokens as the job has tasks, or as it can hold. Without that, a team could never start a job
// of 360 tasks with a burst of 720 over three entries.
func TakeQuota(sta *State, quo QuotaRequest, now time.Time) Refusal {
	lim := limit(quo.Team)
	if lim.Sustained <= 0 {
		return Refusal{}
	}
	tasks := float64(quo.Tasks)
	if tasks > lim.Burst {
		return Refusal{
			Reason: rgmodel.ReasonAboveBurst,
			Detail: fmt.Sprintf("the job has %d tasks and the team's burst is %g; no later time will do", quo.Tasks, lim.Burst),
		}
	}
	hol := hold(sta, quo, now)
	buc := fill(sta, quo.Team.Team, hol, now)
	share := part(sta, buc.Demand, hol)
	buc.Demand += tasks / DemandTimeConstant.Seconds()
	refill := hol.Quota.Sustained * now.Sub(buc.IntervalStart).Seconds()
	wait := time.Duration(0)
	switch need := min(tasks, hol.Quota.Burst); {
	case buc.Tokens < need:
		wait = time.Duration((need - buc.Tokens) / hol.Quota.Sustained * float64(time.Second))
	case buc.IntervalSpent > 0 && buc.IntervalSpent+tasks > share*(buc.IntervalTokens+refill):
		wait = UsageInterval - now.Sub(buc.IntervalStart)
	}
	if wait > 0 {
		return Refusal{
			Reason:     rgmodel.ReasonQuota,
			Detail:     fmt.Sprintf("the team's quota of %g tasks per second is used up", lim.Sustained),
			RetryAfter: wait,
		}
	}
	buc.Tokens -= tasks
	buc.IntervalSpent += tasks
	buc.Used += uint64(quo.Tasks)
	return Refusal{}
}

// UsageToSend returns what the other entries do not know yet: the teams with the highest untold use in relation to their
// quota, as many as MaxUsageBytesPerSecond allows for. The rest is told later.
func UsageToSend(sta *State, teams map[string]rgmodel.TeamConfig, entries int, now time.Time) []TeamUsage {
	type untold struct {
		usage TeamUsage
		part  float64
	}
	var uts []untold
	for name, buc := range sta.Buckets {
		lim := teams[name].Quota.Sustained
		if buc.Used == buc.SentUsed || lim <= 0 {
			continue
		}
		age := max(0, now.Sub(buc.RefilledAt).Seconds())
		usa := TeamUsage{Team: name, Used: buc.Used, Demand: buc.Demand * math.Exp(-age/DemandTimeConstant.Seconds())}
		uts = append(uts, untold{usage: usa, part: float64(buc.Used-buc.SentUsed) / lim})
	}
	slices.SortFunc(uts, func(fst, snd untold) int {
		return cmp.Or(cmp.Compare(snd.part, fst.part), cmp.Compare(fst.usage.Team, snd.usage.Team))
	})
	num := int(MaxUsageBytesPerSecond * UsageInterval.Seconds() / usageSize / float64(max(1, entries-1)))
	uss := make([]TeamUsage, 0, len(uts))
	for _, unt := range uts[:min(len(uts), max(1, num))] {
		sta.Buckets[unt.usage.Team].SentUsed = unt.usage.Used
		uss = append(uss, unt.usage)
	}
	return uss
}

// MergeUsage merges the usage that another entry reports. The use before its first message is not charged: a new entry has
// not seen the tokens that it was taken from.
func MergeUsage(sta *State, incarnation string, uss []TeamUsage, now time.Time) {
	if sta.Peers == nil {
		sta.Peers = map[string]PeerUsage{}
	}
	pus, known := sta.Peers[incarnation]
	_, separate := sta.SharePolicy.(EqualShare)
	if !known {
		pus.Teams = map[string]TeamUsage{}
	}
	for _, usa := range uss {
		old := pus.Teams[usa.Team]
		if buc := sta.Buckets[usa.Team]; buc != nil && known && !separate && usa.Used > old.Used {
			buc.Tokens -= float64(usa.Used - old.Used)
		}
		pus.Teams[usa.Team] = usa
	}
	// A team that is not named has no untold use at the other entry, or too little to matter.
	for name, old := range pus.Teams {
		if !slices.ContainsFunc(uss, func(usa TeamUsage) bool { return usa.Team == name }) {
			old.Demand = 0
			pus.Teams[name] = old
		}
	}
	pus.ReceivedAt = now
	sta.Peers[incarnation] = pus
}

// ForgetUsage drops what entries have told that are not in the ring any more.
func ForgetUsage(sta *State, rng rgmodel.Ring) {
	for inc := range sta.Peers {
		if !slices.ContainsFunc(rng.Entries, func(ent rgmodel.Entry) bool { return ent.Incarnation == inc }) {
			delete(sta.Peers, inc)
		}
	}
}

// fill returns the team's bucket with the tokens of the time that has passed.
func fill(sta *State, team string, hol QuotaShare, now time.Time) *Bucket {
	if sta.Buckets == nil {
		sta.Buckets = map[string]*Bucket{}
	}
	lim := hol.Quota
	buc := sta.Buckets[team]
	if buc == nil {
		// The others may be spending all that comes in; a full bucket here would let each entry admit another burst.
		full := lim.Burst * max(0, 1-hol.OtherDemand/lim.Sustained)
		buc = &Bucket{Tokens: full, RefilledAt: now, IntervalStart: now, IntervalTokens: full}
		sta.Buckets[team] = buc
	}
	// After a jump back of the clock the time counts from the new value; otherwise the team would get nothing until the
	// clock has caught up. A jump forward again gives at most one burst.
	passed := max(0, now.Sub(buc.RefilledAt).Seconds())
	buc.Tokens = min(lim.Burst, buc.Tokens+lim.Sustained*passed)
	buc.Demand *= math.Exp(-passed / DemandTimeConstant.Seconds())
	buc.RefilledAt = now
	if since := now.Sub(buc.IntervalStart); since < 0 || since >= UsageInterval {
		buc.IntervalStart, buc.IntervalTokens, buc.IntervalSpent = now, buc.Tokens, 0
	}
	return buc
}
