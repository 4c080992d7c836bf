package rgproof

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgstandin"
)

const (
	loadEntries  = 3
	loadSidecars = 3
	loadCallers  = 5
	// suspendTime is how long a process is suspended and how long a fault of the store lasts. It is longer than the lease of
	// an entry and shorter than the callers' timeout.
	suspendTime = 4500 * time.Millisecond
	// faultTime is how long a fault of connections or of an upstream lasts, and how long jobs are cancelled.
	faultTime = 3 * time.Second
	// maxAttempts is how many times a caller of the load submits a job at most.
	maxAttempts = 6
)

// faults are injected at a random time under load, derived from the seed. Those that can be undone end after a fixed time.
var faults = map[string]func(sys *system, rnd *rand.Rand){
	"entry killed":   func(sys *system, _ *rand.Rand) { sys.entries[1].signal(syscall.SIGKILL) },
	"sidecar killed": func(sys *system, _ *rand.Rand) { sys.sidecars[1].signal(syscall.SIGKILL) },
	"sidecar restarted": func(sys *system, _ *rand.Rand) {
		sys.sidecars[1].signal(syscall.SIGKILL)
		<-sys.sidecars[1].done
		sys.startSidecar(1, sys.upstreams[1].url)
	},
	"entry suspended":   func(sys *system, _ *rand.Rand) { suspend(sys.entries[1]) },
	"sidecar suspended": func(sys *system, _ *rand.Rand) { suspend(sys.sidecars[0]) },
	"disconnect before start": func(sys *system, rnd *rand.Rand) {
		sys.applyFrameFaults(0, rnd, 5, func(frm frame, _ time.Duration) action { return onStart(frm, closeConn{}) })
	},
	"disconnect after start": func(sys *system, rnd *rand.Rand) {
		sys.applyFrameFaults(0, rnd, 5, func(frm frame, _ time.Duration) action { return onStart(frm, closeConn{afterWrite: true}) })
	},
	"disconnect before reply": func(sys *system, rnd *rand.Rand) {
		sys.applyFrameFaults(0, rnd, 10, func(frm frame, _ time.Duration) action {
			if frm.method == "" && !frm.toSidecar {
				return closeConn{}
			}
			return pass{}
		})
	},
	"messages duplicated": func(sys *system, rnd *rand.Rand) {
		sys.applyFrameFaults(0, rnd, 2, func(frame, time.Duration) action { return duplicate{} })
	},
	"messages reordered": func(sys *system, rnd *rand.Rand) {
		sys.applyFrameFaults(0, rnd, 2, func(_ frame, by time.Duration) action { return delay{by: by} })
	},
	"store down":                  func(sys *system, _ *rand.Rand) { sys.storeFault(rgstandin.StoreFaults{Down: true}) },
	"store slow":                  func(sys *system, _ *rand.Rand) { sys.storeFault(rgstandin.StoreFaults{Delay: 700 * time.Millisecond}) },
	"store replies lost":          func(sys *system, _ *rand.Rand) { sys.storeFault(rgstandin.StoreFaults{DropResponses: true}) },
	"upstream fails":              func(sys *system, _ *rand.Rand) { sys.upstreamFault("fail") },
	"upstream hangs":              func(sys *system, _ *rand.Rand) { sys.upstreamFault("hang") },
	"upstream truncates":          func(sys *system, _ *rand.Rand) { sys.upstreamFault("truncate") },
	"upstream duplicates answers": func(sys *system, _ *rand.Rand) { sys.upstreamFault("duplicate") },
	"delayed duplicates":          func(sys *system, _ *rand.Rand) { sys.upstreamFault("delayed duplicates") },
	"delayed duplicates without task headers": func(sys *system, _ *rand.Rand) {
		sys.upstreamFault("delayed duplicates without task headers")
	},
	"upstream answers late": func(sys *system, _ *rand.Rand) { sys.upstreamFault("late") },
	"entry stopped":         func(sys *system, _ *rand.Rand) { sys.entries[1].signal(syscall.SIGTERM) },
	"sidecar stopped":       func(sys *system, _ *rand.Rand) { sys.sidecars[1].signal(syscall.SIGTERM) },
	"entry added":           func(sys *system, _ *rand.Rand) { sys.addEntry() },
	"cancellations":         func(sys *system, rnd *rand.Rand) { sys.cancelMany(rnd) },
}

