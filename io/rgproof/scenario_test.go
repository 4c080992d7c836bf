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

// longRunTime is longer than the faults of a scenario and shorter than the callers' deadlines.
const longRunTime = 6 * time.Second

// TestScenarios guards against violations of the invariants in specific orders of events. The comment on the function of each
// scenario names the failure.
func TestScenarios(t *testing.T) {
	tests := map[string]struct {
		entries, sidecars int
		run               func(sys *system)
	}{
		"same id concurrently":                 {entries: 3, sidecars: 2, run: sameIDConcurrent},
		"same id concurrently, reordered":      {entries: 3, sidecars: 2, run: sameIDReordered},
		"resubmission after kill":              {entries: 3, sidecars: 2, run: resubmissionAfterKill},
		"another body":                         {entries: 2, sidecars: 2, run: anotherBody},
		"another body after kill":              {entries: 2, sidecars: 2, run: anotherBodyAfterKill},
		"job that can never run":               {entries: 2, sidecars: 2, run: neverRunnable},
		"sidecar disconnected, then kill":      {entries: 2, sidecars: 2, run: disconnectedThenKilled},
		"records lost with the home":           {entries: 2, sidecars: 2, run: recordsLostWithHome},
		"stale home refuses":                   {entries: 2, sidecars: 2, run: staleHomeRefuses},
		"isolated home refuses":                {entries: 2, sidecars: 2, run: isolatedHomeRefuses},
		"slow watch refuses":                   {entries: 2, sidecars: 2, run: slowWatchRefuses},
		"home leaves and rejoins":              {entries: 2, sidecars: 2, run: homeRejoins},
		"delayed duplicate of a refused batch": {entries: 2, sidecars: 1, run: delayedDuplicateOfRefused},
		"graceful shutdown of a sidecar":       {entries: 2, sidecars: 3, run: gracefulShutdownSidecar},
		"graceful shutdown of idle sidecars":   {entries: 2, sidecars: 4, run: gracefulShutdownSequential},
		"graceful shutdown, late reports":      {entries: 2, sidecars: 4, run: gracefulShutdownLateReports},
		"graceful shutdown of an entry":        {entries: 3, sidecars: 2, run: gracefulShutdownEntry},
		"start during a store outage":          {entries: 2, sidecars: 2, run: startDuringOutage},
		"configuration":                        {entries: 3, sidecars: 2, run: configuration},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, 1, tc.entries, tc.sidecars)
			tc.run(sys)
			sys.checkHistory()
		})
	}
}

