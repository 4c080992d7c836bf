//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Settings of the exploration, which is no case. Its faults overlap and go beyond the doses of the pages.
var (
	// longTasks makes half of the tasks last for more than 2.5 s.
	longTasks = os.Getenv("LONG") != ""
	// otherKinds starts executors again with another capacity and label, newIDs half of them under a new id.
	otherKinds = os.Getenv("KINDS") != ""
	newIDs     = os.Getenv("NEW_IDS") != ""
)

const (
	exploreCallers = 16
	exploreTime    = 55 * time.Second
	// maxDrawnFaults is the number of the kinds of faults of processes, executors and orders.
	maxDrawnFaults = 11
)

// orderTroubles are the faults of calls to executors in force.
type orderTroubles struct {
	mutex sync.Mutex
	// late, lost and lostStops are percentages of calls: carried out late, carried out without an answer, and stops that are dropped.
	late, lost, lostStops int
	// cutUntil is when the cut between an executor and its sidecar ends. A one-way cut only keeps answers back.
	cutUntil map[*executor]time.Time
	oneWay   map[*executor]bool
}

func (trb *orderTroubles) intercept(exe *executor, path string, _ orderBody) callFate {
	trb.mutex.Lock()
	defer trb.mutex.Unlock()
	if time.Now().Before(trb.cutUntil[exe]) {
		return callFate{silent: true, execute: trb.oneWay[exe]}
	}
	switch drawn := rand.IntN(100); {
	case drawn < trb.late:
		return callFate{silent: true, after: 2*time.Second + rand.N(4*time.Second)}
	case drawn < trb.late+trb.lost:
		return callFate{silent: true, execute: true}
	case path == "/run-stop" && drawn < trb.late+trb.lost+trb.lostStops:
		return callFate{silent: true}
	default:
		return callFate{}
	}
}

func (trb *orderTroubles) set(late, lost, lostStops int) {
	trb.mutex.Lock()
	defer trb.mutex.Unlock()
	trb.late, trb.lost, trb.lostStops = late, lost, lostStops
}

func (trb *orderTroubles) cut(exe *executor, oneWay bool, dur time.Duration) {
	trb.mutex.Lock()
	defer trb.mutex.Unlock()
	trb.cutUntil[exe], trb.oneWay[exe] = time.Now().Add(dur), oneWay
}

// seedOf returns the seed in the environment.
func seedOf() uint64 {
	num, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return num
}

// playExplore plays overlapping faults under callers with jobs of one or two steps, labels, anti-affinity and short and long time limits.
func playExplore(jud *judge, dir, binary string, trouble bool) error {
	fle, err := newFleet(jud, dir, binary, 2, 5, func(i int) int { return 8000 + 4000*(i%2) }, func(i int) []string {
		return []string{[]string{"a", "a", "b"}[i%3], fmt.Sprintf("r1-%d", i/3)}
	})
	if err != nil {
		return err
	}
	defer fle.end()
	trb := &orderTroubles{cutUntil: map[*executor]time.Time{}, oneWay: map[*executor]bool{}}
	for _, exe := range fle.exes {
		exe.intercept = trb.intercept
	}
	end := make(chan struct{})
	var running sync.WaitGroup
	for i := range exploreCallers {
		running.Go(func() { exploreCaller(fle, rand.New(rand.NewPCG(seedOf(), uint64(100+i))), end) })
	}
	rnd := rand.New(rand.NewPCG(seedOf(), 1))
	for until := time.Now().Add(exploreTime); trouble && time.Now().Before(until); {
		time.Sleep(200*time.Millisecond + time.Duration(rnd.Int64N(int64(1200*time.Millisecond))))
		if len(fle.proxies) > 0 && rnd.IntN(2) == 0 {
			disturbConnections(fle, trb, rnd)
		} else {
			disturbProcesses(fle, trb, rnd)
		}
	}
	close(end)
	running.Wait()
	time.Sleep(6 * time.Second)
	checkAllInUse(fle)
	return nil
}

// exploreCaller sends one job after the other, each up to three times, until the channel is closed.
func exploreCaller(fle *fleet, rnd *rand.Rand, end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		default:
		}
		spec, stps := drawJob(rnd)
		id, wait := newID(), []time.Duration{1500 * time.Millisecond, 6 * time.Second, 15 * time.Second}[rnd.IntN(3)]
		for range 3 {
			ent := fle.entries[rnd.IntN(len(fle.entries))]
			out := fle.submit(fle.addr(ent.host, "front"), routePrefix, id, spec, stps, wait)
			if out.status == http.StatusOK || out.status == http.StatusServiceUnavailable {
				break
			}
			time.Sleep(resendDelay)
		}
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
	}
}

