package rgproof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgstandin"
)

// lateAnswerDelay is how long an upstream with the fault "late" waits before it runs a task.
const lateAnswerDelay = 600 * time.Millisecond

// upstream is a stand-in with faults that records the start and payload of each task.
type upstream struct {
	sys  *system
	name string
	url  string
	// fault is the name of the current fault, as in ServeHTTP, or empty.
	fault atomic.Value
	// runTime is in nanoseconds.
	runTime atomic.Int64
	running atomic.Int64
}

// ServeHTTP records the start and then runs the task with the current fault.
func (ups *upstream) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	ups.record(req, raw)
	ups.running.Add(1)
	defer ups.running.Add(-1)
	req.Body = io.NopCloser(bytes.NewReader(raw))
	standin := &rgstandin.Upstream{Name: ups.name, RunTime: map[string]time.Duration{"work": time.Duration(ups.runTime.Load())}}
	switch ups.fault.Load() {
	case "fail":
		rsp.WriteHeader(http.StatusInternalServerError)
	case "hang":
		<-req.Context().Done()
	case "truncate":
		rsp.Header().Set("Content-Length", "1000")
		_, _ = rsp.Write([]byte(`{"task":`))
		panic(http.ErrAbortHandler)
	case "delayed duplicates", "delayed duplicates without task headers":
		ups.sendDelayedDuplicates(rsp, req, raw, ups.fault.Load() == "delayed duplicates")
	case "duplicate":
		rec := httptest.NewRecorder()
		standin.ServeHTTP(rec, req)
		con, _, err := http.NewResponseController(rsp).Hijack()
		if err != nil {
			return
		}
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", rec.Body.Len(), rec.Body)
		_, _ = con.Write([]byte(one + one))
		_ = con.Close()
	case "late":
		time.Sleep(lateAnswerDelay)
		standin.ServeHTTP(rsp, req)
	default:
		standin.ServeHTTP(rsp, req)
	}
}

// record records the start of a task.
func (ups *upstream) record(req *http.Request, raw []byte) {
	var pay payload
	_ = json.Unmarshal(raw, &pay)
	idx, _ := strconv.Atoi(req.Header.Get("Task-Index"))
	ups.sys.mutex.Lock()
	defer ups.sys.mutex.Unlock()
	ups.sys.starts = append(ups.sys.starts, taskStart{
		id: rgmodel.SubmissionID(req.Header.Get("Submission-Id")), index: idx, body: pay.Body, upstream: ups.name, at: time.Now(),
	})
}

// sendDelayedDuplicates hijacks the connection and sends each answer again when the next request may be in flight on it. If
// withTaskHeaders is set, answers carry the headers that identify their task.
func (ups *upstream) sendDelayedDuplicates(rsp http.ResponseWriter, req *http.Request, raw []byte, withTaskHeaders bool) {
	con, buf, err := http.NewResponseController(rsp).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = con.Close() }()
	cw := &connWriter{to: con}
	for err == nil {
		var headers string
		if withTaskHeaders {
			headers = fmt.Sprintf("Submission-Id: %s\r\nTask-Index: %s\r\n", req.Header.Get("Submission-Id"), req.Header.Get("Task-Index"))
		}
		bod := fmt.Sprintf(`{"task":%s,"echo":%s}`, req.Header.Get("Task-Index"), raw)
		ans := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(bod), bod))
		time.Sleep(runTime)
		cw.write(ans)
		time.AfterFunc(runTime/2, func() { cw.write(ans) })
		if req, err = http.ReadRequest(buf.Reader); err == nil {
			raw, err = io.ReadAll(req.Body)
			ups.record(req, raw)
		}
	}
}

// setRunTime sets the mean run time of the tasks at all upstreams.
func (sys *system) setRunTime(dur time.Duration) {
	for _, ups := range sys.upstreams {
		ups.runTime.Store(int64(dur))
	}
}
