package rgqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

const (
	propertySeed = 20261204
	submissions  = 6
	maxJobTasks  = 4
)

type (
	taskKey struct {
		id    rgmodel.SubmissionID
		index int
	}

	// history is a sequence of operations on a sidecar, with the starts and final outcomes seen so far.
	history struct {
		sta     *rgqueue.State
		now     time.Time
		running []rgqueue.StartedTask
		starts  map[taskKey]int
		final   map[taskKey]rgmodel.Outcome
	}
)

// TestRandomOperations guards against sequences of operations after which a task starts twice, a final outcome changes, a
// started task counts as not run, a stale batch leaves a record, or a counter is wrong.
func TestRandomOperations(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 500
	params.MaxSize = 80
	prp := gopter.NewProperties(params)
	prp.Property("final outcomes are correct and do not change", prop.ForAll(func(ops []int) string {
		his := history{sta: newReadyState(2), now: epoch, starts: map[taskKey]int{}, final: map[taskKey]rgmodel.Outcome{}}
		for i, op := range ops {
			his.apply(op)
			if violation := his.check(); violation != "" {
				return fmt.Sprintf("after operation %d (%d): %s", i, op, violation)
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 9999))))
	prp.TestingRun(t)
}

// apply decodes and executes one operation. Most operations are batches, starts and finishes. A stale batch that is accepted or
// leaves a record is noted as a task that started twice, so that check reports it.
func (his *history) apply(op int) {
	kind, arg := op%20, op/20
	id := rgmodel.SubmissionID(fmt.Sprintf("job%d", arg%submissions))
	switch {
	case kind < 8:
		bat := batch(string(id), fmt.Sprintf("k%d", arg%submissions%2), 1+arg%maxJobTasks)
		bat.Generation = his.sta.MinGeneration + uint64(arg%5) - min(his.sta.MinGeneration, 1)
		bat.Remaining.Duration = time.Duration(arg%30) * 100 * time.Millisecond
		stale := bat.Generation < his.sta.MinGeneration
		known := his.sta.Records[id] != nil
		rsn := rgqueue.Accept(his.sta, bat, his.now)
		if stale && (rsn != rgmodel.ReasonStaleGeneration || (!known && his.sta.Records[id] != nil)) {
			his.starts[taskKey{id: "stale batch accepted"}] = 2
		}
	case kind < 13:
		for _, stt := range rgqueue.StartNext(his.sta, his.now).Started {
			his.starts[taskKey{id: stt.ID, index: stt.Task.Index}]++
			his.running = append(his.running, stt)
		}
	case kind < 16 && len(his.running) > 0:
		idx := arg % len(his.running)
		stt := his.running[idx]
		his.running = append(his.running[:idx], his.running[idx+1:]...)
		rgqueue.Finish(his.sta, stt, succeeded(stt), time.Duration(arg)*time.Millisecond)
	case kind == 16:
		rgqueue.Cancel(his.sta, []rgmodel.SubmissionID{id}, epoch)
	case kind == 17:
		his.now = his.now.Add(time.Duration(arg%20) * 50 * time.Millisecond)
		rgqueue.ExpireQueued(his.sta, his.now)
		rgqueue.ExpireRecords(his.sta, his.now)
	case kind == 18:
		rgqueue.Seal(his.sta, rgmodel.Ring{Generation: uint64(arg % 4)}, rgmodel.Entry{})
	case kind == 19 && arg%10 == 0:
		rgqueue.Drain(his.sta, time.Second)
	}
}

// check returns a violation of the invariants, or an empty string. It remembers the final outcomes.
func (his *history) check() string {
	if !countersMatch(his.sta) || his.sta.Running != len(his.running) {
		return fmt.Sprintf("%d queued and %d running do not match the records", his.sta.Queued, his.sta.Running)
	}
	for key, cnt := range his.starts {
		if cnt > 1 {
			return fmt.Sprintf("%v started %d times", key, cnt)
		}
	}
	for id, rec := range his.sta.Records {
		for idx, tsk := range rec.Tasks {
			key := taskKey{id: id, index: idx}
			if tsk.State != rgmodel.TaskFinal {
				continue
			}
			old, seen := his.final[key]
			if seen && (old.Verdict != tsk.Outcome.Verdict || old.Reason != tsk.Outcome.Reason) {
				return fmt.Sprintf("%v changed from %v to %v", key, old, tsk.Outcome)
			}
			his.final[key] = tsk.Outcome
			if (tsk.Outcome.Verdict == rgmodel.NotRun) == (his.starts[key] > 0) {
				return fmt.Sprintf("%v: verdict %s after %d starts", key, tsk.Outcome.Verdict, his.starts[key])
			}
		}
	}
	return ""
}
