//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bornInListsOnly is whether only lists of runs and heartbeats name the start of the lifetime, and no replies to starts and stops.
var bornInListsOnly = os.Getenv("BORN_IN_LISTS_ONLY") != ""

// clockRate is the rate of the executors' clocks.
var clockRate = map[bool]float64{true: 0.98, false: 1}[os.Getenv("SLOW_CLOCKS") != ""]

const (
	maxLease          = time.Second
	taskStopTime      = 50 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	// resendDelay is the time after which a caller sends its job again if it got no answer.
	resendDelay = 1300 * time.Millisecond
)

type (
	// run is a run of a task on an executor.
	run struct {
		task      string
		number    uint64
		millis    int
		cpu       int
		startedAt time.Time
	}

	// lateCall is a call that has got no reply and is carried out later.
	lateCall struct {
		path string
		id   string
		ord  orderBody
	}

	orderBody struct {
		Task          string `json:"task"`
		Run           uint64 `json:"run"`
		Spec          string `json:"spec"`
		FenceToken    uint64 `json:"fence_token"`
		LeaseEnd      *int64 `json:"deadline_ms"`
		AckedSequence int    `json:"last_seen"`
		WaitMillis    int    `json:"wait_ms"`
	}

	// executor is a stand-in for an executor of the platform. It does what the users' pages say of one.
	executor struct {
		judge      *judge
		sidecarURL string
		address    string
		service    string
		// intercept decides what happens to a call before it is carried out; nil means that it is carried out and answered.
		intercept func(exe *executor, path string, ord orderBody) callFate
		// stopTime returns how long a stop takes; nil means nearly taskStopTime.
		stopTime func() time.Duration

		mutex    sync.Mutex
		server   *http.Server
		id       string
		born     int64
		startAt  time.Time
		sequence int
		fence    uint64
		leaseEnd int64
		runs     map[string]*run
		highest  map[string]uint64
		ended    [][]any
		endCount int
		labels   []string
		cpu      int
		state    string
		down     bool
		changed  chan struct{}
		// drainAcked is when a heartbeat with the state draining was acknowledged.
		drainAcked time.Time
	}

	// callFate says what happens to a call.
	callFate struct {
		// silent leaves the call without a reply. With after > 0, it is carried out that much later.
		silent bool
		after  time.Duration
		// execute carries a silent call out at once.
		execute bool
	}
)

func newExecutor(jud *judge, id, address, sidecarURL string, cpu int, labels ...string) *executor {
	exe := &executor{judge: jud, address: address, sidecarURL: sidecarURL, service: "desk", changed: make(chan struct{})}
	exe.begin(id, cpu, labels...)
	exe.listen()
	return exe
}

// begin begins a lifetime, which knows nothing of the one before.
func (exe *executor) begin(id string, cpu int, labels ...string) {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	for tsk := range exe.runs {
		exe.judge.ended(exe, tsk, "crash")
	}
	exe.id, exe.cpu, exe.labels, exe.state = id, cpu, labels, "ready"
	exe.startAt = time.Now()
	exe.born = exe.startAt.UnixMilli()
	exe.sequence, exe.fence, exe.leaseEnd, exe.endCount, exe.ended = 0, 0, 0, 0, nil
	exe.runs, exe.highest, exe.drainAcked, exe.down = map[string]*run{}, map[string]uint64{}, time.Time{}, false
	exe.judge.note("executor %s: lifetime %d begins, cpu %d, labels %v", id, exe.born, cpu, labels)
}

// listen accepts calls. A server that has just ended may hold the address for a moment.
func (exe *executor) listen() {
	for range 100 {
		lis, err := net.Listen("tcp", exe.address)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		srv := &http.Server{Handler: exe}
		exe.mutex.Lock()
		exe.server = srv
		exe.mutex.Unlock()
		go func() { _ = srv.Serve(lis) }()
		return
	}
	exe.judge.fatal("executor cannot listen on %s", exe.address)
}

