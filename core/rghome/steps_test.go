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

// stepEntry follows the store and the sidecars' connections, and moves the parts of running jobs on.
func (wld *world) stepEntry(ent *entry) {
	if wld.reach(ent.self.Incarnation, "") && wld.rnd.IntN(3) == 0 {
		wld.adopt(ent, wld.ring)
	}
	if !rgring.KnowsAllSidecars(&ent.home.Ring) && slices.Contains(ent.home.Ring.Ring.Entries, ent.self) {
		wld.learn(ent)
	}
	wld.switchOff(ent)
	wld.tell(ent)
	for _, sid := range wld.sidecars {
		mem := ent.home.Fleet.Members[sid.key.Name]
		if mem == nil || mem.Sidecar.Incarnation != sid.key.Incarnation || !mem.Connected {
			continue
		}
		if sid.dead || !wld.reach(ent.self.Incarnation, sid.key.Incarnation) {
			rgfleet.Disconnect(&ent.home.Fleet, sid.key, wld.now)
		} else if ent.home.Ring.PendingSeals[sid.key] {
			wld.seal(ent, sid)
		}
	}
	Sweep(&ent.home, wld.now)
	for _, prt := range ent.parts {
		if !prt.done {
			wld.movePart(ent, prt)
		}
	}
	ent.parts = slices.DeleteFunc(ent.parts, func(prt *partRun) bool { return prt.done })
}

func (wld *world) adopt(ent *entry, rng rgmodel.Ring) {
	moved, ok := AdoptRing(&ent.home, rng, wld.now)
	if !ok {
		return
	}
	wld.note("", "%s adopts %d, since %d, pending %v, horizon %s", ent.self.Incarnation, rng.Generation, ent.home.Ring.MemberSince,
		ent.home.Ring.PendingSeals, ent.home.Ring.Horizon.Format("04:05.0"))
	for _, id := range moved {
		if rn := ent.runs[id]; rn != nil {
			rn.moved = true
			delete(ent.runs, id)
		}
	}
}

// switchOff takes a mechanism from an entry, for the runs that have to fail.
func (wld *world) switchOff(ent *entry) {
	switch wld.off {
	case "horizon":
		ent.home.Ring.Horizon = time.Time{}
	case "certainty":
		ent.home.Ring.LeaseUntil = wld.now.Add(time.Hour)
	case "learning":
		ent.home.Ring.MemberSince, ent.home.Ring.Unaccounted = max(1, ent.home.Ring.MemberSince), nil
	}
}

// tell passes the ring on to the other entries, whose replies confirm its adoption.
func (wld *world) tell(ent *entry) {
	rng := ent.home.Ring.Ring
	for _, oth := range wld.entries {
		if ent.home.Ring.Unconfirmed[oth.self.Incarnation].IsZero() {
			continue
		}
		if oth.dead && wld.reach(ent.self.Incarnation, oth.self.Incarnation) {
			rgring.EntryEnded(&ent.home.Ring, oth.self.Incarnation)
		}
		wld.send(ent.self.Incarnation, oth.self.Incarnation, func() {
			wld.adopt(oth, rng)
			gen := oth.home.Ring.Ring.Generation
			wld.send(oth.self.Incarnation, ent.self.Incarnation, func() {
				rgring.ConfirmRing(&ent.home.Ring, oth.self.Incarnation, gen)
			})
		})
	}
}

func (wld *world) seal(ent *entry, sid *sidecar) {
	rng := ent.home.Ring.Ring
	wld.send(ent.self.Incarnation, sid.key.Incarnation, func() {
		rgqueue.AdoptRing(&sid.queue, rng)
		recs := rgqueue.Seal(&sid.queue, rng, ent.self)
		wld.send(sid.key.Incarnation, ent.self.Incarnation, func() {
			if mem := ent.home.Fleet.Members[sid.key.Name]; mem != nil && mem.Connected {
				SealAnswered(&ent.home, sid.key, rng.Generation, recs)
			}
		})
	})
	if wld.off == "seal wait" {
		SealAnswered(&ent.home, sid.key, rng.Generation, nil)
	}
}

// movePart sends a part, sends it again after a while without an answer, and gives up in time.
func (wld *world) movePart(ent *entry, prt *partRun) {
	if prt.run.moved {
		prt.done = true
		return
	}
	mem := ent.home.Fleet.Members[prt.part.Sidecar.Name]
	switch {
	case wld.now.After(prt.run.ends):
		wld.settle(ent, prt, rgjob.UnansweredOutcomes(prt.part, prt.unsure, rgmodel.ReasonDeadlineExceeded))
	case mem == nil || mem.Sidecar.Incarnation != prt.part.Sidecar.Incarnation:
		wld.settle(ent, prt, rgjob.UnansweredOutcomes(prt.part, prt.unsure, rgmodel.ReasonSidecarLost))
	case mem.Connected && mem.Sealed && wld.now.Sub(prt.sent) > 5*step:
		prt.sent = wld.now
		wld.sendPart(ent, prt)
	}
}

