package rghome

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/core/rgring"
)

// stepEntry reads the store, updates the connections of the sidecars and advances the parts of running jobs.
func (sim *simulation) stepEntry(ent *entry) {
	if sim.reachable(ent.self.Incarnation, "") && sim.rnd.IntN(3) == 0 {
		sim.adoptRing(ent, sim.ring)
	}
	if !rgring.KnowsAllSidecars(&ent.home.Ring) && slices.Contains(ent.home.Ring.Ring.Entries, ent.self) {
		sim.syncSidecars(ent)
	}
	sim.disableMechanism(ent)
	sim.propagateRing(ent)
	for _, sc := range sim.sidecars {
		mem := ent.home.Fleet.Members[sc.key.Name]
		if mem == nil || mem.Sidecar.Incarnation != sc.key.Incarnation || !mem.Connected {
			continue
		}
		if sc.crashed || !sim.reachable(ent.self.Incarnation, sc.key.Incarnation) {
			rgfleet.Disconnect(&ent.home.Fleet, sc.key, sim.now)
		} else if ent.home.Ring.PendingSeals[sc.key] {
			sim.sealSidecar(ent, sc)
		}
	}
	RemoveLostSidecars(&ent.home, sim.now)
	for _, prt := range ent.parts {
		if !prt.done {
			sim.advancePart(ent, prt)
		}
	}
	ent.parts = slices.DeleteFunc(ent.parts, func(prt *partRun) bool { return prt.done })
}

func (sim *simulation) adoptRing(ent *entry, rng rgmodel.Ring) {
	moved, ok := AdoptRing(&ent.home, rng, sim.now)
	if !ok {
		return
	}
	sim.logf("", "%s adopts %d, complete since %d, pending %v, records lost before %s", ent.self.Incarnation, rng.Generation,
		ent.home.Ring.AllSidecarsKnownSince, ent.home.Ring.PendingSeals, ent.home.Ring.RecordsLostBefore.Format("04:05.0"))
	for _, id := range moved {
		if rn := ent.runs[id]; rn != nil {
			rn.moved = true
			delete(ent.runs, id)
		}
	}
}

// disableMechanism applies the disabled mechanism, if it is one of entries that can be bypassed by a change of their state.
func (sim *simulation) disableMechanism(ent *entry) {
	switch sim.disabled {
	case "lost records":
		ent.home.Ring.RecordsLostBefore = time.Time{}
	case "ring lease":
		ent.home.Ring.RingLeaseUntil = sim.now.Add(time.Hour)
	case "sidecar sync":
		ent.home.Ring.AllSidecarsKnownSince, ent.home.Ring.Unresponsive = max(1, ent.home.Ring.AllSidecarsKnownSince), nil
	}
}

// propagateRing sends the ring to the entries that have not confirmed it, whose replies confirm its adoption, and removes those
// that have crashed and are reachable.
func (sim *simulation) propagateRing(ent *entry) {
	rng := ent.home.Ring.Ring
	for _, oth := range sim.entries {
		if ent.home.Ring.Unconfirmed[oth.self.Incarnation].IsZero() {
			continue
		}
		if oth.crashed && sim.reachable(ent.self.Incarnation, oth.self.Incarnation) {
			rgring.RemoveEntry(&ent.home.Ring, oth.self.Incarnation)
		}
		sim.send(ent.self.Incarnation, oth.self.Incarnation, func() {
			sim.adoptRing(oth, rng)
			gen := oth.home.Ring.Ring.Generation
			sim.send(oth.self.Incarnation, ent.self.Incarnation, func() {
				rgring.ConfirmRing(&ent.home.Ring, oth.self.Incarnation, gen)
			})
		})
	}
}

func (sim *simulation) sealSidecar(ent *entry, sc *sidecar) {
	rng := ent.home.Ring.Ring
	sim.send(ent.self.Incarnation, sc.key.Incarnation, func() {
		rgqueue.AdoptRing(&sc.queue, rng)
		recs := rgqueue.Seal(&sc.queue, rng, ent.self)
		sim.send(sc.key.Incarnation, ent.self.Incarnation, func() {
			if mem := ent.home.Fleet.Members[sc.key.Name]; mem != nil && mem.Connected {
				RecordSeal(&ent.home, sc.key, rng.Generation, recs)
			}
		})
	})
	if sim.disabled == "seal wait" {
		RecordSeal(&ent.home, sc.key, rng.Generation, nil)
	}
}

// advancePart sends a part, resends it after a timeout, and ends it at the deadline or when its sidecar is lost.
func (sim *simulation) advancePart(ent *entry, prt *partRun) {
	if prt.run.moved {
		prt.done = true
		return
	}
	mem := ent.home.Fleet.Members[prt.part.Sidecar.Name]
	switch {
	case sim.now.After(prt.run.ends):
		sim.finishPart(ent, prt, rgjob.OutcomesWithoutReply(prt.part, prt.mayHaveRun, rgmodel.ReasonDeadlineExceeded))
	case mem == nil || mem.Sidecar.Incarnation != prt.part.Sidecar.Incarnation:
		sim.finishPart(ent, prt, rgjob.OutcomesWithoutReply(prt.part, prt.mayHaveRun, rgmodel.ReasonSidecarLost))
	case mem.Connected && mem.Sealed && sim.now.Sub(prt.sent) > 5*stepTime:
		prt.sent = sim.now
		sim.sendPart(ent, prt)
	}
}

