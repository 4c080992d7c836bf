//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playPlanned restarts entries and sidecars gracefully and lets executors leave and come back, under callers with long time limits.
// It is an exploration, which has found nothing.
func playPlanned(jud *judge, dir, binary string, trouble bool) error {
	rnd := rand.New(rand.NewPCG(seedOf(), 1))
	fle, err := newFleet(jud, dir, binary, 2, 5, func(int) int { return 16000 }, func(int) []string { return []string{"a"} })
	if err != nil {
		return err
	}
	defer fle.end()
	end := make(chan struct{})
	var running sync.WaitGroup
	for c := range 16 {
		crd := rand.New(rand.NewPCG(seedOf(), uint64(100+c)))
		running.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				id, millis := newID(), 50+crd.IntN(2500)
				stps := []step{{Count: 1 + crd.IntN(4), CPU: 1000, MemMB: 64, Estimate: millis}, {Count: 1, CPU: 1000, MemMB: 64, Estimate: 50, After: []int{0}}}
				wait := []time.Duration{1500 * time.Millisecond, 4 * time.Second, 10 * time.Second}[crd.IntN(3)]
				ent := fle.entries[crd.IntN(2)]
				for range 2 {
					out := fle.submit(fle.addr(ent.host, "front"), routePrefix, id, fmt.Sprintf("%d,1000;50,1000", millis), stps, wait)
					if out.sentAt.IsZero() {
						time.Sleep(50 * time.Millisecond)
						break
					}
					if out.status == 0 && out.cutAt.Sub(out.sentAt) < wait && (jud.startsOf(id) > 0 || out.cutAt.Sub(out.sentAt) > lossSlack) {
						jud.broken("LOST", "%s to %s, cut %v later, %d starts, wait %v", id, ent.name, out.cutAt.Sub(out.sentAt), jud.startsOf(id), wait)
					}
					if out.status == http.StatusOK || out.status == http.StatusServiceUnavailable {
						break
					}
					time.Sleep(resendDelay)
				}
			}
		})
	}
	until := time.Now().Add(70 * time.Second)
	for trouble && time.Now().Before(until) {
		time.Sleep(time.Duration(300+rnd.IntN(2500)) * time.Millisecond)
		switch rnd.IntN(3) {
		case 0:
			fle.entries[rnd.IntN(2)].signal(fle, syscall.SIGTERM)
			time.Sleep(3 * time.Second)
		case 1:
			fle.sidecars[rnd.IntN(5)].signal(fle, syscall.SIGTERM)
		case 2:
			exe := fle.exes[rnd.IntN(5)]
			exe.mutex.Lock()
			busy := exe.down || exe.state != "ready"
			exe.state = "draining"
			id, cpu, labels := exe.id, exe.cpu, exe.labels
			exe.mutex.Unlock()
			if busy {
				continue
			}
			exe.heartbeat()
			time.AfterFunc(time.Duration(2500+rnd.IntN(2000))*time.Millisecond, func() {
				if rsp, err := http.Post(exe.sidecarURL+"/Executors.Deregister/"+id, "application/json", nil); err == nil {
					_ = rsp.Body.Close()
				}
				exe.crash()
				time.Sleep(time.Second)
				exe.begin(id, cpu, labels...)
				exe.listen()
				exe.heartbeat()
			})
		}
	}
	close(end)
	running.Wait()
	return nil
}
