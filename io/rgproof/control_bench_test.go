package rgproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
	"ragwortgap/io/rgstandin"
)

const (
	// measureTime is the length of a measurement, which starts after warmupTime.
	measureTime = 10 * time.Second
	warmupTime  = 6 * time.Second
	// clockTick is the unit of CPU time in /proc, which is 10 ms on Linux.
	clockTick = 10 * time.Millisecond
	// benchCallers is the number of callers, each of which submits jobs of benchTasks tasks one after the other.
	benchCallers = 32
	benchTasks   = 36
)

// benchClient keeps an idle connection for each caller.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}

// processUsage holds the kernel's resource counters of a process. ioBytes and memory are in bytes.
type processUsage struct {
	cpuTime time.Duration
	ioBytes int64
	memory  int64
}

// BenchmarkControlEntry measures what an idle entry process uses for connected sidecars, which run in the test process.
func BenchmarkControlEntry(b *testing.B) {
	for _, peers := range []int{10, 50, 200} {
		b.Run(strconv.Itoa(peers), func(b *testing.B) {
			ben := newBench(b)
			entry := ben.startEntry()
			for num := range peers {
				ben.startInProcessSidecar(num, []string{ben.peerAddress}, "http://127.0.0.1:1")
			}
			ben.measureIdle(entry)
		})
	}
}

// BenchmarkControlSidecar measures what an idle sidecar process uses for connected entries, which run in the test process.
func BenchmarkControlSidecar(b *testing.B) {
	for _, peers := range []int{1, 10, 40} {
		b.Run(strconv.Itoa(peers), func(b *testing.B) {
			ben := newBench(b)
			var adrs []string
			for num := range peers {
				adrs = append(adrs, ben.startInProcessEntry(num))
			}
			ben.measureIdle(ben.startSidecar(adrs, "http://127.0.0.1:1"))
		})
	}
}

// BenchmarkLoad measures what one entry and one sidecar process use per task, with an upstream that answers immediately.
func BenchmarkLoad(b *testing.B) {
	ben := newBench(b)
	ups := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		rsp.Header().Set("Submission-Id", req.Header.Get("Submission-Id"))
		rsp.Header().Set("Task-Index", req.Header.Get("Task-Index"))
		_, _ = rsp.Write([]byte(`{"done":true}`))
	}))
	b.Cleanup(ups.Close)
	entry := ben.startEntry()
	sidecar := ben.startSidecar([]string{ben.peerAddress}, ups.URL)
	<-time.After(warmupTime)
	var tasks atomic.Int64
	ctx, stop := context.WithTimeout(context.Background(), measureTime)
	defer stop()
	fromEntry, fromSidecar := readUsage(b, entry), readUsage(b, sidecar)
	var callers conc.WaitGroup
	for range benchCallers {
		callers.Go(func() { ben.submitJobs(ctx, &tasks) })
	}
	callers.Wait()
	toEntry, toSidecar := readUsage(b, entry), readUsage(b, sidecar)
	cnt := float64(tasks.Load())
	b.ReportMetric(cnt/measureTime.Seconds(), "tasks/s")
	for name, use := range map[string][2]processUsage{"entry": {fromEntry, toEntry}, "sidecar": {fromSidecar, toSidecar}} {
		b.ReportMetric(float64((use[1].cpuTime-use[0].cpuTime).Microseconds())/cnt, name+"UsPerTask")
		b.ReportMetric(float64(use[1].ioBytes-use[0].ioBytes)/cnt, name+"BytesPerTask")
		b.ReportMetric(float64(use[1].memory-use[0].memory)/cnt, name+"MemoryPerTask")
	}
}

// bench holds the store and the addresses of the measured processes. The addresses are those of the entry process.
type bench struct {
	b             *testing.B
	ctx           context.Context
	storeURL      string
	peerAddress   string
	callerAddress string
}

func newBench(b *testing.B) *bench {
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	sto := httptest.NewServer(&rgstandin.Store{})
	b.Cleanup(sto.CloseClientConnections)
	return &bench{b: b, ctx: ctx, storeURL: sto.URL, peerAddress: freeEphemeralAddress(b), callerAddress: freeEphemeralAddress(b)}
}

// freeEphemeralAddress returns an address with a port that the operating system has chosen.
func freeEphemeralAddress(b *testing.B) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func (ben *bench) startEntry() *os.Process {
	return ben.spawn("entry", rgsettings.Entry{
		Name: "entry", AvailabilityZone: "zone0", CallerAddress: ben.callerAddress, PeerAddress: ben.peerAddress, Store: ben.storeURL,
	})
}