func (sim *simulation) sendPart(ent *entry, prt *partRun) {
	idx := slices.IndexFunc(sim.sidecars, func(sc *sidecar) bool { return sc.key == prt.part.Sidecar })
	sc := sim.sidecars[idx]
	bat := rgmodel.Batch{
		ID: prt.run.job.ID, Digest: prt.run.job.Digest, Flow: prt.run.job.Flow, Tasks: prt.part.Tasks,
		Generation: rgring.BatchGeneration(ent.home.Ring.Ring, ent.self, prt.run.job.ID, prt.run.generation),
		Remaining:  rgmodel.Duration{Duration: prt.run.ends.Sub(sim.now)},
	}
	if sim.disabled == "generation" {
		bat.Generation = 1 << 40
	}
	prt.mayHaveRun = true
	sim.logf(bat.ID, "%s sends to %s with generation %d", ent.self.Incarnation, sc.key.Incarnation, bat.Generation)
	sim.send(ent.self.Incarnation, sc.key.Incarnation, func() {
		if !prt.part.Recorded && rgqueue.Accept(&sc.queue, bat, sim.now) != "" {
			return
		}
		sc.pendingCalls = append(sc.pendingCalls, pendingCall{caller: ent, part: prt})
	})
}

// finishPart records the outcomes of a part and finishes the job with its last part.
func (sim *simulation) finishPart(ent *entry, prt *partRun, outs []rgmodel.Outcome) {
	prt.done = true
	rn := prt.run
	rn.pending--
	if retry := rgjob.RecordOutcomes(rn.tracker, prt.part, outs); len(retry) > 0 && !rn.moved {
		pts := Replan(&ent.home, rn.job, retry, maps.Clone(rn.tracker.Tried), sim.now, sim.rnd)
		sim.startParts(ent, rn, pts)
		if len(pts) == 0 {
			rgjob.MarkCannotSucceed(rn.tracker)
		}
	}
	if rn.pending > 0 || rn.moved {
		return
	}
	delete(ent.runs, rn.job.ID)
	sim.checkAnswer(rn.job, Finish(&ent.home, rn.tracker.Answer(rn.job.ID), rn.tracker.Locations(), sim.now))
}

func (sim *simulation) startParts(ent *entry, rn *jobRun, pts []rgjob.Part) {
	rn.pending += len(pts)
	for _, prt := range pts {
		ent.parts = append(ent.parts, &partRun{run: rn, part: prt, mayHaveRun: prt.Recorded})
	}
}

// stepSidecar reports to the entries of the ring, starts and ends tasks, and replies to calls.
func (sim *simulation) stepSidecar(sc *sidecar) {
	for _, ent := range sim.entries {
		if sim.isRunning(ent.crashed, ent.pausedUntil) && sim.reachable(sc.key.Incarnation, ent.self.Incarnation) {
			sim.report(sc, ent)
		}
	}
	if sim.disabled == "isolation" {
		for _, ent := range sc.queue.Ring.Entries {
			rgqueue.RecordContact(&sc.queue, ent, sim.now)
		}
	}
	for _, stt := range rgqueue.StartNext(&sc.queue, sim.now).Started {
		sim.logf(stt.ID, "%s starts %d, ring %d", sc.key.Incarnation, stt.Task.Index, sc.queue.Ring.Generation)
		sim.starts[fmt.Sprintf("%s/%d", stt.ID, stt.Task.Index)]++
		sim.running = append(sim.running, runningTask{sidecar: sc, start: stt, endsAt: sim.now.Add(taskTime)})
	}
	sim.running = slices.DeleteFunc(sim.running, func(run runningTask) bool {
		if run.sidecar != sc || sim.now.Before(run.endsAt) {
			return false
		}
		rgqueue.Finish(&sc.queue, run.start, rgmodel.Outcome{Index: run.start.Task.Index, Verdict: rgmodel.RanOK}, taskTime)
		return true
	})
	rgqueue.ExpireQueued(&sc.queue, sim.now)
	sc.pendingCalls = slices.DeleteFunc(sc.pendingCalls, func(pc pendingCall) bool { return sim.replyToCall(sc, pc) })
}

// report combines announcement and load report: both count as contact and transfer the ring.
func (sim *simulation) report(sc *sidecar, ent *entry) {
	rng := ent.home.Ring.Ring
	known := slices.Contains(sc.queue.Ring.Entries, ent.self)
	if !known && sc.queue.Ring.Generation > 0 {
		return
	}
	if rng.Generation > 0 {
		rgqueue.AdoptRing(&sc.queue, rng)
	}
	if !slices.Contains(sc.queue.Ring.Entries, ent.self) {
		return
	}
	if mem := ent.home.Fleet.Members[sc.key.Name]; mem == nil || mem.Sidecar.Incarnation != sc.key.Incarnation || !mem.Connected {
		Announce(&ent.home, sc.queue.Self, sim.now)
	}
	rep := rgqueue.NewReport(&sc.queue)
	rep.Sequence = uint64(sim.now.UnixMilli())
	rgfleet.RecordReport(&ent.home.Fleet, rep, sim.now)
	rgqueue.RecordContact(&sc.queue, ent.self, sim.now)
}

