//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat_ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	// maxHold is max_hold_ms, stopTime is stop_ms.
	maxHold  = time.Second
	stopTime = 50 * time.Millisecond
	// maxListedEnds is how many ends one list has at most.
	maxListedEnds = 500
	executorCPU   = 32000
	executorMemMB = 131072
)

type (
	// executorRun is a run in progress.
	executorRun struct {
		number uint64
		timer  *time.Timer
	}

	// executor is a sound stand-in of an executor: leases, fencing tokens, run numbers and heartbeats as PROTOCOL.md describes them.
	executor struct {
		rec *record
		// id and service are its own, control is the address to which it reports.
		id, service, control, address string
		server                        *http.Server

		mutex     sync.Mutex
		born      int64
		started   time.Time
		sequence  uint64
		token     uint64
		leaseEnd  int64
		runs      map[string]*executorRun
		highest   map[string]uint64
		ended     [][]any
		lastEnded int
		changed   chan struct{}
		// state is "draining" while the executor drains. drainAcked is when that was acknowledged first, and lateStarts counts the starts
		// later than drainBound after it.
		state      string
		drainAcked time.Time
		lateStarts int
		// kind is the first label.
		kind string
		// down is set while the executor has crashed and not started again. It reports nothing then.
		down bool
		// gone is set once the executor has ended for good.
		gone bool
	}

	orderBody struct {
		Task  string `json:"task"`
		Run   uint64 `json:"run"`
		Spec  string `json:"spec"`
		Lease int64  `json:"deadline_ms"`
		Token uint64 `json:"fence_token"`
		Acked int    `json:"last_seen"`
		Wait  int64  `json:"wait_ms"`
	}
)

// newExecutor starts an executor that serves on the address and reports to the control address until the process ends.
func newExecutor(rec *record, id, service, address, control string) (*executor, error) {
	exe := &executor{rec: rec, id: id, service: service, address: address, control: control, kind: "a", changed: make(chan struct{})}
	exe.begin()
	return exe, exe.listen()
}

func (exe *executor) listen() error {
	lis, err := net.Listen("tcp", exe.address)
	if err != nil {
		return err
	}
	exe.server = &http.Server{Handler: exe}
	go func() { _ = exe.server.Serve(lis) }()
	return nil
}

// restart crashes the executor and starts it again under its id after the time, as one of the kind, and reports it at once.
func (exe *executor) restart(after time.Duration, kind string) error {
	exe.rec.write("%s crashes", exe.id)
	_ = exe.server.Close()
	exe.mutex.Lock()
	exe.down = true
	for task := range exe.runs {
		exe.finish(task, "broken")
	}
	exe.mutex.Unlock()
	time.Sleep(after)
	exe.mutex.Lock()
	exe.kind, exe.down = kind, false
	exe.mutex.Unlock()
	exe.begin()
	if err := exe.listen(); err != nil {
		return err
	}
	status := sendReport(exe.control, exe.id, exe.description())
	exe.rec.write("%s reports itself with kind %s: answer %d", exe.id, kind, status)
	return nil
}

// begin begins a lifetime, which knows nothing of the one before.
func (exe *executor) begin() {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	for task := range exe.runs {
		exe.rec.runEnded(exe.id, task, "broken")
	}
	exe.started = time.Now()
	exe.born = exe.started.UnixMilli()
	exe.state = "ready"
	exe.sequence, exe.token, exe.leaseEnd, exe.lastEnded = 0, 0, 0, 0
	exe.runs, exe.highest, exe.ended = map[string]*executorRun{}, map[string]uint64{}, nil
	exe.rec.write("%s begins a lifetime, born %d", exe.id, exe.born)
}

// clock is the executor's steady clock.
func (exe *executor) clock() int64 { return 5000 + time.Since(exe.started).Milliseconds() }

// description returns a liveness report of the executor itself.
func (exe *executor) description() map[string]any {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	exe.sequence++
	return map[string]any{
		"backend": exe.service, "address": exe.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": exe.state, "cold_ms": 0,
		"capacity": map[string]any{"cpu": executorCPU, "mem_mb": executorMemMB, "gpu": 0}, "labels": []string{exe.kind, "r1-1"},
		"clock_ms": exe.clock(), "seq": exe.sequence, "born": exe.born,
	}
}

