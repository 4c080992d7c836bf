package rgproof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/google/uuid"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgqueryapi"
	"ragwortgap/io/rgstandin"
)

const (
	// readyTimeout is generous, because other work may share the machine.
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// runTime is the mean run time of tasks unless a test sets another.
	runTime = 40 * time.Millisecond
	// lateAnswerDelay is how long an upstream with the fault "late" waits before it runs a task.
	lateAnswerDelay = 600 * time.Millisecond
	// slots is the number of slots of each sidecar.
	slots = 4
	// firstPort and portCount define the range of ports that processes listen on.
	firstPort = 20000
	portCount = 10000
)

type (
	// process is a process of the system, started by the test.
	process struct {
		cmd *exec.Cmd
		// done is closed when the process has exited.
		done chan struct{}
		// log is the path of its log file.
		log string
	}

	// upstream is a stand-in with faults that records the start and payload of each task.
	upstream struct {
		sys  *system
		name string
		url  string
		// fault is the name of the current fault, as in ServeHTTP, or empty.
		fault atomic.Value
		// runTime is in nanoseconds.
		runTime atomic.Int64
		running atomic.Int64
	}

	// system holds the processes and stand-ins of a test, and the recorded history.
	system struct {
		t               *testing.T
		random          *rand.Rand
		dir             string
		store           *rgstandin.Store
		storeURL        string
		upstreams       []*upstream
		entries         []*process
		sidecars        []*process
		callerAddresses []string
		// storeBlocked rejects the store requests of an entry, and watchBlocked holds its reads and watches.
		storeBlocked []*atomic.Bool
		watchBlocked []*atomic.Bool
		proxies      []*proxy
		client       *http.Client

		mutex    sync.Mutex
		attempts []attempt
		starts   []taskStart
		// recentIDs holds the ids that the load has submitted since the last round of cancellations.
		recentIDs []rgmodel.SubmissionID
	}
)

var (
	binaryPath string
	// nextPort starts at a different port in each test process.
	nextPort atomic.Int64
	// systemSemaphore limits the number of systems that run at the same time.
	systemSemaphore = make(chan struct{}, 5)
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	nextPort.Store(int64(os.Getpid()) * 101)
	dir, err := os.MkdirTemp("", "rgproof")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryPath = filepath.Join(dir, "ragwortgap")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "ragwortgap").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("go build: %v: %s", err, out))
	}
	return m.Run()
}

// newSystem starts the processes and waits until each entry has completed a job.
func newSystem(t *testing.T, seed uint64, entries, sidecars int) *system {
	systemSemaphore <- struct{}{}
	t.Cleanup(func() { <-systemSemaphore })
	sys := &system{t: t, random: rand.New(rand.NewPCG(seed, 1)), dir: t.TempDir(), store: &rgstandin.Store{}}
	// A new connection for each request distinguishes a closed listener from a request that was aborted.
	sys.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	sys.storeURL = sys.serve(sys.store)
	for range entries {
		sys.addEntry()
	}
	for range sidecars {
		sys.addSidecar()
	}
	t.Cleanup(sys.close)
	for num := range entries {
		sys.waitUntil("entry in the ring with all sidecars", readyTimeout, func() bool { return sys.hasMembers(num, entries, sidecars) })
	}
	// A sidecar accepts work once it is connected to all entries of the ring, and an entry that has proceeded without the
	// others accepts only ids created more than 2 s after that.
	for num := range entries {
		sys.waitUntil("completion of the first job", readyTimeout, func() bool {
			return sys.submit(num, sys.newIDHomedAt(num), "warmup", 4*sidecars).answer.Status == "complete"
		})
	}
	return sys
}

// serve starts an HTTP server and returns its URL.
func (sys *system) serve(hdl http.Handler) string {
	srv := httptest.NewServer(hdl)
	sys.t.Cleanup(srv.CloseClientConnections)
	return srv.URL
}

// addEntry starts another entry behind a proxy, with the earlier entries as its peers.
func (sys *system) addEntry() {
	num := len(sys.entries)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		sys.t.Fatal(err)
	}
	prx := &proxy{listener: lis, target: freeAddress(sys.t), conns: map[net.Conn]bool{}}
	go prx.serve()
	var peers []string
	for _, oth := range sys.proxies {
		peers = append(peers, oth.listener.Addr().String())
	}
	sys.mutex.Lock()
	sys.proxies = append(sys.proxies, prx)
	sys.callerAddresses = append(sys.callerAddresses, freeAddress(sys.t))
	sys.entries = append(sys.entries, nil)
	sys.storeBlocked = append(sys.storeBlocked, &atomic.Bool{})
	sys.watchBlocked = append(sys.watchBlocked, &atomic.Bool{})
	sys.mutex.Unlock()
	sys.startEntry(num, peers)
}