func (sim *simulation) replyToCall(sc *sidecar, pc pendingCall) bool {
	var idxs []int
	for _, tsk := range pc.part.part.Tasks {
		idxs = append(idxs, tsk.Index)
	}
	outs, final := rgqueue.Outcomes(&sc.queue, pc.part.run.job.ID, idxs)
	if final {
		sim.send(sc.key.Incarnation, pc.caller.self.Incarnation, func() {
			if !pc.part.done && !pc.part.run.moved {
				sim.finishPart(pc.caller, pc.part, outs)
			}
		})
	}
	return final
}

// stepCallers submits new jobs at random, and resubmits earlier ones at any entry.
func (sim *simulation) stepCallers() {
	for _, cal := range sim.calls {
		if sim.isRunning(cal.entry.crashed, cal.entry.pausedUntil) && sim.rnd.IntN(3) == 0 {
			sim.submit(cal.entry, cal.job, 0)
		}
	}
	sim.calls = slices.DeleteFunc(sim.calls, func(call) bool { return sim.rnd.IntN(12) == 0 })
	if sim.rnd.IntN(2) == 0 {
		sim.calls = append(sim.calls, call{job: sim.newJob(), entry: sim.entries[sim.rnd.IntN(len(sim.entries))]})
	}
	if len(sim.calls) > 0 {
		// The caller stops waiting for the answer and resubmits the job through another entry.
		jb := sim.calls[sim.rnd.IntN(len(sim.calls))].job
		sim.calls = append(sim.calls, call{job: jb, entry: sim.entries[sim.rnd.IntN(len(sim.entries))]})
	}
}

func (sim *simulation) newJob() rgmodel.Job {
	// The clock skew of callers is at most half of the limit.
	skew := time.Duration(sim.rnd.IntN(int(rgmodel.ClockSkewLimit))) - rgmodel.ClockSkewLimit/2
	var uid uuid.UUID
	binary.BigEndian.PutUint64(uid[:], uint64(sim.now.Add(skew).UnixMilli())<<16|0x7000|uint64(sim.rnd.IntN(1<<12)))
	binary.BigEndian.PutUint64(uid[8:], sim.rnd.Uint64()&(1<<62-1)|1<<63)
	jb := rgmodel.Job{ID: rgmodel.SubmissionID(uid.String()), Digest: 1, Deadline: rgmodel.Duration{Duration: deadline}}
	for i := range 1 + sim.rnd.IntN(3) {
		jb.Tasks = append(jb.Tasks, rgmodel.Task{Index: i})
	}
	return jb
}

func (sim *simulation) submit(ent *entry, jb rgmodel.Job, hops int) {
	dec := Submit(&ent.home, jb, false, sim.now, sim.rnd)
	sim.logf(jb.ID, "%s decides %T at ring %d", ent.self.Incarnation, dec, ent.home.Ring.Ring.Generation)
	switch dec := dec.(type) {
	case Forward:
		for _, oth := range sim.entries {
			if oth.self == dec.Home && hops < 3 {
				sim.send(ent.self.Incarnation, oth.self.Incarnation, func() { sim.submit(oth, jb, hops+1) })
			}
		}
	case FinalAnswer:
		sim.checkAnswer(jb, dec.Answer)
	case StartJob:
		rn := &jobRun{
			job: jb, tracker: rgjob.NewTracker(jb, dec.Plan), ends: sim.now.Add(deadline), generation: ent.home.Ring.Ring.Generation,
		}
		ent.runs[jb.ID] = rn
		sim.startParts(ent, rn, dec.Plan.Parts)
	}
}

// checkAnswer adds a violation if an answer lacks outcomes or contradicts the recorded starts.
func (sim *simulation) checkAnswer(jb rgmodel.Job, ans rgmodel.Answer) {
	sim.answered++
	sim.logf(jb.ID, "answer %v", ans.Outcomes)
	if len(ans.Outcomes) != len(jb.Tasks) {
		sim.violations = append(sim.violations, fmt.Sprintf("%s: %d outcomes for %d tasks", jb.ID, len(ans.Outcomes), len(jb.Tasks)))
	}
	for _, out := range ans.Outcomes {
		key := fmt.Sprintf("%s/%d", jb.ID, out.Index)
		if out.Verdict == rgmodel.NotRun && sim.starts[key] > 0 {
			sim.violations = append(sim.violations, key+": answered not run ("+string(out.Reason)+") after its start")
		}
		if out.Verdict == rgmodel.RanOK && sim.starts[key] == 0 {
			sim.violations = append(sim.violations, key+": answered without a start")
		}
	}
}
