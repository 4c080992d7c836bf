package rgstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
)

type (
	// Executor is a stand-in for an executor of the platform: it starts, stops and lists runs. Ended has to be called to
	// end a run. The zero value has no clock yet and is born at 0.
	Executor struct {
		mu      sync.Mutex
		clock   int64
		born    int64
		fence   uint64
		runs    map[string]uint64
		highest map[string]uint64
		ended   [][]any
		// faults holds what happens to the next calls, in order.
		faults []Fault
		starts int
	}

	// Fault is what goes wrong with a call.
	Fault interface{ isFault() }

	// AnswerLost means that the call is carried out and the connection ends without an answer.
	AnswerLost struct{}

	// AnswerGarbled means that the call is carried out and the answer is no JSON.
	AnswerGarbled struct{}

	// RowsGarbled means that a list has rows of wrong types beside the good ones.
	RowsGarbled struct{}

	// Status means that nothing is done and the answer has this status.
	Status struct{ Code int }

	orderCall struct {
		Task     string `json:"task"`
		Run      uint64 `json:"run"`
		Fence    uint64 `json:"fence_token"`
		Deadline int64  `json:"deadline_ms"`
		LastSeen uint64 `json:"last_seen"`
	}
)

func (AnswerLost) isFault()    {}
func (AnswerGarbled) isFault() {}
func (RowsGarbled) isFault()   {}
func (Status) isFault()        {}

// NewExecutor returns an executor at the given time of its clock.
func NewExecutor(clock, born int64) *Executor {
	return &Executor{clock: clock, born: born, runs: map[string]uint64{}, highest: map[string]uint64{}}
}

// Serve starts a server on a loopback address.
func (exe *Executor) Serve() *httptest.Server { return httptest.NewServer(exe) }

// Fail lets the next calls go wrong, one after the other.
func (exe *Executor) Fail(fls ...Fault) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.faults = append(exe.faults, fls...)
}

// End ends a run.
func (exe *Executor) End(task, how string) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.end(task, how)
}

// Starts returns how many runs were started.
func (exe *Executor) Starts() int {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	return exe.starts
}

func (exe *Executor) end(task, how string) {
	run, found := exe.runs[task]
	if !found {
		return
	}
	delete(exe.runs, task)
	exe.ended = append(exe.ended, []any{len(exe.ended) + 1, task, run, how, ""})
}

// ServeHTTP answers an order.
func (exe *Executor) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	var fault Fault
	if len(exe.faults) > 0 {
		fault, exe.faults = exe.faults[0], exe.faults[1:]
	}
	if sta, ok := fault.(Status); ok {
		wtr.WriteHeader(sta.Code)
		return
	}
	var call orderCall
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := exe.carryOut(req.URL.Path, call)
	switch fault.(type) {
	case AnswerLost:
		panic(http.ErrAbortHandler)
	case AnswerGarbled:
		_, _ = fmt.Fprint(wtr, "{garbled")
		return
	case RowsGarbled:
		body["running_count"] = append(body["running_count"].([]any), []any{7, "x"}, "row", []any{"no name", 1})
	}
	wtr.Header().Set("Content-Type", "application/json")
	wtr.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(wtr).Encode(body)
}

func (exe *Executor) carryOut(path string, call orderCall) (int, map[string]any) {
	body := map[string]any{"clock_ms": exe.clock, "born": exe.born}
	if call.Fence < exe.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	exe.fence = call.Fence
	switch path {
	case "/run-start":
		return exe.start(call, body)
	case "/run-stop":
		exe.highest[call.Task] = max(exe.highest[call.Task], call.Run)
		exe.end(call.Task, "stopped")
	case "/hold":
		rows := []any{}
		for tsk, run := range exe.runs {
			rows = append(rows, []any{tsk, run, "", 100})
		}
		body["running_count"] = rows
		body["ended"] = exe.ended[min(int(call.LastSeen), len(exe.ended)):]
	}
	return http.StatusOK, body
}

func (exe *Executor) start(call orderCall, body map[string]any) (int, map[string]any) {
	switch {
	case call.Deadline < exe.clock:
		body["reason"] = "late"
		return http.StatusConflict, body
	case exe.runs[call.Task] == call.Run:
		return http.StatusOK, body
	case call.Run <= exe.highest[call.Task]:
		body["reason"] = "old"
		return http.StatusConflict, body
	}
	exe.highest[call.Task] = call.Run
	exe.runs[call.Task] = call.Run
	exe.starts++
	return http.StatusOK, body
}