// drawJob returns the spec and the steps of a job.
func drawJob(rnd *rand.Rand) (string, []step) {
	spec, stps := "", []step{}
	for i := range 1 + rnd.IntN(2) {
		millis := 50 + rnd.IntN(1500)
		if longTasks && rnd.IntN(2) == 0 {
			millis += 2500
		}
		stp := step{Count: 1 + rnd.IntN(4), CPU: 1000, MemMB: 64, Estimate: millis}
		if i > 0 {
			stp.After = []int{i - 1}
			spec += ";"
		}
		if rnd.IntN(4) == 0 {
			stp.Requirements = []string{"a", "b"}[rnd.IntN(2)]
		} else if rnd.IntN(3) == 0 {
			stp.AntiAffinity = 1
		}
		spec += fmt.Sprintf("%d,%d", millis, stp.CPU)
		stps = append(stps, stp)
	}
	return spec, stps
}

// disturbConnections resets or cuts connections between an entry and the sidecars, and in half of the cases cuts an executor off, too.
func disturbConnections(fle *fleet, trb *orderTroubles, rnd *rand.Rand) {
	dur := time.Duration(80+rnd.IntN(1500)) * time.Millisecond
	if rnd.IntN(4) == 0 {
		dur = time.Duration(1500+rnd.IntN(3000)) * time.Millisecond
	}
	num, share, kind := rnd.IntN(len(fle.proxies)), []float64{.3, .6, 1}[rnd.IntN(3)], rnd.IntN(5)
	fle.judge.note("connections of edge-%d: kind %d, share %v, %v", num+1, kind, share, dur)
	switch kind {
	case 0:
		fle.proxies[num].resetSome(share)
	case 1, 2:
		fle.proxies[num].cut(share, true, true, dur)
	case 3:
		fle.proxies[num].cut(share, true, false, dur)
	case 4:
		fle.proxies[num].cut(share, false, true, dur)
	}
	if rnd.IntN(2) == 0 {
		exe, oneWay := fle.exes[rnd.IntN(len(fle.exes))], rnd.IntN(2) == 0
		trb.cut(exe, oneWay, dur)
		fle.judge.note("executor at %s: cut, one way %v", exe.address, oneWay)
	}
}

// disturbProcesses kills, suspends or stops a process, crashes an executor, or has orders fail for two seconds.
func disturbProcesses(fle *fleet, trb *orderTroubles, rnd *rand.Rand) {
	entry, sidecar := fle.entries[rnd.IntN(len(fle.entries))], fle.sidecars[rnd.IntN(len(fle.sidecars))]
	switch rnd.IntN(maxDrawnFaults) {
	case 0:
		entry.signal(fle, syscall.SIGKILL)
	case 1:
		sidecar.signal(fle, syscall.SIGKILL)
	case 2, 3:
		pro := []*process{entry, sidecar}[rnd.IntN(2)]
		pro.signal(fle, syscall.SIGSTOP)
		time.AfterFunc(time.Duration(100+rnd.IntN(2000))*time.Millisecond, func() { pro.signal(fle, syscall.SIGCONT) })
	case 4, 5, 6:
		restartExecutor(fle.exes[rnd.IntN(len(fle.exes))], time.Duration(5+rnd.IntN(800))*time.Millisecond)
	case 7:
		sidecar.signal(fle, syscall.SIGTERM)
	default:
		late, lost, lostStops := 5*rnd.IntN(4), 5*rnd.IntN(4), 20*rnd.IntN(3)
		trb.set(late, lost, lostStops)
		fle.judge.note("orders: %d%% late, %d%% lost, %d%% of the stops lost", late, lost, lostStops)
		time.AfterFunc(2*time.Second, func() { trb.set(0, 0, 0) })
	}
}

// restartExecutor crashes an executor that is up. It starts again after the pause.
func restartExecutor(exe *executor, pause time.Duration) {
	exe.mutex.Lock()
	id, cpu, labels, down := exe.id, exe.cpu, exe.labels, exe.down
	exe.mutex.Unlock()
	if down {
		return
	}
	exe.crash()
	time.AfterFunc(pause, func() {
		if otherKinds {
			cpu, labels = []int{4000, 8000, 12000}[rand.IntN(3)], []string{[]string{"a", "b"}[rand.IntN(2)], "r1-1"}
		}
		if newIDs && rand.IntN(2) == 0 {
			id = fmt.Sprintf("i-%d", 100+rand.IntN(1<<20))
		}
		exe.begin(id, cpu, labels...)
		exe.listen()
		exe.heartbeat()
	})
}

// checkAllInUse sends a job with one task for each executor to each entry, which shows whether all of them are in use again.
func checkAllInUse(fle *fleet) {
	for _, ent := range fle.entries {
		stps := []step{{Count: len(fle.exes), CPU: 1000, MemMB: 64, Estimate: 100, AntiAffinity: 1}}
		out := fle.submit(fle.addr(ent.host, "front"), routePrefix, newID(), "100,1000", stps, 3*time.Second)
		if out.status != http.StatusOK {
			fle.judge.broken("STUCK", "%s: %s", ent.name, out.text)
		}
	}
}
