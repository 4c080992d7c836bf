package rgdemo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-json-experiment/json"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

const (
	jobsPerKind    = 40
	tasksPerJob    = 12
	callersPerKind = 1
	deadline       = 10 * time.Second
	// hundredth is the resolution of the ratios in the histograms.
	hundredth = 0.01
)

type (
	kind struct {
		team, name string
	}

	// tally counts what became of the jobs of one kind.
	tallyRow struct {
		complete, refused, failed int
		tasks                     int
		ratios                    *hdrhistogram.Histogram
	}

	report struct {
		rows     map[kind]*tallyRow
		counters map[string]int64
		doubled  int
	}
)

var kinds = []kind{
	{team: "kitapDostu", name: "readingLists"},
	{team: "kitapDostu", name: "chapterReminders"},
	{team: "kitapDostu", name: "signUps"},
	{team: "zelenaSkola", name: "menuConfirmations"},
	{team: "zelenaSkola", name: "allocations"},
	{team: "zelenaSkola", name: "stockChecks"},
}

// load submits jobs of all kinds from several callers at once.
func (sys *system) load(ctx context.Context, out io.Writer) (*report, error) {
	rep := &report{rows: map[kind]*tallyRow{}}
	var mutex sync.Mutex
	for _, knd := range kinds {
		rep.rows[knd] = &tallyRow{ratios: hdrhistogram.New(1, 1_000_000, 3)}
	}
	done := 0
	pol := pool.New().WithErrors().WithContext(ctx).WithMaxGoroutines(callersPerKind * len(kinds))
	for i := range jobsPerKind {
		for _, knd := range kinds {
			pol.Go(func(ctx context.Context) error {
				began := time.Now()
				ans, err := submit(ctx, sys.callers[i%len(sys.callers)], knd)
				if err != nil {
					return err
				}
				mutex.Lock()
				defer mutex.Unlock()
				rep.add(knd, ans, float64(time.Since(began))/float64(sys.ideal(knd.name)))
				done++
				if done%60 == 0 {
					say(out, "%d of %d jobs answered", done, jobsPerKind*len(kinds))
				}
				return nil
			})
		}
	}
	if err := pol.Wait(); err != nil {
		return nil, errors.Trace(err)
	}
	rep.counters = map[string]int64{}
	for _, cnt := range sys.metrics.Snapshot().Counters() {
		rep.counters[cnt.Name()] += cnt.Value()
	}
	rep.doubled = sys.doubled()
	return rep, nil
}

// ideal is the mean run time on the fastest upstream: all tasks at once on idle upstreams without a dispatcher.
func (sys *system) ideal(knd string) time.Duration {
	best := sys.upstreams[0].Mean(knd)
	for _, ups := range sys.upstreams {
		best = min(best, ups.Mean(knd))
	}
	return best
}

func submit(ctx context.Context, adr string, knd kind) (rgapi.JobAnswer, error) {
	tasks := make([]string, tasksPerJob)
	for i := range tasks {
		tasks[i] = fmt.Sprintf(`{"number":%d}`, i)
	}
	body := fmt.Sprintf(`{"team":%q,"kind":%q,"deadline":%q,"tasks":[%s]}`, knd.team, knd.name, deadline, strings.Join(tasks, ","))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+adr+"/v1/jobs", bytes.NewBufferString(body))
	if err != nil {
		return rgapi.JobAnswer{}, errors.Trace(err)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rgapi.JobAnswer{}, errors.Annotate(err, "submit")
	}
	defer func() { _ = rsp.Body.Close() }()
	var ans rgapi.JobAnswer
	err = json.UnmarshalRead(rsp.Body, &ans)
	return ans, errors.Annotate(err, "answer")
}

func (rep *report) add(knd kind, ans rgapi.JobAnswer, ratio float64) {
	row := rep.rows[knd]
	switch {
	case ans.Status == "complete" && len(ans.Results) == tasksPerJob:
		row.complete++
		row.tasks += tasksPerJob
		_ = row.ratios.RecordValue(int64(ratio / hundredth))
	case allNotRun(ans):
		row.refused++
	default:
		row.failed++
	}
}

func allNotRun(ans rgapi.JobAnswer) bool {
	for _, tsk := range ans.Tasks {
		if tsk.Verdict != rgmodel.NotRun {
			return false
		}
	}
	return len(ans.Tasks) == tasksPerJob
}

// doubled counts the tasks that upstreams started more than once.
func (sys *system) doubled() int {
	seen := map[string]int{}
	dbl := 0
	for _, stt := range sys.starts.All() {
		key := string(stt.ID) + "/" + stt.Index
		seen[key]++
		if seen[key] == 2 {
			dbl++
		}
	}
	return dbl
}

func (rep *report) print(out io.Writer) {
	names := make([]kind, 0, len(rep.rows))
	tasks := 0
	for knd, row := range rep.rows {
		names = append(names, knd)
		tasks += row.tasks
	}
	sort.Slice(names, func(i, j int) bool { return names[i].team+names[i].name < names[j].team+names[j].name })
	say(out, "\n%-12s %-18s %8s %8s %8s %12s %12s %8s", "team", "kind", "complete", "refused", "failed", "p50/ideal", "p99/ideal", "share")
	for _, knd := range names {
		row := rep.rows[knd]
		say(out, "%-12s %-18s %8d %8d %8d %12.2f %12.2f %7.1f%%", knd.team, knd.name, row.complete, row.refused, row.failed,
			float64(row.ratios.ValueAtQuantile(50))*hundredth, float64(row.ratios.ValueAtQuantile(99))*hundredth,
			100*float64(row.tasks)/float64(max(1, tasks)))
	}
	batches := rep.counters["batches"]
	wasted := rep.counters["retries"] + rep.counters["unanswered"]
	forwards := rep.counters["forwards"]
	perTask := float64(2*(batches+forwards)) / float64(max(1, tasks))
	say(out, "\nmessages per task: %.2f (%d batches, each answered, and %d forwards)", perTask, batches, forwards)
	say(out, "wasted messages: %d", wasted)
	say(out, "tasks started twice: %d", rep.doubled)
}

// verdict fails if an answer was neither complete nor a refusal, or a task was started twice.
func (rep *report) verdict() error {
	for knd, row := range rep.rows {
		if row.failed > 0 {
			return errors.Errorf("%d jobs of %s/%s were neither complete nor refused", row.failed, knd.team, knd.name)
		}
	}
	if rep.doubled > 0 {
		return errors.Errorf("%d tasks were started twice", rep.doubled)
	}
	return nil
}
