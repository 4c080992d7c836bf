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
	jobDeadline    = 10 * time.Second
	// ratioResolution is the value of one histogram unit.
	ratioResolution = 0.01
)

type (
	// Kind identifies a kind of a team's jobs.
	Kind struct {
		Team, Name string
	}

	// KindCounts counts the jobs of one kind by outcome. TimeRatios holds their total times relative to the ideal run time.
	KindCounts struct {
		Complete, Refused, Failed int
		Tasks                     int
		TimeRatios                *hdrhistogram.Histogram
	}

	// Report holds the results of the load.
	Report struct {
		Rows            map[Kind]*KindCounts
		Counters        map[string]int64
		DuplicateStarts int
	}
)

var kinds = []Kind{
	{Team: "kitapDostu", Name: "readingLists"},
	{Team: "kitapDostu", Name: "chapterReminders"},
	{Team: "kitapDostu", Name: "signUps"},
	{Team: "zelenaSkola", Name: "menuConfirmations"},
	{Team: "zelenaSkola", Name: "allocations"},
	{Team: "zelenaSkola", Name: "stockChecks"},
}

// runLoad submits jobs of all kinds from concurrent callers.
func (sys *System) runLoad(ctx context.Context, out io.Writer) (*Report, error) {
	rep := &Report{Rows: map[Kind]*KindCounts{}}
	var mutex sync.Mutex
	for _, knd := range kinds {
		rep.Rows[knd] = &KindCounts{TimeRatios: hdrhistogram.New(1, 1_000_000, 3)}
	}
	done := 0
	pol := pool.New().WithErrors().WithContext(ctx).WithMaxGoroutines(callersPerKind * len(kinds))
	for i := range jobsPerKind {
		for _, knd := range kinds {
			pol.Go(func(ctx context.Context) error {
				began := time.Now()
				ans, err := submit(ctx, sys.CallerAddresses[i%len(sys.CallerAddresses)], knd)
				if err != nil {
					return err
				}
				mutex.Lock()
				defer mutex.Unlock()
				rep.add(knd, ans, float64(time.Since(began))/float64(sys.idealRunTime(knd.Name)))
				done++
				if done%60 == 0 {
					printLine(out, "%d of %d jobs answered", done, jobsPerKind*len(kinds))
				}
				return nil
			})
		}
	}
	if err := pol.Wait(); err != nil {
		return nil, errors.Trace(err)
	}
	rep.Counters = map[string]int64{}
	for _, cnt := range sys.Metrics.Snapshot().Counters() {
		rep.Counters[cnt.Name()] += cnt.Value()
	}
	rep.DuplicateStarts = sys.countDuplicateStarts()
	return rep, nil
}

// idealRunTime returns the mean run time on the fastest upstream: the time of a job whose tasks all start at once, without
// queueing or the overhead of entries and sidecars.
func (sys *System) idealRunTime(knd string) time.Duration {
	best := sys.Upstreams[0].MeanRunTime(knd)
	for _, ups := range sys.Upstreams {
		best = min(best, ups.MeanRunTime(knd))
	}
	return best
}

func submit(ctx context.Context, adr string, knd Kind) (rgapi.JobAnswer, error) {
	tasks := make([]string, tasksPerJob)
	for i := range tasks {
		tasks[i] = fmt.Sprintf(`{"number":%d}`, i)
	}
	body := fmt.Sprintf(`{"team":%q,"kind":%q,"deadline":%q,"tasks":[%s]}`, knd.Team, knd.Name, jobDeadline, strings.Join(tasks, ","))
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
	return ans, errors.Annotate(err, "decode answer")
}

func (rep *Report) add(knd Kind, ans rgapi.JobAnswer, ratio float64) {
	row := rep.Rows[knd]
	switch {
	case ans.Status == "complete" && len(ans.Results) == tasksPerJob:
		row.Complete++
		row.Tasks += tasksPerJob
		_ = row.TimeRatios.RecordValue(int64(ratio / ratioResolution))
	case allNotRun(ans):
		row.Refused++
	default:
		row.Failed++
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

// countDuplicateStarts returns the number of tasks that upstreams started more than once.
func (sys *System) countDuplicateStarts() int {
	seen := map[string]int{}
	duplicates := 0
	for _, stt := range sys.Starts.All() {
		key := string(stt.ID) + "/" + stt.Index
		seen[key]++
		if seen[key] == 2 {
			duplicates++
		}
	}
	return duplicates
}

func (rep *Report) print(out io.Writer) {
	names := make([]Kind, 0, len(rep.Rows))
	tasks := 0
	for knd, row := range rep.Rows {
		names = append(names, knd)
		tasks += row.Tasks
	}
	sort.Slice(names, func(i, j int) bool { return names[i].Team+names[i].Name < names[j].Team+names[j].Name })
	printLine(out, "\n%-12s %-18s %8s %8s %8s %12s %12s %8s", "team", "kind", "complete", "refused", "failed", "p50/ideal", "p99/ideal",
		"share")
	for _, knd := range names {
		row := rep.Rows[knd]
		printLine(out, "%-12s %-18s %8d %8d %8d %12.2f %12.2f %7.1f%%", knd.Team, knd.Name, row.Complete, row.Refused, row.Failed,
			float64(row.TimeRatios.ValueAtQuantile(50))*ratioResolution, float64(row.TimeRatios.ValueAtQuantile(99))*ratioResolution,
			100*float64(row.Tasks)/float64(max(1, tasks)))
	}
	batches := rep.Counters["batches"]
	wasted := rep.Counters["retries"] + rep.Counters["unanswered"]
	forwards := rep.Counters["forwards"]
	perTask := float64(2*(batches+forwards)) / float64(max(1, tasks))
	printLine(out, "\nmessages per task: %.2f (%d batches, each answered, and %d forwards)", perTask, batches, forwards)
	printLine(out, "wasted messages: %d", wasted)
	printLine(out, "tasks started twice: %d", rep.DuplicateStarts)
}

// check returns an error if an answer was neither complete nor a refusal, or if a task was started twice.
func (rep *Report) check() error {
	for knd, row := range rep.Rows {
		if row.Failed > 0 {
			return errors.Errorf("%d jobs of %s/%s were neither complete nor refused", row.Failed, knd.Team, knd.Name)
		}
	}
	if rep.DuplicateStarts > 0 {
		return errors.Errorf("%d tasks were started twice", rep.DuplicateStarts)
	}
	return nil
}
