package rgproof

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgstandin"
	"ragwortgap/io/rgstore"
)

// longTime is a run time that outlives the faults of a scenario and is below the callers' deadlines.
const longTime = 6 * time.Second

// TestScenarios guards single promises in the order of events that is the hardest for them.
func TestScenarios(t *testing.T) {
	tests := map[string]struct {
		entries, sidecars int
		run               func(sys *system)
	}{
		"same id at once":               {entries: 3, sidecars: 2, run: sameIDAtOnce},
		"same id at once, reordered":    {entries: 3, sidecars: 2, run: sameIDReordered},
		"resubmission after death":      {entries: 3, sidecars: 2, run: resubmissionAfterDeath},
		"another body":                  {entries: 2, sidecars: 2, run: anotherBody},
		"another body after death":      {entries: 2, sidecars: 2, run: anotherBodyAfterDeath},
		"job that can never run":        {entries: 2, sidecars: 2, run: neverRunnable},
		"sidecar cut off, then death":   {entries: 2, sidecars: 2, run: cutOffThenDeath},
		"records lost with the home":    {entries: 2, sidecars: 2, run: recordsLostWithHome},
		"stale home refuses":            {entries: 2, sidecars: 2, run: staleHomeRefuses},
		"isolated home refuses":         {entries: 2, sidecars: 2, run: isolatedHomeRefuses},
		"slow watch refuses":            {entries: 2, sidecars: 2, run: slowWatchRefuses},
		"home again":                    {entries: 2, sidecars: 2, run: homeAgain},
		"late copy of a refused batch":  {entries: 2, sidecars: 1, run: lateCopyOfRefused},
		"planned stop of a sidecar":     {entries: 2, sidecars: 3, run: plannedStopSidecar},
		"planned stop of idle sidecars": {entries: 2, sidecars: 4, run: plannedStopInTurn},
		"planned stop, late reports":    {entries: 2, sidecars: 4, run: plannedStopLateReports},
		"planned stop of an entry":      {entries: 3, sidecars: 2, run: plannedStopEntry},
		"start during a store outage":   {entries: 2, sidecars: 2, run: startDuringOutage},
		"configuration":                 {entries: 3, sidecars: 2, run: configuration},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, 1, tc.entries, tc.sidecars)
			tc.run(sys)
			sys.judge()
		})
	}
}

// homedAt returns a new id whose home is the entry in the current ring, and is another one without it.
func (sys *system) homedAt(entry int) rgmodel.SubmissionID {
	sta, ok := sys.status(entry)
	if !ok {
		sys.t.Fatalf("no status of entry %d", entry)
	}
	for {
		id := newID(time.Now())
		if ent, ok := rgring.Home(sta.Ring, id); ok && ent == sta.Entry {
			return id
		}
	}
}

func (sys *system) setRunTime(dur time.Duration) {
	for _, ups := range sys.upstreams {
		ups.runTime.Store(int64(dur))
	}
}

// background submits a job in a goroutine and waits until at least one of its tasks has started.
func (sys *system) background(entry int, id rgmodel.SubmissionID, tasks int) <-chan attempt {
	ans := make(chan attempt, 1)
	go func() { ans <- sys.submitWithin(entry, id, "first", tasks, 15*time.Second) }()
	sys.await("start of "+string(id), readyBound, func() bool { return sys.startsOf(id) > 0 })
	return ans
}

func (sys *system) awaitRing(entry, size int) {
	sys.await("change of the ring", readyBound, func() bool {
		sta, ok := sys.status(entry)
		return ok && len(sta.Ring.Entries) == size
	})
}

func sameIDAtOnce(sys *system) {
	var running sync.WaitGroup
	for range 40 {
		id := newID(time.Now())
		for entry := range 3 {
			running.Go(func() {
				if att := sys.submit(entry, id, "same", 4); att.answer.Status != "complete" {
					sys.t.Errorf("%s at entry %d: status %d, error %v", id, entry, att.status, att.err)
				}
			})
		}
		running.Wait()
	}
}

