package rgproof

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgstore"
)

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
