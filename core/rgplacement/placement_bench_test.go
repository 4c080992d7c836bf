package rgplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
)

// reportDelay is the time from a report to its delivery, without the network delay.
const reportDelay = 200 * time.Millisecond

// BenchmarkPolicies compares the policies in virtual time, with the same arrivals for all policies at each load.
func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name       string
		policy     rgplacement.Policy
		entryCount int
		delay      time.Duration
		period     time.Duration
	}{
		{"random", rgplacement.Random{}, 1, reportDelay, 0},
		{"powerOfTwo", rgplacement.PowerOfChoices{}, 1, reportDelay, 0},
		{"leastFinish", rgplacement.EarliestFinish{}, 3, reportDelay, 0},
		{"leastFinishOwnSends", rgplacement.EarliestFinish{}, 1, reportDelay, 0},
		{"leastFinishPromptReports", rgplacement.EarliestFinish{}, 3, 0, 0},
		{"leastFinishReports50ms", rgplacement.EarliestFinish{}, 3, 0, 50 * time.Millisecond},
		{"lateBinding", rgplacement.LateBinding{}, 1, reportDelay, 0},
	}
	for _, pol := range policies {
		for _, load := range []float64{0.3, 0.7, 0.9, 1.1} {
			b.Run(fmt.Sprintf("%s/%.0f%%", pol.name, 100*load), func(b *testing.B) {
				var res result
				for range b.N {
					res = simulate(settings{
						policy: pol.policy, entryCount: pol.entryCount, load: load, duration: 20 * time.Minute,
						reportDelay: pol.delay, reportPeriod: pol.period, declared: 1,
					}, seed)
				}
				reportResult(b, res)
			})
		}
	}
}

// BenchmarkSingleTasks measures whether all entries prefer the same sidecar (herd behavior). With jobs of one task, about twenty
// jobs are placed between two reports.
func BenchmarkSingleTasks(b *testing.B) {
	policies := map[string]struct {
		policy     rgplacement.Policy
		entryCount int
	}{
		"powerOfTwo":          {rgplacement.PowerOfChoices{}, 1},
		"leastFinishOwnSends": {rgplacement.EarliestFinish{}, 1},
		"leastFinish":         {rgplacement.EarliestFinish{}, 3},
	}
	for name, pol := range policies {
		for _, load := range []float64{0.3, 0.7, 0.9} {
			b.Run(fmt.Sprintf("%s/%.0f%%", name, 100*load), func(b *testing.B) {
				var res result
				for range b.N {
					res = simulate(settings{
						policy: pol.policy, entryCount: pol.entryCount, load: load, duration: 5 * time.Minute, reportDelay: reportDelay,
						declared: 1, maxJobTasks: 1,
					}, seed)
				}
				reportResult(b, res)
			})
		}
	}
}

func reportResult(b *testing.B, res result) {
	b.Helper()
	b.ReportMetric(quantile(res.responseRatios, 0.5), "p50/ideal")
	b.ReportMetric(quantile(res.responseRatios, 0.99), "p99/ideal")
	b.ReportMetric(100*float64(res.complete)/float64(res.jobs), "%complete")
	b.ReportMetric(float64(res.messages)/float64(res.tasks), "messages/task")
	b.ReportMetric(float64(res.wasted)/float64(res.tasks), "wasted/task")
	b.ReportMetric(float64(res.reports)/float64(res.tasks), "reports/task")
	b.ReportMetric(float64(res.retries)/float64(res.firstAttempts), "retries/first")
}

// BenchmarkDistribute measures the cost of placing one job of up to 360 tasks at an entry that knows 5,600 sidecars.
func BenchmarkDistribute(b *testing.B) {
	const members = 5600
	now := time.Unix(1e9, 0)
	rnd := rand.New(rand.NewPCG(seed, 1))
	var flt rgfleet.State
	flo := rgmodel.Flow{Team: "team", Kind: "kind"}
	for i := range members {
		sc := rgmodel.Sidecar{Name: fmt.Sprint("s", i), Incarnation: "1", Capacity: rgmodel.Capacity{Slots: slots}}
		rgfleet.Announce(&flt, sc, now)
		rgfleet.MarkSealed(&flt, sc.Key())
		rgfleet.RecordReport(&flt, rgmodel.LoadReport{
			Sidecar: sc.Name, Incarnation: "1", Sequence: 1, Succeeded: 1, Running: rnd.IntN(9), Queued: rnd.IntN(4),
			Flows: []rgmodel.FlowLoad{{Flow: flo, Queued: rnd.IntN(4), Running: rnd.IntN(9)}},
			ServiceTimes: []rgmodel.KindServiceTime{
				{Kind: "kind", Mean: rgmodel.Duration{Duration: time.Duration(100+rnd.IntN(400)) * time.Millisecond}},
			},
		}, now)
	}
	cases := []struct{ tasks, limit int }{
		{1, rgplacement.SampleSize(1)}, {60, rgplacement.SampleSize(60)}, {360, rgplacement.SampleSize(360)}, {360, members},
	}
	for _, tc := range cases {
		b.Run(fmt.Sprintf("%dTasks/%dCandidates", tc.tasks, tc.limit), func(b *testing.B) {
			for range b.N {
				mems := rgfleet.Sample(&flt, rgfleet.Selector{Limit: tc.limit}, rnd, now)
				cans := make([]rgplacement.Candidate, 0, len(mems))
				for _, mem := range mems {
					cans = append(cans, rgplacement.NewCandidate(&flt, mem, rgplacement.JobInfo{Flow: flo, Entries: 3}, now))
				}
				rgplacement.Distribute(rgplacement.EarliestFinish{}, cans, tc.tasks, rnd)
			}
		})
	}
}