func sameIDReordered(sys *system) {
	for _, rel := range sys.relays {
		rel.setRule(func(frame) action {
			if sys.chance(2) {
				return delay{by: 50 * time.Millisecond}
			}
			return duplicate{}
		})
	}
	sameIDAtOnce(sys)
}

// chance draws from the system's random source.
func (sys *system) chance(every int) bool {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return sys.random.IntN(every) == 0
}

func resubmissionAfterDeath(sys *system) {
	sys.setRunTime(longTime)
	id := sys.homedAt(0)
	first := sys.background(0, id, 6)
	sys.entries[0].signal(syscall.SIGKILL)
	<-first
	if att := sys.submitWithin(1, id, "first", 6, 20*time.Second); att.answer.Status != "complete" {
		sys.t.Errorf("resubmission to the new home: status %d, answer %+v, error %v", att.status, att.answer, att.err)
	}
}

func anotherBody(sys *system) {
	for entry := range 2 {
		id := sys.homedAt(0)
		sys.submit(0, id, "first", 3)
		if att := sys.submit(entry, id, "second", 3); att.status != http.StatusConflict {
			sys.t.Errorf("other body at entry %d: status %d", entry, att.status)
		}
		if att := sys.submit(entry, id, "first", 2); att.status != http.StatusConflict {
			sys.t.Errorf("shorter body at entry %d: status %d", entry, att.status)
		}
	}
}

func anotherBodyAfterDeath(sys *system) {
	id := sys.homedAt(0)
	sys.submit(0, id, "first", 3)
	sys.entries[0].signal(syscall.SIGKILL)
	sys.awaitRing(1, 1)
	if att := sys.submit(1, id, "second", 3); att.status != http.StatusConflict {
		sys.t.Errorf("other body at the new home: status %d", att.status)
	}
}

func neverRunnable(sys *system) {
	for entry := range 2 {
		id := newID(time.Now())
		att := sys.send(entry, id, "big", rgapi.JobRequest{
			SubmissionID: string(id), Team: "team", Kind: "work", Deadline: rgmodel.Duration{Duration: 10 * time.Second},
			Requires: rgmodel.Resources{Accelerators: 1}, Tasks: taskValues("big", 2),
		})
		if att.status != http.StatusUnprocessableEntity || verdict(att, 0) != rgmodel.NotRun {
			sys.t.Errorf("entry %d: status %d, answer %+v", entry, att.status, att.answer)
		}
	}
}

// cutOffThenDeath has a sidecar that only entry 0 can reach for longer than entry 1 waits for it. It runs a job, and
// then entry 0 dies. Entry 1 cannot know of the job.
func cutOffThenDeath(sys *system) {
	sys.relays[1].setRule(func(frm frame) action {
		if frm.sidecar == "sidecar0" {
			return cut{}
		}
		return pass{}
	})
	sys.relays[1].cutAll()
	sys.await("loss of the sidecar at entry 1", readyBound, func() bool { return sys.knows(1, 2, 1) })
	// The margin for the skew of clocks must not hide the fault.
	time.Sleep(2*rgmodel.ClockSkewLimit + 500*time.Millisecond)
	id := sys.homedAt(0)
	sys.submit(0, id, "first", 8)
	sys.entries[0].signal(syscall.SIGKILL)
	sys.awaitRing(1, 1)
	sys.submit(1, id, "first", 8)
}

// recordsLostWithHome kills the home and a sidecar of a job at once: the new home must not start its tasks again.
func recordsLostWithHome(sys *system) {
	sys.setRunTime(longTime)
	id := sys.homedAt(0)
	first := sys.background(0, id, 8)
	sys.await("start of all tasks", readyBound, func() bool { return sys.startsOf(id) == 8 })
	sys.sidecars[0].signal(syscall.SIGKILL)
	sys.entries[0].signal(syscall.SIGKILL)
	<-first
	sys.setRunTime(runTime)
	sys.submitWithin(1, id, "first", 8, 15*time.Second)
}