// crash ends the lifetime with all its runs and connections.
func (exe *executor) crash() {
	exe.mutex.Lock()
	exe.down = true
	srv := exe.server
	exe.server = nil
	for tsk := range exe.runs {
		exe.judge.ended(exe, tsk, "crash")
	}
	exe.runs = map[string]*run{}
	exe.judge.note("executor %s: lifetime %d ends", exe.id, exe.born)
	exe.mutex.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// crashSilently ends the lifetime with all its runs. Connections stay open and nothing answers, as when the machine is without power.
func (exe *executor) crashSilently() {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	exe.down = true
	for tsk := range exe.runs {
		exe.judge.ended(exe, tsk, "crash")
	}
	exe.runs = map[string]*run{}
	exe.judge.note("executor %s: lifetime %d ends silently", exe.id, exe.born)
}

// restartSilent begins the next lifetime, which knows no connection of the one before, and listens at once.
func (exe *executor) restartSilent(id string, cpu int, labels ...string) {
	exe.mutex.Lock()
	srv := exe.server
	exe.server = nil
	exe.mutex.Unlock()
	_ = srv.Close()
	exe.begin(id, cpu, labels...)
	exe.listen()
	go exe.heartbeat()
}

// clock returns the time of the executor's steady clock, which may be 2 % slow.
func (exe *executor) clock() int64 {
	return int64(clockRate*float64(time.Since(exe.startAt).Milliseconds())) + 1000
}

// heartbeats sends heartbeats until the channel is closed.
func (exe *executor) heartbeats(end <-chan struct{}) {
	exe.heartbeat()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case <-tick.C:
			exe.heartbeat()
		}
	}
}

// heartbeat sends one heartbeat.
func (exe *executor) heartbeat() {
	exe.mutex.Lock()
	if exe.down {
		exe.mutex.Unlock()
		return
	}
	exe.sequence++
	born, state := exe.born, exe.state
	raw, _ := json.Marshal(map[string]any{
		"backend": exe.service, "address": exe.address, "zone": "z-a", "version": "v1", "slots": 8, "state": state, "cold_ms": 0,
		"capacity": map[string]int{"cpu": exe.cpu, "mem_mb": 65536, "gpu": 0}, "labels": exe.labels,
		"clock_ms": exe.clock(), "seq": exe.sequence, "born": born,
	})
	url := exe.sidecarURL + "/Executors.Heartbeat/" + exe.id
	exe.mutex.Unlock()
	cli := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cli.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return
	}
	_ = rsp.Body.Close()
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	if rsp.StatusCode < 300 && state == "draining" && exe.born == born && exe.drainAcked.IsZero() {
		exe.drainAcked = time.Now()
		exe.judge.note("executor %s: drain acknowledged", exe.id)
	}
}