func (wld *world) sendPart(ent *entry, prt *partRun) {
	idx := slices.IndexFunc(wld.sidecars, func(sid *sidecar) bool { return sid.key == prt.part.Sidecar })
	sid := wld.sidecars[idx]
	bat := rgmodel.Batch{
		ID: prt.run.job.ID, Digest: prt.run.job.Digest, Flow: prt.run.job.Flow, Tasks: prt.part.Tasks,
		Generation: rgring.BatchGeneration(ent.home.Ring.Ring, ent.self, prt.run.job.ID, prt.run.generation),
		Remaining:  rgmodel.Duration{Duration: prt.run.ends.Sub(wld.now)},
	}
	if wld.off == "generation" {
		bat.Generation = 1 << 40
	}
	prt.unsure = true
	wld.note(bat.ID, "%s sends to %s with generation %d", ent.self.Incarnation, sid.key.Incarnation, bat.Generation)
	wld.send(ent.self.Incarnation, sid.key.Incarnation, func() {
		if !prt.part.Recorded && rgqueue.Accept(&sid.queue, bat, wld.now) != "" {
			return
		}
		sid.owed = append(sid.owed, owed{to: ent, part: prt})
	})
}

// settle enters outcomes and ends the job with its last part.
func (wld *world) settle(ent *entry, prt *partRun, outs []rgmodel.Outcome) {
	prt.done = true
	rn := prt.run
	rn.pending--
	if again := rgjob.RecordOutcomes(rn.ledger, prt.part, outs); len(again) > 0 && !rn.moved {
		pts := Replan(&ent.home, rn.job, again, maps.Clone(rn.ledger.Tried), wld.now, wld.rnd)
		wld.launch(ent, rn, pts)
		if len(pts) == 0 {
			rgjob.MarkFailed(rn.ledger)
		}
	}
	if rn.pending > 0 || rn.moved {
		return
	}
	delete(ent.runs, rn.job.ID)
	wld.judge(rn.job, Finish(&ent.home, rn.ledger.Answer(rn.job.ID), rn.ledger.Locations(), wld.now))
}

func (wld *world) launch(ent *entry, rn *jobRun, pts []rgjob.Part) {
	rn.pending += len(pts)
	for _, prt := range pts {
		ent.parts = append(ent.parts, &partRun{run: rn, part: prt, unsure: prt.Recorded})
	}
}

// stepSidecar reports to the entries of the ring, starts and ends tasks, and answers calls.
func (wld *world) stepSidecar(sid *sidecar) {
	for _, ent := range wld.entries {
		if wld.up(ent.dead, ent.frozen) && wld.reach(sid.key.Incarnation, ent.self.Incarnation) {
			wld.report(sid, ent)
		}
	}
	if wld.off == "isolation" {
		for _, ent := range sid.queue.Ring.Entries {
			rgqueue.RecordContact(&sid.queue, ent, wld.now)
		}
	}
	for _, stt := range rgqueue.StartNext(&sid.queue, wld.now).Starts {
		wld.note(stt.ID, "%s starts %d, ring %d", sid.key.Incarnation, stt.Task.Index, sid.queue.Ring.Generation)
		wld.starts[fmt.Sprintf("%s/%d", stt.ID, stt.Task.Index)]++
		wld.running = append(wld.running, running{at: sid, stt: stt, ends: wld.now.Add(taskTime)})
	}
	wld.running = slices.DeleteFunc(wld.running, func(run running) bool {
		if run.at != sid || wld.now.Before(run.ends) {
			return false
		}
		rgqueue.Finish(&sid.queue, run.stt, rgmodel.Outcome{Index: run.stt.Task.Index, Verdict: rgmodel.RanOK}, taskTime)
		return true
	})
	rgqueue.ExpireQueued(&sid.queue, wld.now)
	sid.owed = slices.DeleteFunc(sid.owed, func(owe owed) bool { return wld.answer(sid, owe) })
}

// report stands for announcement and load report: both count as contact, and bring the ring and the configuration.
func (wld *world) report(sid *sidecar, ent *entry) {
	rng := ent.home.Ring.Ring
	known := slices.Contains(sid.queue.Ring.Entries, ent.self)
	if !known && sid.queue.Ring.Generation > 0 {
		return
	}
	if rng.Generation > 0 {
		rgqueue.AdoptRing(&sid.queue, rng)
	}
	if !slices.Contains(sid.queue.Ring.Entries, ent.self) {
		return
	}
	if mem := ent.home.Fleet.Members[sid.key.Name]; mem == nil || mem.Sidecar.Incarnation != sid.key.Incarnation || !mem.Connected {
		Announce(&ent.home, sid.queue.Self, wld.now)
	}
	rep := rgqueue.Report(&sid.queue)
	rep.Sequence = uint64(wld.now.UnixMilli())
	rgfleet.Report(&ent.home.Fleet, rep, wld.now)
	rgqueue.RecordContact(&sid.queue, ent.self, wld.now)
}

