//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playLateStart has executors leave a share of their orders unanswered and carry them out 2 to 12 s later, while one executor after the
// other crashes, is silent for a while and starts again under its id. Without the trouble, there is neither.
func playLateStart(jud *judge, dir, binary string, trouble bool) error {
	const (
		executors  = 7
		callers    = 90
		tasks      = 8
		taskMillis = 2500
		callerWait = 10 * time.Second
		lateShare  = 0.5
		silentTime = 1200 * time.Millisecond
		crashes    = 40
		pause      = 400 * time.Millisecond
	)
	fle, err := newFleet(jud, dir, binary, 2, executors, func(int) int { return 32000 }, func(int) []string { return []string{"a", "r1-1"} })
	if err != nil {
		return err
	}
	defer fle.end()
	var late atomic.Bool
	for _, exe := range fle.exes {
		exe.intercept = func(_ *executor, _ string, _ orderBody) callFate {
			if late.Load() && rand.Float64() < lateShare {
				return callFate{silent: true, after: 2*time.Second + rand.N(10*time.Second)}
			}
			return callFate{}
		}
	}
	end := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		ent := fle.entries[i%len(fle.entries)]
		running.Go(func() {
			time.Sleep(rand.N(2 * time.Second))
			for {
				select {
				case <-end:
					return
				default:
				}
				id := newID()
				stps := []step{{Count: tasks, CPU: 250, MemMB: 16, Estimate: taskMillis}}
				for range 2 {
					out := fle.submit(fle.addr(ent.host, "front"), routePrefix, id, fmt.Sprintf("%d,250", taskMillis), stps, callerWait)
					if out.status == http.StatusOK || out.status == http.StatusServiceUnavailable {
						break
					}
					time.Sleep(resendDelay)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	late.Store(trouble)
	time.Sleep(2 * time.Second)
	for i := range crashes {
		if !trouble {
			time.Sleep(silentTime + pause)
			continue
		}
		exe := fle.exes[i%executors]
		id, cpu, labels := exe.id, exe.cpu, exe.labels
		exe.crashSilently()
		time.Sleep(silentTime)
		exe.restartSilent(id, cpu, labels...)
		time.Sleep(pause)
	}
	late.Store(false)
	close(end)
	running.Wait()
	return nil
}
