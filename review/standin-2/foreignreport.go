//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// downTime is how long all processes are down at the final fault.
	downTime = 1200 * time.Millisecond
	// recovery is recovery_s of the small installations.
	recovery = 12 * time.Second
	// foreignLead is how long before the executor's own report the other writer sends its report.
	foreignLead = 50 * time.Millisecond
	// foreignAfter is how long after the start of the traffic the other writer begins.
	foreignAfter = 3 * time.Second
)

// foreignReport plays a final fault in which all processes are killed, on machines on which another writer reports the executor under a
// service that the configuration does not name. The rule is RECOVER.
func foreignReport(rec *record, trouble bool) error {
	flt, err := newFleet(rec, 3, 3)
	if flt != nil {
		defer flt.stop()
	}
	if err != nil {
		return err
	}
	var foreign atomic.Bool
	for _, exe := range flt.executors {
		go flt.report(exe, &foreign)
	}
	if !flt.awaitServing(15 * time.Second) {
		return errors.New("no job was served within 15 s of the start")
	}
	ctx, stop := context.WithCancel(context.Background())
	var lod load
	ended := make(chan struct{})
	go func() { lod.run(ctx, flt, 50*time.Millisecond); close(ended) }()
	from := time.Now()
	time.Sleep(foreignAfter)
	foreign.Store(trouble)
	time.Sleep(6 * time.Second)
	flt.changeConfig(9)
	killed := time.Now()
	flt.restartAll()
	back := time.Now()
	time.Sleep(recovery + 8*time.Second)
	stop()
	<-ended
	good, all := lod.served(from, killed.Add(-timeLimit))
	goodAfter, allAfter := lod.served(back.Add(recovery), time.Now())
	rec.write("before the final fault %d of %d requests were served", good, all)
	rec.write("later than %v after the machines were back %d of %d requests were served", recovery, goodAfter, allAfter)
	switch {
	case 4*good < all || allAfter == 0:
		return errors.New("less than a quarter was served before the final fault")
	case 4*goodAfter < allAfter:
		return fmt.Errorf("%w: RECOVER: %d of %d requests were served before the final fault, and %d of %d later than %v after it", errBroken,
			good, all, goodAfter, allAfter, recovery)
	}
	fmt.Printf("%d of %d requests were served before the final fault, and %d of %d later than %v after it\n", good, all, goodAfter, allAfter, recovery)
	return nil
}

// restartAll kills all processes at once and starts them again after downTime.
func (flt *fleet) restartAll() {
	var wgr sync.WaitGroup
	for _, pro := range flt.processes() {
		wgr.Go(func() { flt.kill(pro) })
	}
	wgr.Wait()
	time.Sleep(downTime)
	for _, pro := range flt.processes() {
		if err := flt.start(pro); err != nil {
			flt.rec.write("%s does not start: %v", pro.name, err)
		}
	}
}

// report sends the liveness reports of an executor and, while foreign is set, before each a report of another writer with the same id, under a
// service that is not named in the configuration.
func (flt *fleet) report(exe *executor, foreign *atomic.Bool) {
	for {
		if foreign.Load() {
			body := exe.description()
			body["backend"] = "ghost9"
			status := sendReport(exe.control, exe.id, body)
			flt.rec.write("another writer reports %s with service ghost9: answer %d", exe.id, status)
		}
		if !flt.wait(foreignLead) {
			return
		}
		if !exe.isDown() {
			body := exe.description()
			status := sendReport(exe.control, exe.id, body)
			flt.rec.write("%s reports itself with service %s, seq %d: answer %d", exe.id, exe.service, body["seq"], status)
		}
		if !flt.wait(heartbeatInterval - foreignLead) {
			return
		}
	}
}

// wait waits and returns false if the fleet stops.
func (flt *fleet) wait(dur time.Duration) bool {
	select {
	case <-flt.done:
		return false
	case <-time.After(dur):
		return true
	}
}