// newIDHomedAt returns a new id whose home is the entry in the current ring.
func (sys *system) newIDHomedAt(entry int) rgmodel.SubmissionID {
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

// setRunTime sets the mean run time of the tasks at all upstreams.
func (sys *system) setRunTime(dur time.Duration) {
	for _, ups := range sys.upstreams {
		ups.runTime.Store(int64(dur))
	}
}

// submitInBackground submits a job in a goroutine and waits until at least one of its tasks has started.
func (sys *system) submitInBackground(entry int, id rgmodel.SubmissionID, tasks int) <-chan attempt {
	atts := make(chan attempt, 1)
	go func() { atts <- sys.submitWithin(entry, id, "first", tasks, 15*time.Second) }()
	sys.waitUntil("start of "+string(id), readyTimeout, func() bool { return sys.startCount(id) > 0 })
	return atts
}

// waitRingSize waits until the ring that the entry knows has the given number of entries.
func (sys *system) waitRingSize(entry, size int) {
	sys.waitUntil("new size of the ring", readyTimeout, func() bool {
		sta, ok := sys.status(entry)
		return ok && len(sta.Ring.Entries) == size
	})
}

// sameIDConcurrent guards against tasks that start twice and answers that are not complete when an id is submitted to all
// entries at the same time.
func sameIDConcurrent(sys *system) {
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

// sameIDReordered guards against the failures of sameIDConcurrent while messages are delayed or duplicated.
func sameIDReordered(sys *system) {
	for _, prx := range sys.proxies {
		prx.setRule(func(frame) action {
			if sys.oneIn(2) {
				return delay{by: 50 * time.Millisecond}
			}
			return duplicate{}
		})
	}
	sameIDConcurrent(sys)
}

// oneIn returns true with a probability of one in every, drawn from the system's random source.
func (sys *system) oneIn(every int) bool {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return sys.random.IntN(every) == 0
}

// resubmissionAfterKill guards against a new home that starts tasks again or does not complete the job after the first home
// was killed while it ran.
func resubmissionAfterKill(sys *system) {
	sys.setRunTime(longRunTime)
	id := sys.newIDHomedAt(0)
	first := sys.submitInBackground(0, id, 6)
	sys.entries[0].signal(syscall.SIGKILL)
	<-first
	if att := sys.submitWithin(1, id, "first", 6, 20*time.Second); att.answer.Status != "complete" {
		sys.t.Errorf("resubmission to the new home: status %d, answer %+v, error %v", att.status, att.answer, att.err)
	}
}

// anotherBody guards against an entry that accepts the id of an earlier submission with another body or with fewer tasks.
func anotherBody(sys *system) {
	for entry := range 2 {
		id := sys.newIDHomedAt(0)
		sys.submit(0, id, "first", 3)
		if att := sys.submit(entry, id, "second", 3); att.status != http.StatusConflict {
			sys.t.Errorf("other body at entry %d: status %d", entry, att.status)
		}
		if att := sys.submit(entry, id, "first", 2); att.status != http.StatusConflict {
			sys.t.Errorf("shorter body at entry %d: status %d", entry, att.status)
		}
	}
}

// anotherBodyAfterKill guards against a new home that accepts the id of an earlier submission with another body after the
// first home was killed.
func anotherBodyAfterKill(sys *system) {
	id := sys.newIDHomedAt(0)
	sys.submit(0, id, "first", 3)
	sys.entries[0].signal(syscall.SIGKILL)
	sys.waitRingSize(1, 1)
	if att := sys.submit(1, id, "second", 3); att.status != http.StatusConflict {
		sys.t.Errorf("other body at the new home: status %d", att.status)
	}
}

// neverRunnable guards against a status other than 422 and a verdict other than notRun for a job that requires more than any
// sidecar has.
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

// disconnectedThenKilled guards against a new home that starts tasks again because it has removed a sidecar that may have
// run them: the sidecar is disconnected from entry 1, and entry 0 is killed after it has run a job that entry 1 cannot know of.
func disconnectedThenKilled(sys *system) {
	sys.proxies[1].setRule(func(frm frame) action {
		if frm.sidecar == "sidecar0" {
			return closeConn{}
		}
		return pass{}
	})
	sys.proxies[1].closeAll()
	sys.waitUntil("removal of the sidecar at entry 1", readyTimeout, func() bool { return sys.hasMembers(1, 2, 1) })
	// The tolerance for clock skew must not hide the fault.
	time.Sleep(2*rgmodel.ClockSkewLimit + 500*time.Millisecond)
	id := sys.newIDHomedAt(0)
	sys.submit(0, id, "first", 8)
	sys.entries[0].signal(syscall.SIGKILL)
	sys.waitRingSize(1, 1)
	sys.submit(1, id, "first", 8)
}

// recordsLostWithHome guards against a new home that starts tasks again whose records were lost, because the home and a
// sidecar of the job are killed at the same time.
func recordsLostWithHome(sys *system) {
	sys.setRunTime(longRunTime)
	id := sys.newIDHomedAt(0)
	first := sys.submitInBackground(0, id, 8)
	sys.waitUntil("start of all tasks", readyTimeout, func() bool { return sys.startCount(id) == 8 })
	sys.sidecars[0].signal(syscall.SIGKILL)
	sys.entries[0].signal(syscall.SIGKILL)
	<-first
	sys.setRunTime(runTime)
	sys.submitWithin(1, id, "first", 8, 15*time.Second)
}

// staleHomeRefuses guards against an old home that answers that a job was not run, although the new home has run it while
// the old one was suspended.
func staleHomeRefuses(sys *system) {
	id := sys.newIDHomedAt(0)
	sys.entries[0].signal(syscall.SIGSTOP)
	sys.waitRingSize(1, 1)
	sys.submit(1, id, "first", 4)
	// The requests wait in the listener's backlog until the entry resumes.
	var running sync.WaitGroup
	for range 20 {
		running.Go(func() { sys.submit(0, id, "first", 4) })
	}
	sys.entries[0].signal(syscall.SIGCONT)
	running.Wait()
}

// isolatedHomeRefuses guards against an old home that answers that a job was not run, although the new home has run it. The
// old home does not know the new ring, because it is disconnected from the store and from all sidecars, but not from its
// callers.
func isolatedHomeRefuses(sys *system) {
	id := sys.newIDHomedAt(0)
	sys.storeBlocked[0].Store(true)
	sys.proxies[0].setRule(func(frame) action { return closeConn{} })
	sys.proxies[0].closeAll()
	sys.waitRingSize(1, 1)
	if att := sys.submit(1, id, "first", 4); att.answer.Status != "complete" {
		sys.t.Errorf("new home: status %d, answer %+v", att.status, att.answer)
	}
	for range 5 {
		sys.submitWithin(0, id, "first", 4, time.Second)
	}
}

// slowWatchRefuses guards against an old home that answers that an id was not run, although an entry that has joined the
// ring has run it. The new ring is hidden from the old home, which still renews its lease in time.
func slowWatchRefuses(sys *system) {
	ids := make([]rgmodel.SubmissionID, 16)
	for i := range ids {
		ids[i] = sys.newIDHomedAt(0)
	}
	sys.watchBlocked[0].Store(true)
	// The pending watch is not blocked, so a change has to end it.
	cli := rgstore.Client{BaseURL: sys.storeURL}
	raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "other", Revision: 1, Weight: 1})
	cli.Put(context.Background(), rgentry.ConfigKeyPrefix+"other", rgstore.Write{Value: raw})
	sys.waitUntil("end of the watch", readyTimeout, func() bool {
		sta, ok := sys.status(0)
		return ok && sta.Teams["other"] == 1
	})
	sys.addEntry()
	sys.waitRingSize(2, 3)
	sys.proxies[0].setRule(func(frm frame) action {
		if frm.method == "report" {
			return drop{}
		}
		return pass{}
	})
	for _, id := range ids {
		sys.submitWithin(2, id, "first", 2, time.Second)
	}
	sys.waitUntil("refusal without recent reports", readyTimeout, func() bool {
		id := sys.newIDHomedAt(0)
		return sys.submitWithin(0, id, "probe", 1, time.Second).status == http.StatusServiceUnavailable
	})
	for _, id := range ids {
		sys.submitWithin(0, id, "first", 2, time.Second)
	}
}

