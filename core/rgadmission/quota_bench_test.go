package rgadmission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	simulatedTime = 10 * time.Minute
	quotaSeed     = 7
	sustained     = 400.0
	burst         = 720.0
)

type (
	// wholeQuotaBucket is a token bucket with the whole quota of the team.
	wholeQuotaBucket struct {
		tokens     float64
		refilledAt time.Time
	}

	// arrivalPattern describes the arrival of jobs at the entries.
	arrivalPattern struct {
		// hotFraction is the fraction of jobs at one entry; zero spreads them evenly. The entry changes every hotInterval.
		hotFraction float64
		hotInterval time.Duration
		// load is the offered rate in relation to the sustained quota.
		load  float64
		tasks int
		// surges adds jobs of twice the burst every 20 s.
		surges bool
	}

	// quotaError counts tasks. exact counts those that a single bucket with the whole quota would admit.
	quotaError struct{ exact, admitted, aboveQuota, offered float64 }
)

// BenchmarkQuota measures in virtual time how far the shares of a quota are from the exact quota, in percent of the
// offered tasks: tasks refused although the exact bucket admits as many, and tasks admitted above the quota.
func BenchmarkQuota(b *testing.B) {
	policies := []struct {
		name   string
		policy SharePolicy
	}{{"equal", EqualShare{}}, {"pooled", PooledShare{}}}
	arrivals := []struct {
		name string
		arrivalPattern
	}{
		{"even", arrivalPattern{}}, {"skewed", arrivalPattern{hotFraction: 0.8}},
		{"moving", arrivalPattern{hotFraction: 0.8, hotInterval: 10 * time.Second}}, {"surges", arrivalPattern{surges: true}},
	}
	for _, tasks := range []int{20, 360} {
		for _, load := range []float64{0.5, 0.9, 2} {
			for _, arv := range arrivals {
				for _, ents := range []int{3, 10} {
					for _, pol := range policies {
						name := fmt.Sprintf("tasks=%d/load=%g/%s/entries=%d/%s", tasks, load, arv.name, ents, pol.name)
						arv.load, arv.tasks = load, tasks
						b.Run(name, func(b *testing.B) {
							var qe quotaError
							for b.Loop() {
								qe = simulate(pol.policy, ents, arv.arrivalPattern)
							}
							b.ReportMetric(100*max(0, qe.exact-qe.admitted+qe.aboveQuota)/qe.offered, "%refused")
							b.ReportMetric(100*qe.aboveQuota/qe.offered, "%above")
						})
					}
				}
			}
		}
	}
}

// simulate runs jobs that arrive as a Poisson process. Each entry sends its usage to the others every UsageInterval, with
// a different offset for each entry and a delay of 5 ms.
func simulate(pol SharePolicy, entries int, arv arrivalPattern) quotaError {
	rnd := rand.New(rand.NewPCG(quotaSeed, quotaSeed))
	rng := ring(entries)
	stas := make([]State, entries)
	for i := range stas {
		stas[i].SharePolicy = pol
	}
	began := time.Unix(1000, 0)
	bucket := wholeQuotaBucket{tokens: burst, refilledAt: began}
	exact := bucket
	tc := rgmodel.TeamConfig{Team: "a", Quota: rgmodel.Quota{Sustained: sustained, Burst: burst}}
	teams := map[string]rgmodel.TeamConfig{"a": tc}
	var qe quotaError
	sentAt := make([]time.Time, entries)
	for i := range sentAt {
		sentAt[i] = began.Add(UsageInterval * time.Duration(i) / time.Duration(entries))
	}
	meanGap := float64(arv.tasks) / (arv.load * sustained)
	lastSurge, remaining := began, 0
	for now := began; now.Sub(began) < simulatedTime; {
		switch {
		case remaining > 0:
			remaining--
		default:
			now = now.Add(time.Duration(rnd.ExpFloat64() * meanGap * float64(time.Second)))
		}
		if arv.surges && now.Sub(lastSurge) >= 20*time.Second {
			lastSurge, remaining = now, int(2*burst)/arv.tasks
		}
		for i := range sentAt {
			for !now.Before(sentAt[i].Add(5 * time.Millisecond)) {
				tus := UsageToSend(&stas[i], teams, entries, sentAt[i])
				for k := range stas {
					if k != i {
						MergeUsage(&stas[k], rng.Entries[i].Incarnation, tus, sentAt[i])
					}
				}
				sentAt[i] = sentAt[i].Add(UsageInterval)
			}
		}
		index := arv.entry(rnd, entries, now.Sub(began))
		req := QuotaRequest{Team: tc, Tasks: arv.tasks, Ring: rng, Self: rng.Entries[index]}
		admitted := TakeQuota(&stas[index], req, now).Reason == ""
		qe.count(&exact, &bucket, float64(arv.tasks), admitted, now)
	}
	return qe
}

// entry returns the number of the entry at which a job arrives.
func (arv arrivalPattern) entry(rnd *rand.Rand, entries int, since time.Duration) int {
	hot := 0
	if arv.hotInterval > 0 {
		hot = int(since/arv.hotInterval) % entries
	}
	if arv.hotFraction > 0 && rnd.Float64() < arv.hotFraction {
		return hot
	}
	return rnd.IntN(entries)
}

// count charges the exact bucket for every job that it admits itself, and the other one for every job that the policy has
// admitted.
func (qe *quotaError) count(exact, bucket *wholeQuotaBucket, tasks float64, admitted bool, now time.Time) {
	exact.refill(now)
	bucket.refill(now)
	qe.offered += tasks
	if exact.tokens >= tasks {
		exact.tokens -= tasks
		qe.exact += tasks
	}
	if admitted {
		qe.admitted += tasks
		qe.aboveQuota += max(0, tasks-bucket.tokens)
		bucket.tokens = max(0, bucket.tokens-tasks)
	}
}

func (bkt *wholeQuotaBucket) refill(now time.Time) {
	bkt.tokens = min(burst, bkt.tokens+sustained*now.Sub(bkt.refilledAt).Seconds())
	bkt.refilledAt = now
}

func ring(entries int) rgmodel.Ring {
	rng := rgmodel.Ring{Generation: 1}
	for i := range entries {
		name := fmt.Sprint("entry", i)
		rng.Entries = append(rng.Entries, rgmodel.Entry{Name: name, Incarnation: name})
	}
	return rng
}
