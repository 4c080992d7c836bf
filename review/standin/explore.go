//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func seedOf() uint64 { n, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64); return n }

func explore(jud *judge, dir, binary string, trouble bool) error {
	rnd := rand.New(rand.NewPCG(seedOf(), 1))
	fle, err := newFleet(jud, dir, binary, 2, 5, func(i int) int { return 8000 + 4000*(i%2) }, func(i int) []string {
		return []string{[]string{"a", "a", "b"}[i%3], fmt.Sprintf("r1-%d", i/3)}
	})
	if err != nil {
		return err
	}
	defer fle.end()
	var late, lost, lostStop int
	cutUntil := map[*executor]time.Time{}
	oneWay := map[*executor]bool{}
	var fmu sync.Mutex
	for _, exe := range fle.exes {
		exe.intercept = func(exe *executor, path string, ord orderBody) callFate {
			fmu.Lock()
			defer fmu.Unlock()
			if time.Now().Before(cutUntil[exe]) {
				return callFate{silent: true, execute: oneWay[exe]}
			}
			r := rand.IntN(100)
			switch {
			case r < late:
				return callFate{silent: true, after: time.Duration(2000+rand.IntN(4000)) * time.Millisecond}
			case r < late+lost:
				return callFate{silent: true, execute: true}
			case path == "/run-stop" && r < late+lost+lostStop:
				return callFate{silent: true}
			}
			return callFate{}
		}
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for c := range 16 {
		crd := rand.New(rand.NewPCG(seedOf(), uint64(100+c)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := newID()
				n := 1 + crd.IntN(2)
				var stps []step
				spec := ""
				for i := range n {
					ms := 50 + crd.IntN(1500)
					if os.Getenv("LONG") != "" && crd.IntN(2) == 0 {
						ms += 2500
					}
					s := step{Count: 1 + crd.IntN(4), CPU: 1000, MemMB: 64, Estimate: ms}
					if i > 0 {
						s.After = []int{i - 1}
						spec += ";"
					}
					if crd.IntN(4) == 0 {
						s.Requirements = []string{"a", "b"}[crd.IntN(2)]
					} else if crd.IntN(3) == 0 {
						s.AntiAffinity = 1
					}
					spec += fmt.Sprintf("%d,%d", ms, s.CPU)
					stps = append(stps, s)
				}
				wait := time.Duration([]int{1500, 6000, 15000}[crd.IntN(3)]) * time.Millisecond
				for range 3 {
					ent := fle.entries[crd.IntN(len(fle.entries))]
					out := fle.submit(fle.addr(ent.host, "front"), routePrefix, id, spec, stps, wait)
					if out.status == 200 || out.status == 503 {
						break
					}
					time.Sleep(1300 * time.Millisecond)
				}
				time.Sleep(time.Duration(crd.IntN(100)) * time.Millisecond)
			}
		})
	}
	endAt := time.Now().Add(55 * time.Second)
	for trouble && time.Now().Before(endAt) {
		time.Sleep(time.Duration(200+rnd.IntN(1200)) * time.Millisecond)
		if len(fle.proxies) > 0 && rnd.IntN(2) == 0 {
			dur := time.Duration(80+rnd.IntN(1500)) * time.Millisecond
			if rnd.IntN(4) == 0 {
				dur = time.Duration(1500+rnd.IntN(3000)) * time.Millisecond
			}
			prx, share := rnd.IntN(len(fle.proxies)), []float64{.3, .6, 1}[rnd.IntN(3)]
			what := rnd.IntN(5)
			jud.note("proxy of edge-%d: fault %d, share %v, %v", prx+1, what, share, dur)
			switch what {
			case 0:
				fle.proxies[prx].resetSome(share)
			case 1, 2:
				fle.proxies[prx].cut(share, true, true, dur)
			case 3:
				fle.proxies[prx].cut(share, true, false, dur)
			case 4:
				fle.proxies[prx].cut(share, false, true, dur)
			}
			if rnd.IntN(2) == 0 {
				fmu.Lock()
				exe := fle.exes[rnd.IntN(len(fle.exes))]
				cutUntil[exe], oneWay[exe] = time.Now().Add(dur), rnd.IntN(2) == 0
				jud.note("executor %s: cut, one way %v", exe.id, oneWay[exe])
				fmu.Unlock()
			}
			continue
		}
		switch rnd.IntN(11) {
		case 0:
			pro := fle.entries[rnd.IntN(len(fle.entries))]
			pro.signal(fle, syscall.SIGKILL)
		case 1:
			pro := fle.sidecars[rnd.IntN(len(fle.sidecars))]
			pro.signal(fle, syscall.SIGKILL)
		case 2, 3:
			pro := fle.sidecars[rnd.IntN(len(fle.sidecars))]
			if rnd.IntN(2) == 0 {
				pro = fle.entries[rnd.IntN(len(fle.entries))]
			}
			pro.signal(fle, syscall.SIGSTOP)
			time.AfterFunc(time.Duration(100+rnd.IntN(2000))*time.Millisecond, func() { pro.signal(fle, syscall.SIGCONT) })
		case 4, 9, 10:
			exe := fle.exes[rnd.IntN(len(fle.exes))]
			exe.mutex.Lock()
			id, cpu, labels, down := exe.id, exe.cpu, exe.labels, exe.down
			exe.mutex.Unlock()
			if down {
				continue
			}
			exe.crash()
			time.AfterFunc(time.Duration(5+rnd.IntN(800))*time.Millisecond, func() {
				if os.Getenv("KINDS") != "" {
					cpu = []int{4000, 8000, 12000}[rand.IntN(3)]
					labels = []string{[]string{"a", "b"}[rand.IntN(2)], "r1-1"}
				}
				exe.begin(id, cpu, labels...)
				exe.listen()
				exe.heartbeat()
			})
		case 5:
			pro := fle.sidecars[rnd.IntN(len(fle.sidecars))]
			pro.signal(fle, syscall.SIGTERM)
		case 6, 7, 8:
			fmu.Lock()
			late, lost, lostStop = 5*rnd.IntN(4), 5*rnd.IntN(4), 20*rnd.IntN(3)
			fmu.Unlock()
			jud.note("orders: late %d lost %d lostStop %d", late, lost, lostStop)
			time.AfterFunc(2*time.Second, func() {
				fmu.Lock()
				defer fmu.Unlock()
				late, lost, lostStop = 0, 0, 0
			})
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(6 * time.Second)
	// A job with one task for each executor shows whether all of them are in use again.
	for _, ent := range fle.entries {
		out := fle.submit(fle.addr(ent.host, "front"), routePrefix, newID(), "100,1000",
			[]step{{Count: len(fle.exes), CPU: 1000, MemMB: 64, Estimate: 100, AntiAffinity: 1}}, 3*time.Second)
		jud.note("after the troubles: %s", out.text)
		if out.status != 200 {
			jud.broken("STUCK", "%s: %s", ent.name, out.text)
		}
	}
	return nil
}
