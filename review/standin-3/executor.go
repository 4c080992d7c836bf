//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold    = time.Second
	stopTime   = 20 * time.Millisecond
	heartbeat  = 1500 * time.Millisecond
	kindLabel  = "a"
	coresMilli = 32000
	memoryMB   = 131072
)

type (
	// executor is a worker that starts what it is told to start. A task works as long as its spec says ("ms=250").
	executor struct {
		id, address, control, service, zone, rack string
		rec                                       *record
		begin                                     time.Time
		born                                      int64

		mutex    sync.Mutex
		fence    uint64
		leaseEnd int64
		runs     map[string]*taskRun
		closed   map[string]uint64
		ended    []endedRun
		sequence uint64
		changed  chan struct{}
		history  []*taskRun
	}

	// taskRun is a run of a task, which is kept after its end.
	taskRun struct {
		executor       string
		task           string
		number         uint64
		started, ended time.Time
		how            string
		stopping       bool
	}

	endedRun struct {
		sequence uint64
		run      *taskRun
	}
)

func startExecutor(exe *executor) (*executor, error) {
	lis, err := net.Listen("tcp", exe.address)
	if err != nil {
		return nil, err
	}
	exe.begin, exe.born = time.Now().Add(-400*time.Second), time.Now().UnixMilli()
	exe.runs, exe.closed, exe.changed = map[string]*taskRun{}, map[string]uint64{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", exe.handleStart)
	mux.HandleFunc("POST /run-stop", exe.handleStop)
	mux.HandleFunc("POST /hold", exe.handleHold)
	go func() { _ = http.Serve(lis, mux) }()
	go exe.sendHeartbeats()
	go exe.checkLease()
	return exe, nil
}

func (exe *executor) clock() int64 { return time.Since(exe.begin).Milliseconds() }

func (exe *executor) sendHeartbeats() {
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"backend": exe.service, "address": exe.address, "zone": exe.zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
			"capacity": map[string]any{"cpu": coresMilli, "mem_mb": memoryMB, "gpu": 0}, "labels": []string{kindLabel, exe.rack},
			"clock_ms": exe.clock(), "seq": seq, "born": exe.born,
		})
		rsp, err := http.Post("http://"+exe.control+"/Executors.Heartbeat/"+exe.id, "application/json", bytes.NewReader(body))
		wait := heartbeat
		if err != nil {
			wait = 200 * time.Millisecond
		} else {
			_ = rsp.Body.Close()
		}
		time.Sleep(wait)
	}
}

// checkLease ends all runs when the lease has expired.
func (exe *executor) checkLease() {
	for range time.Tick(5 * time.Millisecond) {
		exe.mutex.Lock()
		if exe.clock() >= exe.leaseEnd {
			for _, run := range exe.runs {
				exe.end(run, "lapsed")
			}
		}
		exe.mutex.Unlock()
	}
}

func (exe *executor) extend(deadline int64) {
	if deadline > 0 {
		exe.leaseEnd = max(exe.leaseEnd, min(deadline, exe.clock()+maxHold.Milliseconds()))
	}
}

func (exe *executor) end(run *taskRun, how string) {
	if exe.runs[run.task] != run {
		return
	}
	delete(exe.runs, run.task)
	run.ended, run.how = time.Now(), how
	exe.closed[run.task] = max(exe.closed[run.task], run.number)
	exe.sequence++
	exe.ended = append(exe.ended, endedRun{sequence: exe.sequence, run: run})
	exe.rec.add(exe.id, "end %s run %d %s", run.task, run.number, how)
	close(exe.changed)
	exe.changed = make(chan struct{})
}

type orderBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// accept decodes an order and checks its lifetime and its fencing token.
func (exe *executor) accept(wtr http.ResponseWriter, req *http.Request) (orderBody, bool) {
	var ord orderBody
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return ord, false
	}
	if tgt := req.Header.Get("X-Target-Instance"); tgt != "" && tgt != exe.id {
		reply(wtr, http.StatusMisdirectedRequest, map[string]any{"clock_ms": exe.clock(), "born": exe.born})
		return ord, false
	}
	if ord.Fence < exe.fence {
		exe.refuse(wtr, "fence")
		return ord, false
	}
	exe.fence = ord.Fence
	return ord, true
}