// staleHomeRefuses lets the new home run a job while the old one is paused. When it resumes, the old home must not say
// that the job was not run.
func staleHomeRefuses(sys *system) {
	id := sys.homedAt(0)
	sys.entries[0].signal(syscall.SIGSTOP)
	sys.awaitRing(1, 1)
	sys.submit(1, id, "first", 4)
	// The request waits in the listener's queue until the entry resumes.
	var running sync.WaitGroup
	for range 20 {
		running.Go(func() { sys.submit(0, id, "first", 4) })
	}
	sys.entries[0].signal(syscall.SIGCONT)
	running.Wait()
}

// isolatedHomeRefuses cuts an entry off from the store and from all sidecars, but not from its callers. The new home
// runs a job, and then the old one, which knows of no change, must not say that it was not run.
func isolatedHomeRefuses(sys *system) {
	id := sys.homedAt(0)
	sys.gates[0].Store(true)
	sys.relays[0].setRule(func(frame) action { return cut{} })
	sys.relays[0].cutAll()
	sys.awaitRing(1, 1)
	if att := sys.submit(1, id, "first", 4); att.answer.Status != "complete" {
		sys.t.Errorf("new home: status %d, answer %+v", att.status, att.answer)
	}
	for range 5 {
		sys.submitWithin(0, id, "first", 4, time.Second)
	}
}

// slowWatchRefuses keeps the ring from an entry that renews its lease in time, while another entry joins and becomes the
// home of an id. The old home must not say that the id was not run.
func slowWatchRefuses(sys *system) {
	ids := make([]rgmodel.SubmissionID, 16)
	for i := range ids {
		ids[i] = sys.homedAt(0)
	}
	sys.watches[0].Store(true)
	// The watch that waits already ends with the next change.
	cli := rgstore.Client{BaseURL: sys.storeURL}
	raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "other", Revision: 1, Weight: 1})
	cli.Put(context.Background(), rgentry.KeyConfig+"other", rgstore.Write{Value: raw})
	sys.await("end of the watch", readyBound, func() bool {
		sta, ok := sys.status(0)
		return ok && sta.Teams["other"] == 1
	})
	sys.addEntry()
	sys.awaitRing(2, 3)
	sys.relays[0].setRule(func(frm frame) action {
		if frm.method == "report" {
			return drop{}
		}
		return pass{}
	})
	for _, id := range ids {
		sys.submitWithin(2, id, "first", 2, time.Second)
	}
	sys.await("time without reports", readyBound, func() bool {
		id := sys.homedAt(0)
		return sys.submitWithin(0, id, "probe", 1, time.Second).status == http.StatusServiceUnavailable
	})
	for _, id := range ids {
		sys.submitWithin(0, id, "first", 2, time.Second)
	}
}

// homeAgain has a part of a job wait for a lost connection while its entry leaves the ring and comes back. The part must
// not be sent under the new generation, because the resubmission may have placed its tasks elsewhere.
func homeAgain(sys *system) {
	var blocked atomic.Bool
	sys.relays[0].setRule(func(frm frame) action {
		if frm.sidecar == "sidecar0" && (blocked.Load() || frm.method == "startBatch") {
			blocked.Store(true)
			return cut{}
		}
		return pass{}
	})
	sta, _ := sys.status(0)
	id := sys.homedAt(0)
	first := make(chan attempt, 1)
	go func() { first <- sys.submitWithin(0, id, "first", 8, 12*time.Second) }()
	sys.await("lost connection", readyBound, blocked.Load)
	sys.gates[0].Store(true)
	sys.awaitRing(1, 1)
	sys.gates[0].Store(false)
	sys.await("entry in the ring again", readyBound, func() bool {
		now, ok := sys.status(0)
		return ok && now.Ring.Generation > sta.Ring.Generation+1 && len(now.Ring.Entries) == 2
	})
	sys.relays[0].setRule(nil)
	<-first
}