// TestFaults guards against violations of invariants 1 to 5 when one fault, or two overlapping faults, occur under load, and
// against a ring or a service that does not recover from the faults.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		seed   uint64
		faults []string
	}{
		"entry killed":                            {seed: 1, faults: []string{"entry killed"}},
		"sidecar killed":                          {seed: 2, faults: []string{"sidecar killed"}},
		"sidecar restarted":                       {seed: 3, faults: []string{"sidecar restarted"}},
		"entry suspended":                         {seed: 4, faults: []string{"entry suspended"}},
		"sidecar suspended":                       {seed: 5, faults: []string{"sidecar suspended"}},
		"disconnect before start":                 {seed: 6, faults: []string{"disconnect before start"}},
		"disconnect after start":                  {seed: 7, faults: []string{"disconnect after start"}},
		"disconnect before reply":                 {seed: 8, faults: []string{"disconnect before reply"}},
		"messages duplicated":                     {seed: 9, faults: []string{"messages duplicated"}},
		"messages reordered":                      {seed: 10, faults: []string{"messages reordered"}},
		"store down":                              {seed: 11, faults: []string{"store down"}},
		"store slow":                              {seed: 12, faults: []string{"store slow"}},
		"store replies lost":                      {seed: 13, faults: []string{"store replies lost"}},
		"upstream fails":                          {seed: 14, faults: []string{"upstream fails"}},
		"upstream hangs":                          {seed: 15, faults: []string{"upstream hangs"}},
		"upstream truncates":                      {seed: 16, faults: []string{"upstream truncates"}},
		"upstream duplicates answers":             {seed: 17, faults: []string{"upstream duplicates answers"}},
		"upstream answers late":                   {seed: 18, faults: []string{"upstream answers late"}},
		"delayed duplicates":                      {seed: 37, faults: []string{"delayed duplicates"}},
		"delayed duplicates without task headers": {seed: 38, faults: []string{"delayed duplicates without task headers"}},
		"cancellations":                           {seed: 19, faults: []string{"cancellations"}},
		"entry and sidecar killed":                {seed: 20, faults: []string{"entry killed", "sidecar killed"}},
		"entry killed, restart":                   {seed: 21, faults: []string{"entry killed", "sidecar restarted"}},
		"entry killed, disconnects":               {seed: 22, faults: []string{"entry killed", "disconnect after start"}},
		"entry killed, duplicates":                {seed: 23, faults: []string{"messages duplicated", "entry killed"}},
		"entry killed, reordered":                 {seed: 24, faults: []string{"messages reordered", "entry killed"}},
		"entry killed, store down":                {seed: 25, faults: []string{"store down", "entry killed"}},
		"entry killed, replies lost":              {seed: 26, faults: []string{"store replies lost", "entry killed"}},
		"entry and sidecar suspended":             {seed: 27, faults: []string{"entry suspended", "sidecar suspended"}},
		"entry suspended, sidecar lost":           {seed: 28, faults: []string{"entry suspended", "sidecar killed"}},
		"entry suspended, reordered":              {seed: 29, faults: []string{"entry suspended", "messages reordered"}},
		"entry added, store down":                 {seed: 30, faults: []string{"store down", "entry added"}},
		"entry added, entry killed":               {seed: 31, faults: []string{"entry added", "entry killed"}},
		"entry added, restart":                    {seed: 32, faults: []string{"entry added", "sidecar restarted"}},
		"cancellations, duplicates":               {seed: 33, faults: []string{"messages duplicated", "cancellations"}},
		"entry and sidecar stopped":               {seed: 34, faults: []string{"entry stopped", "sidecar stopped"}},
		"entry stopped, one killed":               {seed: 35, faults: []string{"entry stopped", "sidecar killed"}},
		"hang and disconnects":                    {seed: 36, faults: []string{"upstream hangs", "disconnect after start"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, tc.seed, loadEntries, loadSidecars)
			end := sys.startLoad()
			var running sync.WaitGroup
			for i, name := range tc.faults {
				rnd := rand.New(rand.NewPCG(tc.seed, uint64(i)))
				after := 200*time.Millisecond + time.Duration(rnd.IntN(800))*time.Millisecond
				running.Go(func() {
					time.Sleep(after)
					faults[name](sys, rnd)
				})
			}
			running.Wait()
			sys.waitUntil("ring with all live entries", readyTimeout, func() bool {
				sta, ok := sys.status(0)
				return ok && len(sta.Ring.Entries) == sys.liveEntries()
			})
			sys.waitUntil("completion of a job after the faults", readyTimeout, func() bool {
				return sys.submit(0, newID(time.Now()), "after", 4).answer.Status == "complete"
			})
			end()
			sys.resubmitSample()
			sys.checkHistory()
		})
	}
}