// BenchmarkEjection measures the tasks that are lost if one of ten upstreams fails every task in 5 ms, if one is hung, and
// if both faults occur.
func BenchmarkEjection(b *testing.B) {
	faults := []struct{ name, failing, hung string }{
		{"none", "", ""}, {"failing", "s2", ""}, {"hung", "", "s3"}, {"both", "s2", "s3"},
	}
	policies := []struct {
		name   string
		policy rgplacement.Policy
	}{{"random", rgplacement.Random{}}, {"leastFinish", rgplacement.EarliestFinish{}}}
	for _, fault := range faults {
		for _, pol := range policies {
			for _, noEjection := range []bool{true, false} {
				b.Run(fmt.Sprintf("%s/%s/ejection=%v", fault.name, pol.name, !noEjection), func(b *testing.B) {
					var res result
					for range b.N {
						res = simulate(settings{
							policy: pol.policy, entryCount: 3, load: 0.5, duration: 5 * time.Minute, reportDelay: reportDelay, declared: 1,
							failing: fault.failing, hung: fault.hung, noEjection: noEjection,
						}, seed)
					}
					b.ReportMetric(100*float64(res.lost)/float64(res.tasks), "%tasksLost")
					b.ReportMetric(100*float64(res.complete)/float64(res.jobs), "%complete")
					b.ReportMetric(quantile(res.responseRatios, 0.99), "p99/ideal")
				})
			}
		}
	}
}

// BenchmarkDeclaredTimes measures whether placement recovers from declared times that are wrong by a factor of ten, for
// the jobs of the first two seconds and the jobs after ten seconds.
func BenchmarkDeclaredTimes(b *testing.B) {
	for _, factor := range []float64{0.1, 1, 10} {
		b.Run(fmt.Sprintf("declared=%vx", factor), func(b *testing.B) {
			var first, rest []float64
			for range b.N {
				first, rest = nil, nil
				for run := range uint64(40) {
					res := simulate(settings{
						policy: rgplacement.EarliestFinish{}, entryCount: 3, load: 0.7, duration: 20 * time.Second,
						reportDelay: reportDelay,
						declared:    factor,
					}, seed+run)
					for i, at := range res.arrivals {
						switch {
						case at < 2*time.Second:
							first = append(first, res.responseRatios[i])
						case at >= 10*time.Second:
							rest = append(rest, res.responseRatios[i])
						}
					}
				}
			}
			b.ReportMetric(quantile(first, 0.5), "first2s-p50/ideal")
			b.ReportMetric(quantile(first, 0.99), "first2s-p99/ideal")
			b.ReportMetric(quantile(rest, 0.5), "after10s-p50/ideal")
			b.ReportMetric(quantile(rest, 0.99), "after10s-p99/ideal")
		})
	}
}

// BenchmarkRetryBudget measures the ratio of retries to first attempts at overload.
func BenchmarkRetryBudget(b *testing.B) {
	policies := []struct {
		name   string
		policy rgplacement.Policy
	}{{"random", rgplacement.Random{}}, {"leastFinish", rgplacement.EarliestFinish{}}}
	for _, pol := range policies {
		for _, load := range []float64{1.1, 2, 4} {
			b.Run(fmt.Sprintf("%s/%.0f%%", pol.name, 100*load), func(b *testing.B) {
				var res result
				for range b.N {
					res = simulate(settings{
						policy: pol.policy, entryCount: 3, load: load, duration: 2 * time.Minute, reportDelay: reportDelay, declared: 1,
					}, seed)
				}
				b.ReportMetric(float64(res.firstAttempts), "firstBatches")
				b.ReportMetric(float64(res.retries), "retries")
				b.ReportMetric(float64(res.wantedRetries), "retriesWanted")
				b.ReportMetric(float64(res.retries)/float64(res.firstAttempts), "retries/first")
			})
		}
	}
}
