package rgproof

import (
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

const (
	recoveryJobs  = 60
	recoveryTasks = 4
)

// TestRecovery guards against violations of the invariants when the submissions of a killed entry are resubmitted to another
// entry right after the kill: 30 that were answered before and 30 that were in flight. It prints how they are recovered, but
// does not check these figures.
func TestRecovery(t *testing.T) {
	tests := map[string]struct {
		seed     uint64
		sidecars []int
	}{
		"entry killed":               {seed: 41},
		"entry and 1 of 3 sidecars":  {seed: 42, sidecars: []int{1}},
		"entry and all sidecars":     {seed: 43, sidecars: []int{0, 1, 2}},
		"entry killed, another seed": {seed: 44},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, tc.seed, 3, 3)
			ids := make([]rgmodel.SubmissionID, recoveryJobs)
			for i := range ids {
				ids[i] = sys.newIDHomedAt(1)
			}
			answered, inFlight := ids[:recoveryJobs/2], ids[recoveryJobs/2:]
			for _, id := range answered {
				sys.submit(1, id, "first", recoveryTasks)
			}
			sys.setRunTime(400 * time.Millisecond)
			var submissions sync.WaitGroup
			for _, id := range inFlight {
				submissions.Go(func() { sys.submitWithin(1, id, "first", recoveryTasks, 20*time.Second) })
			}
			sys.waitUntil("tasks in flight", readyTimeout, func() bool { return sys.startCount(inFlight[0]) > 0 })
			sys.entries[1].signal(syscall.SIGKILL)
			for _, num := range tc.sidecars {
				sys.sidecars[num].signal(syscall.SIGKILL)
			}
			killed := time.Now()
			submissions.Wait()
			t.Logf("answered before: %+v", sys.resubmit(answered, killed))
			t.Logf("in flight: %+v", sys.resubmit(inFlight, killed))
			sys.checkHistory()
		})
	}
}

// recoverySummary counts the answers to resubmissions. Exact counts complete answers, Other those with an error. The times
// from the kill to an answer are First, Median and Last.
type recoverySummary struct {
	Exact, MayHaveRun, NotRun, Other int
	First, Median, Last              time.Duration
}

// resubmit submits all ids again concurrently and summarizes the answers.
func (sys *system) resubmit(ids []rgmodel.SubmissionID, killed time.Time) recoverySummary {
	atts := make([]attempt, len(ids))
	var running sync.WaitGroup
	for i, id := range ids {
		running.Go(func() { atts[i] = sys.submitWithin(0, id, "first", recoveryTasks, 20*time.Second) })
	}
	running.Wait()
	var rec recoverySummary
	var times []time.Duration
	for _, att := range atts {
		times = append(times, att.ended.Sub(killed).Round(time.Millisecond))
		switch {
		case att.answer.Status == "complete":
			rec.Exact++
		case att.err != nil:
			rec.Other++
		case slices.ContainsFunc(att.answer.Tasks, func(tsk rgapi.TaskOutcome) bool { return tsk.Verdict == rgmodel.MayHaveRun }):
			rec.MayHaveRun++
		default:
			rec.NotRun++
		}
	}
	slices.Sort(times)
	rec.First, rec.Median, rec.Last = times[0], times[len(times)/2], times[len(times)-1]
	return rec
}