func (ben *bench) startSidecar(entries []string, upstream string) *os.Process {
	return ben.spawn("sidecar", sidecarSettings("sidecar", entries, upstream))
}

func sidecarSettings(name string, entries []string, upstream string) rgsettings.Sidecar {
	return rgsettings.Sidecar{
		Name: name, AvailabilityZone: "zone0", Entries: entries, Upstream: upstream, Slots: 8, Connections: 60,
	}
}

func (ben *bench) spawn(role string, settings any) *os.Process {
	raw, err := json.Marshal(settings)
	if err != nil {
		ben.b.Fatal(err)
	}
	path := filepath.Join(ben.b.TempDir(), role+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		ben.b.Fatal(err)
	}
	cmd := exec.Command(binaryPath, role, path)
	if err := cmd.Start(); err != nil {
		ben.b.Fatal(err)
	}
	ben.b.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	})
	return cmd.Process
}

// startInProcessSidecar starts a sidecar in the test process.
func (ben *bench) startInProcessSidecar(num int, entries []string, upstream string) {
	set := sidecarSettings(fmt.Sprintf("sidecar%d", num), entries, upstream)
	if err := rgsettings.CheckSidecar(&set); err != nil {
		ben.b.Fatal(err)
	}
	if _, err := rgsidecar.Start(ben.ctx, set, zap.NewNop(), tally.NoopScope); err != nil {
		ben.b.Fatal(err)
	}
}

// startInProcessEntry starts an entry in the test process and returns its peer address.
func (ben *bench) startInProcessEntry(num int) string {
	set := rgsettings.Entry{
		Name: fmt.Sprintf("entry%d", num), AvailabilityZone: "zone0", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Store: ben.storeURL,
	}
	if err := rgsettings.CheckEntry(&set); err != nil {
		ben.b.Fatal(err)
	}
	pro, err := rgentry.Start(ben.ctx, set, zap.NewNop(), tally.NoopScope)
	if err != nil {
		ben.b.Fatal(err)
	}
	return pro.Self().Address
}

// measureIdle reports the CPU time and I/O of an idle process per second, and its memory.
func (ben *bench) measureIdle(prc *os.Process) {
	<-time.After(warmupTime)
	from := readUsage(ben.b, prc)
	<-time.After(measureTime)
	to := readUsage(ben.b, prc)
	ben.b.ReportMetric(float64((to.cpuTime-from.cpuTime).Microseconds())/measureTime.Seconds(), "cpuUs/s")
	ben.b.ReportMetric(float64(to.ioBytes-from.ioBytes)/measureTime.Seconds(), "bytes/s")
	ben.b.ReportMetric(float64(to.memory)/(1<<20), "MB")
}

// submitJobs submits jobs one after the other until ctx ends and counts the tasks of those with status 200.
func (ben *bench) submitJobs(ctx context.Context, tasks *atomic.Int64) {
	body := `{"team":"t","kind":"k","deadline":"20s","tasks":[1` + strings.Repeat(",1", benchTasks-1) + `]}`
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ben.callerAddress+"/v1/jobs", bytes.NewBufferString(body))
		if err != nil {
			ben.b.Error(err)
			return
		}
		rsp, err := benchClient.Do(req)
		if err != nil {
			continue
		}
		_ = rsp.Body.Close()
		if rsp.StatusCode == http.StatusOK {
			tasks.Add(benchTasks)
		}
	}
}

// readUsage reads the counters of a process from /proc. ioBytes counts all reads and writes; the processes use sockets only.
func readUsage(b *testing.B, prc *os.Process) processUsage {
	dir := fmt.Sprintf("/proc/%d/", prc.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		b.Fatal(err)
	}
	// The fields after the name of the program, which ends with a parenthesis: 11 and 12 are user and system time.
	flds := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	return processUsage{
		cpuTime: time.Duration(parseInt(flds[11])+parseInt(flds[12])) * clockTick,
		ioBytes: procField(b, dir+"io", "rchar:") + procField(b, dir+"io", "wchar:"),
		memory:  procField(b, dir+"status", "VmRSS:") << 10,
	}
}

// procField returns the number in the line of a /proc file that starts with the name.
func procField(b *testing.B, path, name string) int64 {
	raw, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return parseInt(strings.Fields(rest)[0])
		}
	}
	b.Fatalf("no %s in %s", name, path)
	return 0
}

func parseInt(txt string) int64 {
	num, _ := strconv.ParseInt(txt, 10, 64)
	return num
}
