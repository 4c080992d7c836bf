package rgadmission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	virtualTime = 10 * time.Minute
	quotaSeed   = 7
	sustained   = 400.0
	burst       = 720.0
)

type (
	// meter is a bucket with the team's whole quota.
	meter struct {
		tokens float64
		filled time.Time
	}

	// arrival is a traffic pattern.
	arrival struct {
		// hot is the share of jobs at one entry; zero spreads them evenly. move is when that entry changes.
		hot  float64
		move time.Duration
		// load is the offered rate in relation to the sustained quota.
		load  float64
		tasks int
		// surge adds jobs of twice the burst every 20 s.
		surge bool
	}

	// quotaError counts tasks. Exact is what the exact bucket admits of the same jobs.
	quotaError struct{ exact, admitted, above, offered float64 }
)

// BenchmarkQuota measures in virtual time how far the parts of a quota are from the exact quota, in percent of the
// offered tasks: fewer admitted within the quota than by the exact bucket, and admitted above the quota.
func BenchmarkQuota(b *testing.B) {
	policies := []struct {
		name string
		sta  SharePolicy
	}{{"equal", EqualShare{}}, {"pooled", PooledShare{}}}
	arrivals := []struct {
		name string
		arrival
	}{
		{"even", arrival{}}, {"skewed", arrival{hot: 0.8}}, {"moving", arrival{hot: 0.8, move: 10 * time.Second}},
		{"surges", arrival{surge: true}},
	}
	for _, tasks := range []int{20, 360} {
		for _, load := range []float64{0.5, 0.9, 2} {
			for _, arv := range arrivals {
				for _, ents := range []int{3, 10} {
					for _, pol := range policies {
						name := fmt.Sprintf("tasks=%d/load=%g/%s/entries=%d/%s", tasks, load, arv.name, ents, pol.name)
						arv.load, arv.tasks = load, tasks
						b.Run(name, func(b *testing.B) {
							var err quotaError
							for b.Loop() {
								err = simulate(pol.sta, ents, arv.arrival)
							}
							b.ReportMetric(100*max(0, err.exact-err.admitted+err.above)/err.offered, "%refused")
							b.ReportMetric(100*err.above/err.offered, "%above")
						})
					}
				}
			}
		}
	}
}

// simulate lets jobs arrive as a Poisson process. Entries tell each other their usage at UsageInterval, each at its own
// time, with a delay of 5 ms.
func simulate(pol SharePolicy, entries int, arv arrival) quotaError {
	rnd := rand.New(rand.NewPCG(quotaSeed, quotaSeed))
	rng := ring(entries)
	stas := make([]State, entries)
	for i := range stas {
		stas[i].SharePolicy = pol
	}
	began := time.Unix(1000, 0)
	met := meter{tokens: burst, filled: began}
	exact := met
	tc := rgmodel.TeamConfig{Team: "a", Quota: rgmodel.Quota{Sustained: sustained, Burst: burst}}
	teams := map[string]rgmodel.TeamConfig{"a": tc}
	var err quotaError
	told := make([]time.Time, entries)
	for i := range told {
		told[i] = began.Add(UsageInterval * time.Duration(i) / time.Duration(entries))
	}
	gap := float64(arv.tasks) / (arv.load * sustained)
	surge, left := began, 0
	for now := began; now.Sub(began) < virtualTime; {
		switch {
		case left > 0:
			left--
		default:
			now = now.Add(time.Duration(rnd.ExpFloat64() * gap * float64(time.Second)))
		}
		if arv.surge && now.Sub(surge) >= 20*time.Second {
			surge, left = now, int(2*burst)/arv.tasks
		}
		for i := range told {
			for !now.Before(told[i].Add(5 * time.Millisecond)) {
				uss := UsageToSend(&stas[i], teams, entries, told[i])
				for k := range stas {
					if k != i {
						MergeUsage(&stas[k], rng.Entries[i].Incarnation, uss, told[i])
					}
				}
				told[i] = told[i].Add(UsageInterval)
			}
		}
		num := arv.entry(rnd, entries, now.Sub(began))
		quo := QuotaRequest{Team: tc, Tasks: arv.tasks, Ring: rng, Self: rng.Entries[num]}
		admitted := TakeQuota(&stas[num], quo, now).Reason == ""
		err.count(&exact, &met, float64(arv.tasks), admitted, now)
	}
	return err
}

func (arv arrival) entry(rnd *rand.Rand, entries int, since time.Duration) int {
	hot := 0
	if arv.move > 0 {
		hot = int(since/arv.move) % entries
	}
	if arv.hot > 0 && rnd.Float64() < arv.hot {
		return hot
	}
	return rnd.IntN(entries)
}

// count charges the exact meter of all jobs, and the one of the admitted jobs.
func (err *quotaError) count(exact, met *meter, tasks float64, admitted bool, now time.Time) {
	exact.fill(now)
	met.fill(now)
	err.offered += tasks
	if exact.tokens >= tasks {
		exact.tokens -= tasks
		err.exact += tasks
	}
	if admitted {
		err.admitted += tasks
		err.above += max(0, tasks-met.tokens)
		met.tokens = max(0, met.tokens-tasks)
	}
}

func (met *meter) fill(now time.Time) {
	met.tokens = min(burst, met.tokens+sustained*now.Sub(met.filled).Seconds())
	met.filled = now
}

func ring(entries int) rgmodel.Ring {
	rng := rgmodel.Ring{Generation: 1}
	for num := range entries {
		name := fmt.Sprint("entry", num)
		rng.Entries = append(rng.Entries, rgmodel.Entry{Name: name, Incarnation: name})
	}
	return rng
}