// homeRejoins guards against a part of a job that waits for a lost connection while its entry leaves the ring and rejoins it,
// and is then sent under the new generation. A resubmission may have placed its tasks elsewhere.
func homeRejoins(sys *system) {
	var blocked atomic.Bool
	sys.proxies[0].setRule(func(frm frame) action {
		if frm.sidecar == "sidecar0" && (blocked.Load() || frm.method == "startBatch") {
			blocked.Store(true)
			return closeConn{}
		}
		return pass{}
	})
	sta, _ := sys.status(0)
	id := sys.newIDHomedAt(0)
	first := make(chan attempt, 1)
	go func() { first <- sys.submitWithin(0, id, "first", 8, 12*time.Second) }()
	sys.waitUntil("connection closed by the proxy", readyTimeout, blocked.Load)
	sys.storeBlocked[0].Store(true)
	sys.waitRingSize(1, 1)
	sys.storeBlocked[0].Store(false)
	sys.waitUntil("entry back in the ring", readyTimeout, func() bool {
		now, ok := sys.status(0)
		return ok && now.Ring.Generation > sta.Ring.Generation+1 && len(now.Ring.Entries) == 2
	})
	sys.proxies[0].setRule(nil)
	<-first
}

// delayedDuplicateOfRefused guards against refused tasks that start when duplicates of their batches arrive later. The sidecar
// refuses the batches because it is not connected to an entry of the ring, and has connected when the duplicates arrive.
func delayedDuplicateOfRefused(sys *system) {
	sys.addEntry()
	sys.proxies[2].setRule(func(frm frame) action {
		if frm.sidecar != "" {
			return closeConn{}
		}
		return pass{}
	})
	sys.waitRingSize(0, 3)
	sys.proxies[0].setRule(func(frm frame) action { return onStart(frm, delayedDuplicate{by: 2 * time.Second}) })
	sys.waitUntil("refusal by the sidecar", readyTimeout, func() bool {
		att := sys.submit(0, sys.newIDHomedAt(0), "first", 4)
		return len(att.answer.Tasks) > 0 && att.answer.Tasks[0].Reason == rgmodel.ReasonNotReady && verdict(att, 0) == rgmodel.NotRun
	})
	sys.proxies[0].setRule(nil)
	sys.proxies[2].setRule(nil)
	sys.waitUntil("completion of a job at the new entry", readyTimeout, func() bool {
		return sys.submit(2, newID(time.Now()), "other", 4).answer.Status == "complete"
	})
	sys.waitUntil("delivery of the duplicates", readyTimeout, func() bool { return sys.proxies[0].pendingDuplicates.Load() == 0 })
	sys.waitUntil("completion of a job sent after the duplicates", readyTimeout, func() bool {
		return sys.submit(0, newID(time.Now()), "other", 8).answer.Status == "complete"
	})
}