// storeHandler serves the store to one entry, subject to storeBlocked and watchBlocked.
func (sys *system) storeHandler(num int) http.Handler {
	blocked, watchBlocked := sys.storeBlocked[num], sys.watchBlocked[num]
	return http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		switch {
		case blocked.Load():
			rsp.WriteHeader(http.StatusServiceUnavailable)
		case watchBlocked.Load() && req.Method == http.MethodGet:
			<-req.Context().Done()
		default:
			sys.store.ServeHTTP(rsp, req)
		}
	})
}

// url returns the URL of a caller route of an entry.
func (sys *system) url(entry int, route string) string {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return "http://" + sys.callerAddresses[entry] + route
}

// liveEntries counts the entries that have not ended.
func (sys *system) liveEntries() int {
	live := 0
	for _, prc := range sys.entries {
		select {
		case <-prc.done:
		default:
			live++
		}
	}
	return live
}

func (sys *system) startEntry(num int, peers []string) {
	sys.entries[num] = sys.spawn("entry", fmt.Sprintf("entry%d", num), map[string]any{
		"name": fmt.Sprintf("entry%d", num), "availabilityZone": "zone0", "callerAddress": sys.callerAddresses[num],
		"peerAddress": sys.proxies[num].target, "advertisedAddress": sys.proxies[num].listener.Addr().String(),
		"store": sys.serve(sys.storeHandler(num)), "peers": peers,
	})
}

// addSidecar starts another sidecar with an upstream of its own.
func (sys *system) addSidecar() {
	num := len(sys.sidecars)
	ups := &upstream{sys: sys, name: fmt.Sprintf("upstream%d", num)}
	ups.fault.Store("")
	ups.runTime.Store(int64(runTime))
	sys.upstreams = append(sys.upstreams, ups)
	sys.sidecars = append(sys.sidecars, nil)
	ups.url = sys.serve(ups)
	sys.startSidecar(num, ups.url)
}

func (sys *system) startSidecar(num int, url string) {
	var peers []string
	for _, prx := range sys.proxies {
		peers = append(peers, prx.listener.Addr().String())
	}
	name := fmt.Sprintf("sidecar%d", num)
	sys.sidecars[num] = sys.spawn("sidecar", name, map[string]any{
		"name": name, "availabilityZone": "zone0", "entries": peers, "upstream": url, "slots": slots, "connections": 2 * slots,
		"resources": rgmodel.Resources{Cores: 30, MemoryBytes: 130 << 30},
	})
}

// spawn starts a process of the role with a settings file.
func (sys *system) spawn(role, name string, settings any) *process {
	raw, err := json.Marshal(settings)
	if err != nil {
		sys.t.Fatal(err)
	}
	path := filepath.Join(sys.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		sys.t.Fatal(err)
	}
	prc := &process{cmd: exec.Command(binaryPath, role, path), done: make(chan struct{}), log: path + ".log"}
	out, err := os.OpenFile(prc.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		sys.t.Fatal(err)
	}
	prc.cmd.Stderr = out
	prc.cmd.SysProcAttr = childAttributes()
	if err := prc.cmd.Start(); err != nil {
		sys.t.Fatal(err)
	}
	go func() { _ = prc.cmd.Wait(); _ = out.Close(); close(prc.done) }()
	return prc
}

// signal sends a signal to the process, unless it has ended.
func (prc *process) signal(sig syscall.Signal) {
	select {
	case <-prc.done:
	default:
		_ = prc.cmd.Process.Signal(sig)
	}
}

func (sys *system) close() {
	for _, prc := range append(append([]*process(nil), sys.entries...), sys.sidecars...) {
		prc.signal(syscall.SIGKILL)
		<-prc.done
	}
	for _, prx := range sys.proxies {
		_ = prx.listener.Close()
		prx.closeAll()
	}
}

// waitUntil polls a condition and fails the test if it is not met within the timeout.
func (sys *system) waitUntil(what string, timeout time.Duration, cond func() bool) {
	sys.t.Helper()
	for end := time.Now().Add(timeout); !cond(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			sys.t.Fatalf("%s: not within %s\n%s", what, timeout, sys.logs())
		}
	}
}

// logs returns the logs of all processes.
func (sys *system) logs() string {
	var txt bytes.Buffer
	for _, prc := range append(append([]*process(nil), sys.entries...), sys.sidecars...) {
		raw, _ := os.ReadFile(prc.log)
		fmt.Fprintf(&txt, "%s:\n%s", filepath.Base(prc.log), raw)
	}
	return txt.String()
}