// lateCopyOfRefused has a sidecar that refuses batches, because it is not connected to an entry of the ring, and delivers
// copies of them when it is. The refused tasks must not start then.
func lateCopyOfRefused(sys *system) {
	sys.addEntry()
	sys.relays[2].setRule(func(frm frame) action {
		if frm.sidecar != "" {
			return cut{}
		}
		return pass{}
	})
	sys.awaitRing(0, 3)
	sys.relays[0].setRule(func(frm frame) action { return onStart(frm, late{by: 2 * time.Second}) })
	sys.await("refusal by the sidecar", readyBound, func() bool {
		att := sys.submit(0, sys.homedAt(0), "first", 4)
		return len(att.answer.Tasks) > 0 && att.answer.Tasks[0].Reason == rgmodel.ReasonNotReady && verdict(att, 0) == rgmodel.NotRun
	})
	sys.relays[0].setRule(nil)
	sys.relays[2].setRule(nil)
	sys.await("sidecar at the new entry", readyBound, func() bool {
		return sys.submit(2, newID(time.Now()), "other", 4).answer.Status == "complete"
	})
	sys.await("copies delivered", readyBound, func() bool { return sys.relays[0].late.Load() == 0 })
	sys.await("start of what came after the copies", readyBound, func() bool {
		return sys.submit(0, newID(time.Now()), "other", 8).answer.Status == "complete"
	})
}

// plannedStopSidecar stops a sidecar under load. All jobs must be complete, and its upstream must get no work that was
// submitted 3 s after the signal or later.
func plannedStopSidecar(sys *system) {
	sys.setRunTime(300 * time.Millisecond)
	end := sys.load()
	sys.await("load at the upstream", readyBound, func() bool { return sys.upstreams[1].running.Load() > 0 })
	sys.sidecars[1].signal(syscall.SIGTERM)
	bound := time.Now().Add(3 * time.Second)
	sys.awaitExit(sys.sidecars[1])
	sys.await("time after the bound", readyBound, func() bool { return time.Now().After(bound.Add(500 * time.Millisecond)) })
	end()
	sys.allComplete()
	for _, stt := range sys.starts {
		if crt, _ := stt.id.Created(); stt.upstream == "upstream1" && crt.After(bound) {
			sys.t.Errorf("invariant 6: %v started at a leaving upstream, submitted %s after the bound", stt.id, crt.Sub(bound))
		}
	}
}

// plannedStopInTurn stops sidecars that have little to do, so that they leave at once.
func plannedStopInTurn(sys *system) {
	end := sys.load()
	for num := range 3 {
		sys.await("load at the upstream", readyBound, func() bool { return sys.upstreams[num].running.Load() > 0 })
		sys.sidecars[num].signal(syscall.SIGTERM)
		sys.awaitExit(sys.sidecars[num])
	}
	end()
	sys.allComplete()
}

// plannedStopLateReports is plannedStopInTurn with reports that arrive after the leave message, as they can because
// messages are handled concurrently.
func plannedStopLateReports(sys *system) {
	for _, rel := range sys.relays {
		rel.setRule(func(frm frame) action {
			if frm.method == "report" {
				return delay{by: 400 * time.Millisecond}
			}
			return pass{}
		})
	}
	plannedStopInTurn(sys)
}

// plannedStopEntry stops an entry under load. A request whose connection was accepted must be answered.
func plannedStopEntry(sys *system) {
	sys.setRunTime(200 * time.Millisecond)
	end := sys.load()
	sys.await("attempts of the load", readyBound, func() bool { return sys.countAttempts() > 20 })
	// Two jobs are in flight at the entry, of which it is the home of one only.
	far := sys.background(1, sys.homedAt(0), 2)
	near := sys.background(1, sys.homedAt(1), 2)
	sys.entries[1].signal(syscall.SIGTERM)
	<-far
	<-near
	sys.awaitExit(sys.entries[1])
	sys.awaitRing(0, 2)
	end()
	sys.allComplete()
}