// gracefulShutdownSidecar guards against jobs that are cut off when a sidecar is stopped under load, and against work for its
// upstream that is submitted more than 3 s after the signal.
func gracefulShutdownSidecar(sys *system) {
	sys.setRunTime(300 * time.Millisecond)
	end := sys.startLoad()
	sys.waitUntil("running task at the upstream", readyTimeout, func() bool { return sys.upstreams[1].running.Load() > 0 })
	sys.sidecars[1].signal(syscall.SIGTERM)
	deadline := time.Now().Add(3 * time.Second)
	sys.waitExit(sys.sidecars[1])
	sys.waitUntil("0.5 s after the deadline", readyTimeout, func() bool { return time.Now().After(deadline.Add(500 * time.Millisecond)) })
	end()
	sys.checkGracefulShutdown()
	for _, stt := range sys.starts {
		if crt, _ := stt.id.Created(); stt.upstream == "upstream1" && crt.After(deadline) {
			sys.t.Errorf("invariant 6: %v started at the upstream of a stopped sidecar, but was submitted %s after the deadline",
				stt.id, crt.Sub(deadline))
		}
	}
}

// gracefulShutdownSequential guards against jobs that are cut off when sidecars with little work leave immediately, one after
// the other.
func gracefulShutdownSequential(sys *system) {
	end := sys.startLoad()
	for num := range 3 {
		sys.waitUntil("running task at the upstream", readyTimeout, func() bool { return sys.upstreams[num].running.Load() > 0 })
		sys.sidecars[num].signal(syscall.SIGTERM)
		sys.waitExit(sys.sidecars[num])
	}
	end()
	sys.checkGracefulShutdown()
}

// gracefulShutdownLateReports guards against jobs that are cut off because a report of a sidecar arrives after its leave
// message, which is possible because messages are handled concurrently.
func gracefulShutdownLateReports(sys *system) {
	for _, prx := range sys.proxies {
		prx.setRule(func(frm frame) action {
			if frm.method == "report" {
				return delay{by: 400 * time.Millisecond}
			}
			return pass{}
		})
	}
	gracefulShutdownSequential(sys)
}

// gracefulShutdownEntry guards against an entry that is stopped under load and does not answer a request whose connection it
// has accepted.
func gracefulShutdownEntry(sys *system) {
	sys.setRunTime(200 * time.Millisecond)
	end := sys.startLoad()
	sys.waitUntil("more than 20 attempts", readyTimeout, func() bool { return sys.countAttempts() > 20 })
	// Two jobs are in flight at the entry, which is the home of only one of them.
	remote := sys.submitInBackground(1, sys.newIDHomedAt(0), 2)
	local := sys.submitInBackground(1, sys.newIDHomedAt(1), 2)
	sys.entries[1].signal(syscall.SIGTERM)
	<-remote
	<-local
	sys.waitExit(sys.entries[1])
	sys.waitRingSize(0, 2)
	end()
	sys.checkGracefulShutdown()
}

