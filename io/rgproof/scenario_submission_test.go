package rgproof

import (
	"net/http"
	"sync"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

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
