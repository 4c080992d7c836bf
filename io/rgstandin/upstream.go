// Package rgstandin provides in-process stand-ins for the store, the certificate authority and upstreams. They are used by
// the demo and by tests.
package rgstandin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
)

type (
	// TaskStart records that an upstream started a task.
	TaskStart struct {
		ID       rgmodel.SubmissionID
		Index    string
		Upstream string
		At       time.Time
	}

	// StartLog records the task starts of all upstreams. The zero value is empty.
	StartLog struct {
		mutex  sync.Mutex
		starts []TaskStart
	}

	// Upstream is a stand-in for an upstream. Its tasks wait for their run time and echo their payload. If Log is nil, starts
	// are not recorded.
	Upstream struct {
		Name string
		// RunTime is the mean run time of each kind.
		RunTime map[string]time.Duration
		// RunTimeFactor multiplies all run times. Zero means 1.
		RunTimeFactor float64
		// FailEvery makes every n-th task fail. Zero means that no task fails.
		FailEvery int
		Log       *StartLog

		mutex   sync.Mutex
		started int
	}
)

const (
	defaultRunTime = 100 * time.Millisecond
	// maxDeviation is the largest deviation of a run time from the mean, as a fraction of the mean.
	maxDeviation = 0.5
)

// Add records a start. A nil log records nothing.
func (sl *StartLog) Add(ts TaskStart) {
	if sl == nil {
		return
	}
	sl.mutex.Lock()
	defer sl.mutex.Unlock()
	sl.starts = append(sl.starts, ts)
}

// All returns a copy of the recorded starts.
func (sl *StartLog) All() []TaskStart {
	sl.mutex.Lock()
	defer sl.mutex.Unlock()
	return append([]TaskStart(nil), sl.starts...)
}

// ServeHTTP runs one task: POST /tasks/{kind}.
func (ups *Upstream) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	kind := req.URL.Path[len("/tasks/"):]
	id, idx := req.Header.Get("Submission-Id"), req.Header.Get("Task-Index")
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	ups.Log.Add(TaskStart{ID: rgmodel.SubmissionID(id), Index: idx, Upstream: ups.Name, At: time.Now()})
	fail := ups.countStart()
	if !rgclock.Sleep(req.Context(), ups.randomRunTime(kind)) {
		return
	}
	rsp.Header().Set("Submission-Id", id)
	rsp.Header().Set("Task-Index", idx)
	rsp.Header().Set("Content-Type", "application/json")
	if fail {
		rsp.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(body) == 0 {
		body = []byte("null")
	}
	_, _ = fmt.Fprintf(rsp, `{"upstream":%q,"task":%s,"echo":%s}`, ups.Name, idx, body)
}

// MeanRunTime returns the mean run time of a kind.
func (ups *Upstream) MeanRunTime(kind string) time.Duration {
	base, ok := ups.RunTime[kind]
	if !ok {
		base = defaultRunTime
	}
	if ups.RunTimeFactor > 0 {
		return time.Duration(float64(base) * ups.RunTimeFactor)
	}
	return base
}

// randomRunTime returns a run time that deviates from the mean by maxDeviation at most.
func (ups *Upstream) randomRunTime(kind string) time.Duration {
	return time.Duration(float64(ups.MeanRunTime(kind)) * (1 - maxDeviation + 2*maxDeviation*rand.Float64()))
}

// countStart counts a started task and reports whether it must fail.
func (ups *Upstream) countStart() bool {
	ups.mutex.Lock()
	defer ups.mutex.Unlock()
	ups.started++
	return ups.FailEvery > 0 && ups.started%ups.FailEvery == 0
}
