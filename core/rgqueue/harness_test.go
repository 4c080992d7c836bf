package rgqueue_test

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// epoch is the start of virtual time in the tests with newReadyState.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func flow(kind string) rgmodel.Flow {
	return rgmodel.Flow{Team: "zelenaSkola", Kind: kind}
}

// newReadyState returns the state of a sidecar that is in contact with the only entry of its ring.
func newReadyState(slots int) *rgqueue.State {
	ent := rgmodel.Entry{Name: "e1", Incarnation: "i1"}
	sta := &rgqueue.State{Self: rgmodel.Sidecar{Name: "s1", Capacity: rgmodel.Capacity{Slots: slots}}}
	rgqueue.AdoptRing(sta, rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{ent}})
	// The entry stays in contact for the whole test.
	rgqueue.RecordContact(sta, ent, epoch.Add(24*time.Hour))
	return sta
}

func batch(id, kind string, tasks int) rgmodel.Batch {
	bat := rgmodel.Batch{
		ID: rgmodel.SubmissionID(id), Digest: 7, Generation: 1, Flow: flow(kind),
		Remaining: rgmodel.Duration{Duration: time.Minute},
	}
	for i := range tasks {
		bat.Tasks = append(bat.Tasks, rgmodel.Task{Index: i})
	}
	return bat
}

func succeeded(stt rgqueue.StartedTask) rgmodel.Outcome {
	return rgmodel.Outcome{Index: stt.Task.Index, Verdict: rgmodel.RanOK, Result: rgmodel.Payload(`"done"`)}
}

// finalOutcomes returns the final outcomes of a submission by task index.
func finalOutcomes(sta *rgqueue.State, id string, tasks int) map[int]rgmodel.Outcome {
	outs := map[int]rgmodel.Outcome{}
	for idx := range tasks {
		if got, final := rgqueue.Outcomes(sta, rgmodel.SubmissionID(id), []int{idx}); final {
			outs[idx] = got[0]
		}
	}
	return outs
}

// countersMatch reports whether the counters of queued and running tasks agree with the records and the flows.
func countersMatch(sta *rgqueue.State) bool {
	queued, running := 0, 0
	for _, rec := range sta.Records {
		for _, tsk := range rec.Tasks {
			switch tsk.State {
			case rgmodel.TaskQueued:
				queued++
			case rgmodel.TaskRunning:
				running++
			case rgmodel.TaskFinal:
			}
		}
	}
	flowQueued, flowRunning := 0, 0
	for _, flo := range sta.Flows {
		flowQueued += len(flo.Queue)
		flowRunning += flo.Running
	}
	return sta.Queued == queued && sta.Running == running && flowQueued == queued && flowRunning == running
}

type (
	// flowLoad is the load of a flow that always has queued tasks except in its idle period.
	flowLoad struct {
		kind    string
		weight  int
		urgency rgmodel.Urgency
		// declared and actual are the run times of a task. A declared time of zero means none.
		declared, actual time.Duration
		// idleFrom and idleUntil bound the period in which the flow has no work.
		idleFrom, idleUntil time.Duration
		fails               bool
	}

	runningTask struct {
		start rgqueue.StartedTask
		end   time.Duration
	}
)

// simulate runs the loads in virtual time and returns the slot time that each kind gets between from and until.
func simulate(t *testing.T, sta *rgqueue.State, loads []flowLoad, from, until time.Duration) map[string]time.Duration {
	t.Helper()
	wgts := map[rgmodel.Flow]int{}
	byKind := map[string]flowLoad{}
	for _, lod := range loads {
		wgts[flow(lod.kind)] = lod.weight
		byKind[lod.kind] = lod
	}
	rgqueue.SetWeights(sta, wgts)
	got := map[string]time.Duration{}
	var running []runningTask
	for now := time.Duration(0); now < until; {
		for _, lod := range loads {
			refill(sta, lod, now)
		}
		for _, stt := range rgqueue.StartNext(sta, epoch.Add(now)).Started {
			end := now + byKind[stt.Flow.Kind].actual
			running = append(running, runningTask{start: stt, end: end})
			got[stt.Flow.Kind] += max(0, min(end, until)-max(now, from))
		}
		if len(running) == 0 {
			t.Fatalf("no task runs at %s although flows have work", now)
		}
		next := 0
		for i, rt := range running {
			if rt.end < running[next].end {
				next = i
			}
		}
		rt := running[next]
		running = append(running[:next], running[next+1:]...)
		now = rt.end
		out := succeeded(rt.start)
		if byKind[rt.start.Flow.Kind].fails {
			out.Verdict = rgmodel.RanFailed
		}
		rgqueue.Finish(sta, rt.start, out, byKind[rt.start.Flow.Kind].actual)
		rgqueue.ExpireRecords(sta, epoch.Add(now))
	}
	return got
}

// refill accepts a batch if fewer than 8 tasks of the flow are queued, or cancels the queued tasks in the flow's idle period.
func refill(sta *rgqueue.State, lod flowLoad, now time.Duration) {
	if now >= lod.idleFrom && now < lod.idleUntil {
		rgqueue.Cancel(sta, queuedIDs(sta, lod.kind), epoch)
		return
	}
	if flo := sta.Flows[flow(lod.kind)]; flo != nil && len(flo.Queue) >= 8 {
		return
	}
	bat := batch(lod.kind+now.String(), lod.kind, 16)
	bat.Urgency = lod.urgency
	bat.RunTime.Duration = lod.declared
	bat.Remaining.Duration = time.Hour
	rgqueue.Accept(sta, bat, epoch.Add(now))
}

func queuedIDs(sta *rgqueue.State, kind string) []rgmodel.SubmissionID {
	var ids []rgmodel.SubmissionID
	if flo := sta.Flows[flow(kind)]; flo != nil {
		for _, qt := range flo.Queue {
			ids = append(ids, qt.ID)
		}
	}
	return ids
}
