//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// timeLimit is the time limit of the clients, resendDelay is retransmit_ms.
	timeLimit   = 1500 * time.Millisecond
	resendDelay = 1300 * time.Millisecond
)

type (
	// job is a job of a client.
	job struct {
		id, spec string
		tasks    int
		// label is the label that the tasks require, or empty.
		label string
		work  time.Duration
		sent  time.Time
		// status is the status of the last answer, or 0 without one. state is its state.
		status int
		state  string
		// rejected is set if every attempt was answered with 429, 503 or 404.
		rejected bool
	}

	// load is the traffic of the clients.
	load struct {
		// make returns a new job; nil means two tasks of 200 ms.
		make  func() *job
		mutex sync.Mutex
		jobs  []*job
	}
)

var clientHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}

func newJob(tasks int, work time.Duration) *job {
	id := fmt.Sprintf("%016x", rand.Uint64())
	return &job{id: id, spec: "seat " + id, tasks: tasks, work: work}
}

// send sends a job and sends it again resendDelay after a lost answer, until the client's time limit has passed.
func (flt *fleet) send(jb *job) {
	flt.rec.jobSent(jb)
	jb.sent = time.Now()
	ctx, stop := context.WithDeadline(context.Background(), jb.sent.Add(timeLimit))
	defer stop()
	jb.rejected = true
	for ctx.Err() == nil {
		ent := flt.rotation()[rand.IntN(len(flt.rotation()))]
		flt.rec.write("client sends %s to %s", jb.id, ent.name)
		jb.status, jb.state = flt.post(ctx, ent, jb)
		flt.rec.write("client gets %d %s for %s", jb.status, jb.state, jb.id)
		switch jb.status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			jb.rejected = false
		case http.StatusOK:
			jb.rejected = false
			return
		default:
			return
		}
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
		}
	}
}

func (flt *fleet) post(ctx context.Context, ent *process, jb *job) (int, string) {
	required := ""
	if jb.label != "" {
		required = fmt.Sprintf(`,"requirements":%q`, jb.label)
	}
	body := fmt.Sprintf(`{"spec":%q,"best_effort":true,"steps":[{"count":%d,"cpu":3100,"mem_mb":64,"estimate_ms":%d%s}]}`,
		jb.spec, jb.tasks, jb.work.Milliseconds(), required)
	url := fmt.Sprintf("http://%s:%d%s%s", ent.ip, frontPort, routePrefix, jb.id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	if end, found := ctx.Deadline(); found {
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(end).Milliseconds()))
	}
	rsp, err := clientHTTP.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, ""
	}
	return rsp.StatusCode, strings.TrimSpace(string(raw))
}

// run sends jobs at a steady rate until the context ends.
func (lod *load) run(ctx context.Context, flt *fleet, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	var wgr sync.WaitGroup
	defer wgr.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		jb := newJob(2, 200*time.Millisecond)
		if lod.make != nil {
			jb = lod.make()
		}
		wgr.Go(func() {
			flt.send(jb)
			lod.mutex.Lock()
			defer lod.mutex.Unlock()
			lod.jobs = append(lod.jobs, jb)
		})
	}
}

// served returns how many of the jobs that were sent from one time to another were served, and how many there are.
func (lod *load) served(from, to time.Time) (int, int) {
	lod.mutex.Lock()
	defer lod.mutex.Unlock()
	good, all := 0, 0
	for _, jb := range lod.jobs {
		if jb.sent.Before(from) || jb.sent.After(to) {
			continue
		}
		all++
		if jb.status == http.StatusOK && strings.Contains(jb.state, "completed") {
			good++
		}
	}
	return good, all
}

// awaitServing waits until jobs are served.
func (flt *fleet) awaitServing(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		jb := newJob(2, 50*time.Millisecond)
		flt.send(jb)
		if jb.status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