// status requests the status of an entry. It returns false if there is no valid response within a second.
func (sys *system) status(num int) (rgqueryapi.Status, bool) {
	var sta rgqueryapi.Status
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, sys.url(num, "/v1/status"), nil)
	rsp, err := sys.client.Do(req)
	if err != nil {
		return sta, false
	}
	defer func() { _ = rsp.Body.Close() }()
	return sta, json.NewDecoder(rsp.Body).Decode(&sta) == nil
}

// isDraining reports whether the status of the entry says that it is draining. It returns false if there is no response.
func (sys *system) isDraining(num int) bool {
	sta, ok := sys.status(num)
	return ok && sta.Draining
}

// hasMembers reports whether the status of the entry shows the numbers of entries in the ring and of sidecars.
func (sys *system) hasMembers(num, entries, sidecars int) bool {
	sta, ok := sys.status(num)
	return ok && len(sta.Ring.Entries) == entries && len(sta.Sidecars) == sidecars
}

// newID returns a submission id created at the time given.
func newID(at time.Time) rgmodel.SubmissionID {
	uid := uuid.Must(uuid.NewV7())
	for i := range 6 {
		uid[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	return rgmodel.SubmissionID(uid.String())
}

// submit submits a job with a deadline of 5 s and records the attempt.
func (sys *system) submit(entry int, id rgmodel.SubmissionID, body string, tasks int) attempt {
	return sys.submitWithin(entry, id, body, tasks, 5*time.Second)
}

// submitWithin submits a job with the given deadline and records the attempt.
func (sys *system) submitWithin(entry int, id rgmodel.SubmissionID, body string, tasks int, deadline time.Duration) attempt {
	req := rgapi.JobRequest{SubmissionID: string(id), Team: "team", Kind: "work", Deadline: rgmodel.Duration{Duration: deadline}}
	req.Tasks = taskValues(body, tasks)
	return sys.send(entry, id, body, req)
}

// taskValues returns the payloads of tasks of a job with the given body.
func taskValues(body string, tasks int) []jsontext.Value {
	vals := make([]jsontext.Value, tasks)
	for i := range vals {
		vals[i], _ = json.Marshal(payload{Body: body, Index: i})
	}
	return vals
}

// isRefused reports whether the connection was refused, so the request was never accepted.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// send sends a job request to an entry and records the attempt.
func (sys *system) send(entry int, id rgmodel.SubmissionID, body string, job rgapi.JobRequest) attempt {
	att := attempt{id: id, body: body, tasks: len(job.Tasks), entry: entry, began: time.Now()}
	raw, _ := json.Marshal(job)
	ctx, stop := context.WithTimeout(context.Background(), job.Deadline.Duration+5*time.Second)
	defer stop()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, sys.url(entry, "/v1/jobs"), bytes.NewReader(raw))
	rsp, err := sys.client.Do(req)
	if err == nil {
		var bod []byte
		bod, err = io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		att.status = rsp.StatusCode
		if err == nil {
			err = json.Unmarshal(bod, &att.answer)
		}
	}
	att.err, att.ended = err, time.Now()
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.attempts = append(sys.attempts, att)
	return att
}

// checkHistory fails the test if the history violates invariants 1 to 5, and logs the numbers of attempts and starts.
func (sys *system) checkHistory() {
	sys.t.Helper()
	sys.mutex.Lock()
	found := findViolations(sys.attempts, sys.starts)
	byStatus := map[string]int{}
	for _, att := range sys.attempts {
		byStatus[strconv.Itoa(att.status)]++
	}
	sys.t.Logf("%d attempts by status %v, %d starts", len(sys.attempts), byStatus, len(sys.starts))
	sys.mutex.Unlock()
	for _, txt := range found[:min(len(found), 5)] {
		sys.t.Error(txt)
	}
	if len(found) > 0 {
		sys.t.Errorf("%d violations\n%s", len(found), sys.logs())
	}
}

func (sys *system) countAttempts() int {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return len(sys.attempts)
}

// startCount returns the number of task starts of a submission.
func (sys *system) startCount(id rgmodel.SubmissionID) int {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sum := 0
	for _, stt := range sys.starts {
		if stt.id == id {
			sum++
		}
	}
	return sum
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

// freeAddress returns an address with a port below the ephemeral range of the operating system, so the port stays free
// until a process listens on it.
func freeAddress(t *testing.T) string {
	for range portCount {
		adr := fmt.Sprintf("127.0.0.1:%d", firstPort+int(nextPort.Add(1))%portCount)
		if lis, err := net.Listen("tcp", adr); err == nil {
			_ = lis.Close()
			return adr
		}
	}
	t.Fatal("no free port")
	return ""
}
