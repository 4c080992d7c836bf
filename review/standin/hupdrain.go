//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// lossSlack is loss_slack_ms of the pages.
const lossSlack = 200 * time.Millisecond

// playHupDuringDrain restarts an entry gracefully, as a rolling restart does, and tells it in its drain that its settings file has
// changed. Without the trouble, there is only the restart.
func playHupDuringDrain(jud *judge, dir, binary string, trouble bool) error {
	const (
		callers    = 12
		callerWait = 1500 * time.Millisecond
		hupAfter   = 800 * time.Millisecond
	)
	fle, err := newFleet(jud, dir, binary, 2, 4, func(int) int { return 32000 }, func(int) []string { return []string{"a", "r1-1"} })
	if err != nil {
		return err
	}
	defer fle.end()
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
				id, millis := newID(), 100+rand.IntN(700)
				stps := []step{{Count: 2, CPU: 1000, MemMB: 64, Estimate: millis}}
				out := fle.submit(fle.addr(entry.host, "front"), routePrefix, id, fmt.Sprintf("%d,1000", millis), stps, callerWait)
				switch {
				case out.sentAt.IsZero():
					// The entry no longer listens, or is not up again.
					time.Sleep(50 * time.Millisecond)
				case out.status == 0 && out.cutAt.Sub(out.sentAt) < callerWait && (jud.startsOf(id) > 0 || out.cutAt.Sub(out.sentAt) > lossSlack):
					jud.broken("LOST", "%s was sent to %s and the connection ended %v later without an answer, after %d starts", id, entry.name,
						out.cutAt.Sub(out.sentAt).Round(time.Millisecond), jud.startsOf(id))
				}
			}
		})
	}
	for range 3 {
		time.Sleep(4 * time.Second)
		entry.signal(fle, syscall.SIGTERM)
		time.Sleep(hupAfter)
		if trouble {
			entry.signal(fle, syscall.SIGHUP)
		}
		time.Sleep(6 * time.Second)
	}
	close(end)
	running.Wait()
	return nil
}