func (exe *executor) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	var ord orderBody
	if err != nil || json.Unmarshal(raw, &ord) != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	exe.mutex.Lock()
	down := exe.down
	exe.mutex.Unlock()
	if down {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	id := req.Header.Get("X-Target-Instance")
	if exe.intercept != nil {
		if fat := exe.intercept(exe, req.URL.Path, ord); fat.silent {
			if fat.execute {
				exe.carryOut(req.URL.Path, id, ord)
			}
			if fat.after > 0 {
				time.AfterFunc(fat.after, func() { exe.carryOutLate(lateCall{path: req.URL.Path, id: id, ord: ord}) })
			}
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := exe.carryOut(req.URL.Path, id, ord)
	if status == http.StatusOK && req.URL.Path == "/hold" && ord.WaitMillis > 0 {
		exe.mutex.Lock()
		wait, changed := exe.endCount <= ord.AckedSequence, exe.changed
		exe.mutex.Unlock()
		if wait {
			select {
			case <-changed:
			case <-time.After(time.Duration(ord.WaitMillis) * time.Millisecond):
			case <-req.Context().Done():
			}
			status, body = exe.carryOut(req.URL.Path, id, ord)
		}
	}
	wtr.Header().Set("Content-Type", "application/json")
	wtr.WriteHeader(status)
	_ = json.NewEncoder(wtr).Encode(body)
}

// carryOutLate carries out a call that has got no reply.
func (exe *executor) carryOutLate(cal lateCall) {
	exe.mutex.Lock()
	listens := exe.server != nil && !exe.down
	exe.mutex.Unlock()
	if !listens {
		return
	}
	status, body := exe.carryOut(cal.path, cal.id, cal.ord)
	exe.judge.note("executor %s: late %s %s run %d: %d %v", cal.id, cal.path, cal.ord.Task, cal.ord.Run, status, body["reason"])
}

func (exe *executor) carryOut(path, id string, ord orderBody) (int, map[string]any) {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	exe.expire()
	body := map[string]any{"clock_ms": exe.clock()}
	if path == "/hold" || !bornInListsOnly {
		body["born"] = exe.born
	}
	if id != exe.id {
		return http.StatusMisdirectedRequest, body
	}
	if ord.FenceToken < exe.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	exe.fence = ord.FenceToken
	switch path {
	case "/run-start":
		if rsn := exe.start(ord); rsn != "" {
			body["reason"] = rsn
			return http.StatusConflict, body
		}
	case "/run-stop":
		exe.highest[ord.Task] = max(exe.highest[ord.Task], ord.Run)
		if cur := exe.runs[ord.Task]; cur != nil && cur.number <= ord.Run {
			dur := taskStopTime - 5*time.Millisecond
			if exe.stopTime != nil {
				dur = exe.stopTime()
			}
			time.AfterFunc(dur, func() { exe.finish(cur, "stopped") })
		}
	case "/hold":
		exe.extendLease(ord.LeaseEnd)
		running := [][]any{}
		for _, cur := range exe.runs {
			running = append(running, []any{cur.task, cur.number, "", 100})
		}
		exe.ended = slices.DeleteFunc(exe.ended, func(row []any) bool { return row[0].(int) <= ord.AckedSequence })
		body["running_count"], body["ended"] = running, append([][]any{}, exe.ended...)
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

// start starts a run, or returns the reason for which it is refused. The caller holds the mutex.
func (exe *executor) start(ord orderBody) string {
	cur := exe.runs[ord.Task]
	switch {
	case cur != nil && cur.number == ord.Run:
		exe.extendLease(ord.LeaseEnd)
		return ""
	case ord.LeaseEnd == nil || *ord.LeaseEnd <= exe.clock():
		return "late"
	case cur != nil || ord.Run <= exe.highest[ord.Task]:
		exe.extendLease(ord.LeaseEnd)
		return "old"
	}
	exe.extendLease(ord.LeaseEnd)
	exe.highest[ord.Task] = ord.Run
	millis, cpu := specOf(ord.Spec, ord.Task)
	cur = &run{task: ord.Task, number: ord.Run, millis: millis, cpu: cpu, startedAt: time.Now()}
	exe.runs[ord.Task] = cur
	used := 0
	for _, oth := range exe.runs {
		used += oth.cpu
	}
	exe.judge.started(exe, cur, ord, used)
	time.AfterFunc(time.Duration(millis)*time.Millisecond, func() { exe.finish(cur, "done") })
	return ""
}

// extendLease extends the lease of all runs. The caller holds the mutex.
func (exe *executor) extendLease(until *int64) {
	if until == nil {
		return
	}
	end := min(*until, exe.clock()+maxLease.Milliseconds())
	if end <= exe.leaseEnd {
		return
	}
	exe.leaseEnd = end
	born := exe.born
	left := time.Duration(float64(end-exe.clock())/clockRate*float64(time.Millisecond)) + time.Millisecond
	time.AfterFunc(left, func() {
		exe.mutex.Lock()
		defer exe.mutex.Unlock()
		if exe.born == born {
			exe.expire()
		}
	})
}

// expire ends all runs once the lease has expired. The caller holds the mutex.
func (exe *executor) expire() {
	if exe.clock() < exe.leaseEnd {
		return
	}
	for _, cur := range exe.runs {
		exe.finishLocked(cur, "lapsed")
	}
}

func (exe *executor) finish(cur *run, how string) {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	exe.expire()
	exe.finishLocked(cur, how)
}

func (exe *executor) finishLocked(cur *run, how string) {
	if exe.runs[cur.task] != cur {
		return
	}
	delete(exe.runs, cur.task)
	exe.endCount++
	exe.ended = append(exe.ended, []any{exe.endCount, cur.task, cur.number, how, ""})
	exe.judge.ended(exe, cur.task, how)
	close(exe.changed)
	exe.changed = make(chan struct{})
}

// specOf returns the run time and the CPU of a task. The spec of a job is "millis,cpu;millis,cpu", an element for each step.
func specOf(spec, task string) (millis, cpu int) {
	prs := strings.Split(task, ".")
	step, _ := strconv.Atoi(prs[2])
	els := strings.Split(spec, ";")
	if step >= len(els) {
		return 0, 0
	}
	_, _ = fmt.Sscanf(els[step], "%d,%d", &millis, &cpu)
	return millis, cpu
}
