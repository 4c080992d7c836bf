//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// cutTime is how long the edge machine is cut off from the side machines.
	cutTime = 280 * time.Millisecond
	// crashTime is how long the executor is down.
	crashTime = 60 * time.Millisecond
)

// staleLabel plays an executor that crashes and starts again under its id as one of another kind, while one edge machine is cut off from the side
// machines for a moment. The rule is ROUTE.
func staleLabel(rec *record, trouble bool) error {
	flt, err := newFleet(rec, 3, 3, true)
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
	time.Sleep(4 * time.Second)
	if trouble {
		ent := flt.entries[0]
		rec.write("%s is cut off from the side machines", ent.name)
		ent.proxy.cut()
		time.AfterFunc(cutTime, func() {
			rec.write("the cut of %s heals", ent.name)
			ent.proxy.heal()
		})
	}
	if err := flt.executors[0].restart(crashTime, "a"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop()
	<-ended
	if found := rec.violations("ROUTE"); len(found) > 0 {
		return fmt.Errorf("%w: %d starts without the label, the first: %s", errBroken, len(found), found[0])
	}
	return nil
}