// waitExit waits until the process has exited and fails the test if the exit code is not 0.
func (sys *system) waitExit(prc *process) {
	sys.waitUntil("exit of a process", 2*readyTimeout, func() bool {
		select {
		case <-prc.done:
			return true
		default:
			return false
		}
	})
	if code := prc.cmd.ProcessState.ExitCode(); code != 0 {
		sys.t.Errorf("exit code %d after a graceful shutdown", code)
	}
}

// checkGracefulShutdown checks that every attempt was complete, was refused with the verdict notRun, or got no connection.
func (sys *system) checkGracefulShutdown() {
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
		case att.err != nil && isRefused(att.err):
		case att.err != nil:
			sys.t.Errorf("invariant 7: %s at entry %d was disconnected after %s: %v", att.id, att.entry, att.ended.Sub(att.began), att.err)
		case att.answer.Status != "complete" && verdict(att, 0) != rgmodel.NotRun:
			sys.t.Errorf("invariant 7: %s at entry %d from %s after %s: status %d, %+v", att.id, att.entry,
				att.began.Format(time.StampMicro), att.ended.Sub(att.began), att.status, att.answer.Tasks)
		}
	}
}

// startDuringOutage guards against an entry that was started while the store was down and does not join the ring or complete
// jobs when the store is back.
func startDuringOutage(sys *system) {
	end := sys.startLoad()
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	sys.addEntry()
	for range 5 {
		sys.submitWithin(2, newID(time.Now()), "early", 2, 2*time.Second)
	}
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitRingSize(2, 3)
	sys.waitUntil("completion of a job at the new entry", readyTimeout, func() bool {
		return sys.submit(2, newID(time.Now()), "later", 2).answer.Status == "complete"
	})
	end()
}

// configuration guards against revisions that do not come into force at every entry, and against entries that revert to a
// lower one, also after an entry was suspended or the store was down. The target is 8 s; the test logs the time and waits up
// to readyTimeout.
func configuration(sys *system) {
	cli := rgstore.Client{BaseURL: sys.storeURL}
	highest := make([]uint64, len(sys.entries))
	version := uint64(0)
	for rev := uint64(1); rev <= 6; rev++ {
		raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "team", Revision: rev, Weight: 1})
		res := cli.Put(context.Background(), rgentry.ConfigKeyPrefix+"team", rgstore.Write{Value: raw, Expected: version})
		wri, ok := res.(rgstore.Written)
		if !ok {
			sys.t.Fatalf("write of revision %d: %+v", rev, res)
		}
		version = wri.Version
		if rev == 3 {
			sys.entries[1].signal(syscall.SIGSTOP)
			sys.waitRingSize(0, 2)
			sys.entries[1].signal(syscall.SIGCONT)
		}
		began := time.Now()
		sys.waitUntil("configuration in force", readyTimeout, func() bool { return sys.inForce(rev, highest) })
		sys.t.Logf("revision %d in force after %s", rev, time.Since(began))
	}
	// An older value under a newer version of the key, as after the store was restored from a backup.
	raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "team", Revision: 2, Weight: 1})
	res := cli.Put(context.Background(), rgentry.ConfigKeyPrefix+"team", rgstore.Write{Value: raw, Expected: version})
	if _, ok := res.(rgstore.Written); !ok {
		sys.t.Fatalf("write of an old revision: %+v", res)
	}
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	sys.entries[2].signal(syscall.SIGKILL)
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitRingSize(0, 2)
	sys.inForce(6, highest)
}

// inForce reports whether all live entries have the revision, and fails the test if one has reverted to a lower one.
func (sys *system) inForce(rev uint64, highest []uint64) bool {
	all := true
	for num := range highest {
		sta, ok := sys.status(num)
		if !ok {
			continue
		}
		if sta.Teams["team"] < highest[num] {
			sys.t.Errorf("invariant 8: entry %d reverted from revision %d to %d", num, highest[num], sta.Teams["team"])
		}
		highest[num] = max(highest[num], sta.Teams["team"])
		all = all && highest[num] >= rev
	}
	return all
}
