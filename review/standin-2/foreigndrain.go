//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainBound is drain_ms of the small installations.
	drainBound = 2 * time.Second
	// drainTime is how long the executor goes on after the ack of its drain.
	drainTime = 9 * time.Second
	// foreignDelay is how long after the executor's own report the other writer sends its report.
	foreignDelay = heartbeatInterval / 2
)

// foreignDrain plays an executor that drains before it is taken away, while another writer sends reports of it with fields missing. The
// rule is DRAIN.
func foreignDrain(rec *record, trouble bool) error {
	flt, err := newFleet(rec, 3, 3)
	if flt != nil {
		defer flt.stop()
	}
	if err != nil {
		return err
	}
	leaving := flt.executors[0]
	var foreign atomic.Bool
	go flt.reportWithGaps(leaving, &foreign)
	for _, exe := range flt.executors[1:] {
		go flt.reportWithGaps(exe, new(atomic.Bool))
	}
	if !flt.awaitServing(15 * time.Second) {
		return errors.New("no job was served within 15 s of the start")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var lod load
	ended := make(chan struct{})
	// The jobs need about two of the three executors.
	go func() { lod.run(ctx, flt, 22*time.Millisecond); close(ended) }()
	time.Sleep(3 * time.Second)
	foreign.Store(trouble)
	time.Sleep(2 * time.Second)
	leaving.mutex.Lock()
	leaving.state = "draining"
	leaving.mutex.Unlock()
	rec.write("%s drains from now on", leaving.id)
	if !leaving.awaitDrainAck(4 * time.Second) {
		return errors.New("the drain had no ack")
	}
	time.Sleep(drainTime)
	late, broken := leaving.end()
	rec.write("%s ends: %d tasks were started later than %v after the ack of its drain, %d were at work at its end", leaving.id, late,
		drainBound, broken)
	time.Sleep(2 * time.Second)
	stop()
	<-ended
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d tasks were started on %s later than %v after the ack of its drain, %d were at work at its end", errBroken,
			late, leaving.id, drainBound, broken)
	}
	return nil
}

// awaitDrainAck reports whether the drain is acknowledged in time.
func (exe *executor) awaitDrainAck(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		exe.mutex.Lock()
		acked := exe.drainAcked
		exe.mutex.Unlock()
		if !acked.IsZero() {
			return true
		}
	}
	return false
}

// end deregisters the executor and ends it with all that it runs. It returns how many tasks were started too late, and how many were at work.
func (exe *executor) end() (late, broken int) {
	rsp, err := http.Post("http://"+exe.control+"/Executors.Deregister/"+exe.id, "application/json", nil)
	if err == nil {
		_ = rsp.Body.Close()
	}
	_ = exe.server.Close()
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	exe.gone = true
	late, broken = exe.lateStarts, len(exe.runs)
	for task := range exe.runs {
		exe.finish(task, "broken")
	}
	return late, broken
}

// reportWithGaps sends the liveness reports of an executor and, while foreign is set, after each a report of another writer with fields missing.
func (flt *fleet) reportWithGaps(exe *executor, foreign *atomic.Bool) {
	for !exe.isGone() {
		body := exe.description()
		status := sendReport(exe.control, exe.id, body)
		flt.rec.write("%s reports itself as %v, seq %d: answer %d", exe.id, body["state"], body["seq"], status)
		if body["state"] == "draining" && status == 200 {
			exe.mutex.Lock()
			if exe.drainAcked.IsZero() {
				exe.drainAcked = time.Now()
			}
			exe.mutex.Unlock()
		}
		if !flt.wait(foreignDelay) {
			return
		}
		if foreign.Load() {
			body := exe.description()
			body["state"] = "ready"
			for _, field := range []string{"address", "zone", "version", "slots", "cold_ms", "labels", "clock_ms"} {
				delete(body, field)
			}
			body["capacity"] = map[string]any{}
			status := sendReport(exe.control, exe.id, body)
			flt.rec.write("another writer reports %s as ready with fields missing, seq %d: answer %d", exe.id, body["seq"], status)
		}
		if !flt.wait(heartbeatInterval - foreignDelay) {
			return
		}
	}
}
