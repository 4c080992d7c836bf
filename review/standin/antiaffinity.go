//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playAntiAffinity resets half of the connections between an entry and the sidecars, again and again, while callers send jobs whose
// tasks have to run on different executors. Without the trouble, nothing is reset.
func playAntiAffinity(jud *judge, dir, binary string, trouble bool) error {
	const (
		callers    = 14
		executors  = 6
		callerWait = 10 * time.Second
		resets     = 32
		resetShare = 0.5
	)
	useProxies = true
	fle, err := newFleet(jud, dir, binary, 2, executors, func(int) int { return 32000 }, func(int) []string { return []string{"a", "r1-1"} })
	if err != nil {
		return err
	}
	defer fle.end()
	for i, exe := range fle.exes {
		// Some executors stop a task at once, and others take nearly the longest time that the pages allow.
		dur := []time.Duration{2 * time.Millisecond, taskStopTime - 2*time.Millisecond}[i%2]
		exe.stopTime = func() time.Duration { return dur }
	}
	entry, end := fle.entries[0], make(chan struct{})
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				id, millis := newID(), 300+rand.IntN(900)
				stps := []step{{Count: executors, CPU: 1000, MemMB: 64, Estimate: millis, AntiAffinity: 1}}
				for range 2 {
					out := fle.submit(fle.addr(entry.host, "front"), routePrefix, id, fmt.Sprintf("%d,1000", millis), stps, callerWait)
					if out.status == http.StatusOK || out.status == http.StatusServiceUnavailable {
						break
					}
					time.Sleep(resendDelay)
				}
			}
		})
	}
	for range resets {
		time.Sleep(2000 * time.Millisecond)
		if trouble {
			jud.note("half of the connections between %s and the sidecars are reset", entry.name)
			fle.proxies[0].resetSome(resetShare)
		}
	}
	close(end)
	running.Wait()
	return nil
}