func (sys *system) awaitExit(prc *process) {
	sys.await("end of a process", 2*readyBound, func() bool {
		select {
		case <-prc.done:
			return true
		default:
			return false
		}
	})
	if code := prc.cmd.ProcessState.ExitCode(); code != 0 {
		sys.t.Errorf("exit code %d after a planned stop", code)
	}
}

// allComplete checks that no answer of a planned stop is worse than a refusal before the start.
func (sys *system) allComplete() {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	defer func() {
		if sys.t.Failed() {
			sys.t.Log(sys.logs())
		}
	}()
	for _, att := range sys.attempts {
		switch {
		case att.body == "warmup":
		case att.err != nil && refused(att.err):
		case att.err != nil:
			sys.t.Errorf("invariant 7: %s at entry %d was cut off after %s: %v", att.id, att.entry, att.ended.Sub(att.began), att.err)
		case att.answer.Status != "complete" && verdict(att, 0) != rgmodel.NotRun:
			sys.t.Errorf("invariant 7: %s at entry %d from %s after %s: status %d, %+v", att.id, att.entry,
				att.began.Format(time.StampMicro), att.ended.Sub(att.began), att.status, att.answer.Tasks)
		}
	}
}

func startDuringOutage(sys *system) {
	end := sys.load()
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	sys.addEntry()
	for range 5 {
		sys.submitWithin(2, newID(time.Now()), "early", 2, 2*time.Second)
	}
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.awaitRing(2, 3)
	sys.await("a job through the new entry", readyBound, func() bool {
		return sys.submit(2, newID(time.Now()), "later", 2).answer.Status == "complete"
	})
	end()
}

// configuration writes revisions while answers are lost and while the store is down, and checks that every entry gets
// each of them within 8 s and goes to no lower one.
func configuration(sys *system) {
	cli := rgstore.Client{BaseURL: sys.storeURL}
	high := make([]uint64, len(sys.entries))
	version := uint64(0)
	for rev := uint64(1); rev <= 6; rev++ {
		raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "team", Revision: rev, Weight: 1})
		res := cli.Put(context.Background(), rgentry.KeyConfig+"team", rgstore.Write{Value: raw, Expected: version})
		wri, ok := res.(rgstore.Written)
		if !ok {
			sys.t.Fatalf("write of revision %d: %+v", rev, res)
		}
		version = wri.Version
		if rev == 3 {
			sys.entries[1].signal(syscall.SIGSTOP)
			sys.awaitRing(0, 2)
			sys.entries[1].signal(syscall.SIGCONT)
		}
		began := time.Now()
		sys.await("configuration in force", readyBound, func() bool { return sys.inForce(rev, high) })
		sys.t.Logf("revision %d in force after %s", rev, time.Since(began))
	}
	// An older value under a newer version of the key, as after a restore of the store.
	raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "team", Revision: 2, Weight: 1})
	res := cli.Put(context.Background(), rgentry.KeyConfig+"team", rgstore.Write{Value: raw, Expected: version})
	if _, ok := res.(rgstore.Written); !ok {
		sys.t.Fatalf("write of an old revision: %+v", res)
	}
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	sys.entries[2].signal(syscall.SIGKILL)
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.awaitRing(0, 2)
	sys.inForce(6, high)
}

// inForce reports whether all live entries have the revision, and fails the test when one has gone back.
func (sys *system) inForce(rev uint64, high []uint64) bool {
	all := true
	for num := range high {
		sta, ok := sys.status(num)
		if !ok {
			continue
		}
		if sta.Teams["team"] < high[num] {
			sys.t.Errorf("invariant 8: entry %d has gone from revision %d to %d", num, high[num], sta.Teams["team"])
		}
		high[num] = max(high[num], sta.Teams["team"])
		all = all && high[num] >= rev
	}
	return all
}
