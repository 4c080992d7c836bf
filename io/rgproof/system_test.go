package rgproof

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgstandin"
)

const (
	// readyTimeout is generous, because other work may share the machine.
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// runTime is the mean run time of tasks unless a test sets another.
	runTime = 40 * time.Millisecond
	// slots is the number of slots of each sidecar.
	slots = 4
)

// system holds the processes and stand-ins of a test, and the recorded history.
type system struct {
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

// systemSemaphore limits the number of systems that run at the same time.
var systemSemaphore = make(chan struct{}, 5)

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

// oneIn returns true with a probability of one in every, drawn from the system's random source.
func (sys *system) oneIn(every int) bool {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return sys.random.IntN(every) == 0
}