// suspend stops a process with SIGSTOP for suspendTime.
func suspend(prc *process) {
	prc.signal(syscall.SIGSTOP)
	time.Sleep(suspendTime)
	prc.signal(syscall.SIGCONT)
}

// onStart returns the action for a frame that starts a batch, and otherwise passes the frame.
func onStart(frm frame, act action) action {
	if frm.method == "startBatch" {
		return act
	}
	return pass{}
}

// applyFrameFaults applies the chosen action to each frame with a probability of 1/every, for faultTime.
func (sys *system) applyFrameFaults(entry int, rnd *rand.Rand, every int, choose func(frame, time.Duration) action) {
	sys.proxies[entry].setRule(func(frm frame) action {
		if rnd.IntN(every) > 0 {
			return pass{}
		}
		return choose(frm, time.Duration(rnd.IntN(300))*time.Millisecond)
	})
	time.Sleep(faultTime)
	sys.proxies[entry].setRule(nil)
}

// storeFault injects a fault of the store for suspendTime.
func (sys *system) storeFault(flt rgstandin.StoreFaults) {
	sys.store.SetFaults(flt)
	time.Sleep(suspendTime)
	sys.store.SetFaults(rgstandin.StoreFaults{})
}

// upstreamFault injects a fault of the first upstream for faultTime.
func (sys *system) upstreamFault(flt string) {
	sys.upstreams[0].fault.Store(flt)
	time.Sleep(faultTime)
	sys.upstreams[0].fault.Store("")
}

// cancelMany cancels about half of the jobs that have just been submitted, each through a random entry.
func (sys *system) cancelMany(rnd *rand.Rand) {
	for end := time.Now().Add(faultTime); time.Now().Before(end); time.Sleep(pollInterval) {
		sys.mutex.Lock()
		ids := append([]rgmodel.SubmissionID(nil), sys.recentIDs...)
		sys.recentIDs = nil
		sys.mutex.Unlock()
		for _, id := range ids {
			if rnd.IntN(2) == 0 {
				sys.cancel(rnd.IntN(loadEntries), id)
			}
		}
	}
}

func (sys *system) cancel(entry int, id rgmodel.SubmissionID) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	req, _ := http.NewRequestWithContext(ctx, http.MethodDelete, sys.url(entry, "/v1/jobs/"+string(id)), nil)
	if rsp, err := sys.client.Do(req); err == nil {
		_ = rsp.Body.Close()
	}
}

// startLoad submits jobs until the returned function is called. A job that gets no answer or status 503 is submitted again,
// each time to the next entry, at most maxAttempts times.
func (sys *system) startLoad() func() {
	ctx, stop := context.WithCancel(context.Background())
	sys.t.Cleanup(stop)
	entries := len(sys.entries)
	var running sync.WaitGroup
	for range loadCallers {
		rnd := rand.New(rand.NewPCG(sys.random.Uint64(), 2))
		running.Go(func() {
			for ctx.Err() == nil {
				sys.submitUntilFinal(ctx, rnd, entries)
			}
		})
	}
	return func() { stop(); running.Wait() }
}

// submitUntilFinal submits a new job until it has a final answer, maxAttempts are made or ctx ends.
func (sys *system) submitUntilFinal(ctx context.Context, rnd *rand.Rand, entries int) {
	id, tasks, entry := newID(time.Now()), 1+rnd.IntN(8), rnd.IntN(entries)
	sys.mutex.Lock()
	sys.recentIDs = append(sys.recentIDs, id)
	sys.mutex.Unlock()
	for try := range maxAttempts {
		// Like the platform's load balancer, callers skip an entry that reports that it is draining.
		if sys.isDraining((entry + try) % entries) {
			continue
		}
		att := sys.submit((entry+try)%entries, id, "load", tasks)
		if ctx.Err() != nil || att.status == http.StatusOK {
			return
		}
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		if att.err == nil && att.status != http.StatusServiceUnavailable {
			return
		}
	}
}

// resubmitSample submits each id that had an attempt without a complete answer, and some of the others, again, because the
// answers must agree with the history.
func (sys *system) resubmitSample() {
	sys.mutex.Lock()
	seen := map[rgmodel.SubmissionID]attempt{}
	for _, att := range sys.attempts {
		if att.answer.Status != "complete" || len(seen) < 40 {
			seen[att.id] = att
		}
	}
	sys.mutex.Unlock()
	var running sync.WaitGroup
	limit := make(chan struct{}, 16)
	for id, att := range seen {
		limit <- struct{}{}
		running.Go(func() {
			defer func() { <-limit }()
			sys.submitWithin(0, id, att.body, att.tasks, 2*time.Second)
		})
	}
	running.Wait()
}