// sendReport sends a liveness report to the control address and returns the status, or 0 without an answer.
func sendReport(control, id string, body map[string]any) int {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	cli := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cli.Post("http://"+control+"/Executors.Heartbeat/"+id, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode
}

// finish ends a run. The caller holds the mutex.
func (exe *executor) finish(task, how string) {
	run := exe.runs[task]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(exe.runs, task)
	exe.lastEnded++
	exe.ended = append(exe.ended, []any{exe.lastEnded, task, run.number, how, ""})
	exe.rec.runEnded(exe.id, task, how)
	close(exe.changed)
	exe.changed = make(chan struct{})
}

// expire ends all runs if the lease has ended. The caller holds the mutex.
func (exe *executor) expire() {
	if exe.clock() < exe.leaseEnd {
		return
	}
	for task := range exe.runs {
		exe.finish(task, "lapsed")
	}
}

// renew extends the lease, which never shortens. The caller holds the mutex.
func (exe *executor) renew(until int64) {
	until = min(until, exe.clock()+maxHold.Milliseconds())
	if until <= exe.leaseEnd {
		return
	}
	exe.leaseEnd = until
	born := exe.born
	time.AfterFunc(time.Duration(until-exe.clock())*time.Millisecond, func() {
		exe.mutex.Lock()
		defer exe.mutex.Unlock()
		if exe.born == born {
			exe.expire()
		}
	})
}

// ServeHTTP handles an order.
func (exe *executor) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		return
	}
	var ord orderBody
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	exe.mutex.Lock()
	if req.Header.Get("X-Target-Instance") != exe.id {
		exe.mutex.Unlock()
		wtr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := exe.carryOut(req.URL.Path, ord)
	wait := time.Duration(ord.Wait) * time.Millisecond
	if req.URL.Path == "/hold" && status == http.StatusOK && wait > 0 && len(exe.ended) == 0 {
		changed := exe.changed
		exe.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-req.Context().Done():
		}
		exe.mutex.Lock()
		status, body = exe.carryOut(req.URL.Path, orderBody{Token: ord.Token, Acked: ord.Acked})
	}
	exe.mutex.Unlock()
	reply(wtr, status, body)
}

// carryOut carries out an order and returns its reply. The caller holds the mutex.
func (exe *executor) carryOut(path string, ord orderBody) (int, map[string]any) {
	exe.expire()
	body := map[string]any{"clock_ms": exe.clock()}
	if ord.Token < exe.token {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	exe.token = ord.Token
	switch path {
	case "/run-start":
		reason := exe.start(ord)
		if reason != "" {
			body["reason"] = reason
			return http.StatusConflict, body
		}
	case "/run-stop":
		exe.highest[ord.Task] = max(exe.highest[ord.Task], ord.Run)
		if run := exe.runs[ord.Task]; run != nil && run.number <= ord.Run {
			time.AfterFunc(rand.N(stopTime), func() { exe.endRun(ord.Task, run, "stopped") })
		}
	case "/hold":
		exe.renew(ord.Lease)
		for len(exe.ended) > 0 && exe.ended[0][0].(int) <= ord.Acked {
			exe.ended = exe.ended[1:]
		}
		runs := [][]any{}
		for task, run := range exe.runs {
			runs = append(runs, []any{task, run.number, "", 100, 0})
		}
		body["running_count"], body["born"] = runs, exe.born
		body["ended"] = append([][]any{}, exe.ended[:min(len(exe.ended), maxListedEnds)]...)
	}
	return http.StatusOK, body
}

// start starts a run and returns the reason of a refusal, or an empty string. The caller holds the mutex.
func (exe *executor) start(ord orderBody) string {
	run := exe.runs[ord.Task]
	switch {
	case run != nil && run.number == ord.Run:
		exe.renew(ord.Lease)
		return ""
	case ord.Lease <= exe.clock():
		return "late"
	case run != nil || ord.Run <= exe.highest[ord.Task]:
		exe.renew(ord.Lease)
		return "old"
	}
	if !exe.drainAcked.IsZero() && time.Since(exe.drainAcked) > drainBound {
		exe.lateStarts++
	}
	exe.renew(ord.Lease)
	exe.highest[ord.Task] = ord.Run
	run = &executorRun{number: ord.Run}
	exe.runs[ord.Task] = run
	work := exe.rec.runStarted(exe.id, exe.kind, ord.Task, ord.Run, ord.Spec)
	run.timer = time.AfterFunc(work, func() { exe.endRun(ord.Task, run, "done") })
	return ""
}

// isDown reports whether the executor has crashed and not started again.
func (exe *executor) isDown() bool {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	return exe.down
}

// isGone reports whether the executor has ended for good.
func (exe *executor) isGone() bool {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	return exe.gone
}

// endRun ends the run unless it has ended.
func (exe *executor) endRun(task string, run *executorRun, how string) {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	if exe.runs[task] == run {
		exe.finish(task, how)
	}
}

func executorID(num int) string { return fmt.Sprintf("i-7f3a91c%d", num) }
