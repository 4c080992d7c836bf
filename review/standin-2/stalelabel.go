//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the entry stands still.
	freezeTime = 240 * time.Millisecond
	// freezes is how often an entry stands still, each time another one.
	freezes = 6
	// crashTime is how long the executor is down.
	crashTime = 60 * time.Millisecond
)

// staleLabel plays an executor that crashes and starts again under its id as one of another kind, while one entry stands still for a
// moment. The rule is ROUTE.
func staleLabel(rec *record, trouble bool) error {
	flt, err := newFleet(rec, 3, 3)
	if flt != nil {
		defer flt.stop()
	}
	if err != nil {
		return err
	}
	flt.executors[0].kind, flt.executors[2].kind = "b", "b"
	for _, exe := range flt.executors {
		go flt.report(exe, new(atomic.Bool))
	}
	if !flt.awaitServing(15 * time.Second) {
		return errors.New("no job was served within 15 s of the start")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	lod := load{make: func() *job {
		jb := newJob(2, 60*time.Millisecond)
		jb.label = "b"
		return jb
	}}
	ended := make(chan struct{})
	go func() { lod.run(ctx, flt, 16*time.Millisecond); close(ended) }()
	time.Sleep(2 * time.Second)
	for i := range freezes {
		if trouble {
			ent := flt.entries[i%len(flt.entries)]
			flt.signal(ent, syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { flt.signal(ent, syscall.SIGCONT) })
		}
		if err := flt.executors[0].restart(crashTime, "a"); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		// The executor gets its first kind back, for the next time.
		if err := flt.executors[0].restart(crashTime, "b"); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	stop()
	<-ended
	if found := rec.violations("ROUTE"); len(found) > 0 {
		return fmt.Errorf("%w: %d starts without the label, the first: %s", errBroken, len(found), found[0])
	}
	return nil
}