func (wld *world) answer(sid *sidecar, owe owed) bool {
	var idxs []int
	for _, tsk := range owe.part.part.Tasks {
		idxs = append(idxs, tsk.Index)
	}
	outs, final := rgqueue.Outcomes(&sid.queue, owe.part.run.job.ID, idxs)
	if final {
		wld.send(sid.key.Incarnation, owe.to.self.Incarnation, func() {
			if !owe.part.done && !owe.part.run.moved {
				wld.settle(owe.to, owe.part, outs)
			}
		})
	}
	return final
}

// stepClients submits a job now and then, and submits earlier ones again at any entry.
func (wld *world) stepClients() {
	for _, cal := range wld.calls {
		if wld.up(cal.at.dead, cal.at.frozen) && wld.rnd.IntN(3) == 0 {
			wld.submit(cal.at, cal.job, 0)
		}
	}
	wld.calls = slices.DeleteFunc(wld.calls, func(call) bool { return wld.rnd.IntN(12) == 0 })
	if wld.rnd.IntN(2) == 0 {
		wld.calls = append(wld.calls, call{job: wld.newJob(), at: wld.entries[wld.rnd.IntN(len(wld.entries))]})
	}
	if len(wld.calls) > 0 {
		// The client believes its job lost and submits it through another entry.
		jb := wld.calls[wld.rnd.IntN(len(wld.calls))].job
		wld.calls = append(wld.calls, call{job: jb, at: wld.entries[wld.rnd.IntN(len(wld.entries))]})
	}
}

func (wld *world) newJob() rgmodel.Job {
	// The clocks of callers are up to half of the limit off.
	skew := time.Duration(wld.rnd.IntN(int(rgmodel.ClockSkewLimit))) - rgmodel.ClockSkewLimit/2
	var uid uuid.UUID
	binary.BigEndian.PutUint64(uid[:], uint64(wld.now.Add(skew).UnixMilli())<<16|0x7000|uint64(wld.rnd.IntN(1<<12)))
	binary.BigEndian.PutUint64(uid[8:], wld.rnd.Uint64()&(1<<62-1)|1<<63)
	jb := rgmodel.Job{ID: rgmodel.SubmissionID(uid.String()), Digest: 1, Deadline: rgmodel.Duration{Duration: deadline}}
	for i := range 1 + wld.rnd.IntN(3) {
		jb.Tasks = append(jb.Tasks, rgmodel.Task{Index: i})
	}
	return jb
}

func (wld *world) submit(ent *entry, jb rgmodel.Job, hops int) {
	dec := Submit(&ent.home, jb, false, wld.now, wld.rnd)
	wld.note(jb.ID, "%s decides %T at ring %d", ent.self.Incarnation, dec, ent.home.Ring.Ring.Generation)
	switch dec := dec.(type) {
	case Forward:
		for _, oth := range wld.entries {
			if oth.self == dec.Home && hops < 3 {
				wld.send(ent.self.Incarnation, oth.self.Incarnation, func() { wld.submit(oth, jb, hops+1) })
			}
		}
	case FinalAnswer:
		wld.judge(jb, dec.Answer)
	case Start:
		rn := &jobRun{
			job: jb, ledger: rgjob.NewTracker(jb, dec.Plan), ends: wld.now.Add(deadline), generation: ent.home.Ring.Ring.Generation,
		}
		ent.runs[jb.ID] = rn
		wld.launch(ent, rn, dec.Plan.Parts)
	}
}

// judge checks an answer against the log of starts.
func (wld *world) judge(jb rgmodel.Job, ans rgmodel.Answer) {
	wld.answered++
	wld.note(jb.ID, "answer %v", ans.Outcomes)
	if len(ans.Outcomes) != len(jb.Tasks) {
		wld.faults = append(wld.faults, fmt.Sprintf("%s: %d outcomes for %d tasks", jb.ID, len(ans.Outcomes), len(jb.Tasks)))
	}
	for _, out := range ans.Outcomes {
		key := fmt.Sprintf("%s/%d", jb.ID, out.Index)
		if out.Verdict == rgmodel.NotRun && wld.starts[key] > 0 {
			wld.faults = append(wld.faults, key+": answered not run ("+string(out.Reason)+") after its start")
		}
		if out.Verdict == rgmodel.RanOK && wld.starts[key] == 0 {
			wld.faults = append(wld.faults, key+": answered without a start")
		}
	}
}