func (exe *executor) refuse(wtr http.ResponseWriter, rsn string) {
	reply(wtr, http.StatusConflict, map[string]any{"clock_ms": exe.clock(), "born": exe.born, "reason": rsn})
}

func (exe *executor) handleStart(wtr http.ResponseWriter, req *http.Request) {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	ord, ok := exe.accept(wtr, req)
	if !ok {
		return
	}
	cur := exe.runs[ord.Task]
	switch {
	case cur != nil && cur.number == ord.Run:
	case ord.Run <= exe.closed[ord.Task], cur != nil:
		exe.extend(ord.Deadline)
		exe.refuse(wtr, "old")
		return
	case ord.Deadline <= exe.clock():
		exe.refuse(wtr, "late")
		return
	default:
		exe.extend(ord.Deadline)
		run := &taskRun{executor: exe.id, task: ord.Task, number: ord.Run, started: time.Now()}
		exe.runs[ord.Task] = run
		exe.history = append(exe.history, run)
		exe.rec.add(exe.id, "start %s run %d", ord.Task, ord.Run)
		time.AfterFunc(workOf(ord.Spec), func() {
			exe.mutex.Lock()
			defer exe.mutex.Unlock()
			if !run.stopping {
				exe.end(run, "done")
			}
		})
	}
	reply(wtr, http.StatusOK, map[string]any{"clock_ms": exe.clock(), "born": exe.born})
}

// workOf returns the duration that a spec names.
func workOf(spec string) time.Duration {
	_, txt, _ := strings.Cut(spec, "ms=")
	num, _, _ := strings.Cut(txt, " ")
	ms, _ := strconv.Atoi(num)
	return time.Duration(ms) * time.Millisecond
}

func (exe *executor) handleStop(wtr http.ResponseWriter, req *http.Request) {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	ord, ok := exe.accept(wtr, req)
	if !ok {
		return
	}
	exe.closed[ord.Task] = max(exe.closed[ord.Task], ord.Run)
	if run := exe.runs[ord.Task]; run != nil && run.number <= ord.Run && !run.stopping {
		run.stopping = true
		exe.rec.add(exe.id, "stop %s run %d", run.task, run.number)
		time.AfterFunc(stopTime, func() {
			exe.mutex.Lock()
			defer exe.mutex.Unlock()
			exe.end(run, "stopped")
		})
	}
	reply(wtr, http.StatusOK, map[string]any{"clock_ms": exe.clock(), "born": exe.born})
}

func (exe *executor) handleHold(wtr http.ResponseWriter, req *http.Request) {
	exe.mutex.Lock()
	ord, ok := exe.accept(wtr, req)
	if !ok {
		exe.mutex.Unlock()
		return
	}
	exe.extend(ord.Deadline)
	for len(exe.ended) > 0 && exe.ended[0].sequence <= ord.LastSeen {
		exe.ended = exe.ended[1:]
	}
	if changed := exe.changed; len(exe.ended) == 0 && ord.WaitMS > 0 {
		exe.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(ord.WaitMS) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		exe.mutex.Lock()
	}
	defer exe.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range exe.runs {
		running = append(running, []any{run.task, run.number, "", 50, 100})
	}
	for _, end := range exe.ended {
		ended = append(ended, []any{end.sequence, end.run.task, end.run.number, end.run.how, ""})
	}
	reply(wtr, http.StatusOK, map[string]any{"clock_ms": exe.clock(), "born": exe.born, "running_count": running, "ended": ended})
}

// runsOf returns the runs of a job, oldest first.
func (exe *executor) runsOf(job string) []taskRun {
	exe.mutex.Lock()
	defer exe.mutex.Unlock()
	var res []taskRun
	for _, run := range exe.history {
		if strings.HasPrefix(run.task, job+".") {
			res = append(res, *run)
		}
	}
	return res
}

// endedBy returns the end of the run, or now if it goes on.
func (run taskRun) endedBy() time.Time {
	if run.ended.IsZero() {
		return time.Now()
	}
	return run.ended
}

func (run taskRun) String() string {
	return fmt.Sprintf("%s run %d on %s", run.task, run.number, run.executor)
}
