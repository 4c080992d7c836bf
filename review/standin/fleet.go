//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	step struct {
		Count        int    `json:"count"`
		CPU          int    `json:"cpu"`
		MemMB        int    `json:"mem_mb"`
		Estimate     int    `json:"estimate_ms"`
		After        []int  `json:"after,omitempty"`
		Requirements string `json:"requirements,omitempty"`
		AntiAffinity int    `json:"anti_affinity,omitempty"`
	}

	// process is a program of the project.
	process struct {
		name, role, host, settings string
		log                        *os.File
		mutex                      sync.Mutex
		cmd                        *exec.Cmd
		exited                     chan struct{}
		// restart is whether the platform starts the process again after its end.
		restart bool
	}

	// fleet is a small deployment: entries, sidecars with their executors, a store and an operator.
	fleet struct {
		judge    *judge
		store    *store
		dir      string
		binary   string
		base     string
		ports    map[string]int
		entries  []*process
		sidecars []*process
		exes     []*executor
		version  int
		routes   []map[string]any
		ended    chan struct{}
		seeds    []string
		// proxies are those between the sidecars and the entries, one for each entry.
		proxies []*proxy
	}
)

// descriptors is the limit of the descriptors of a process; zero means that of this one.
var descriptors int

// useProxies is whether the entries are reached through proxies by the sidecars.
var useProxies = os.Getenv("PROXIES") != ""

const (
	routeHost   = "review.example"
	routePrefix = "/jobs/"
)

func newFleet(jud *judge, dir, binary string, entries, sidecars int, cpu func(i int) int, labels func(i int) []string) (*fleet, error) {
	fle := &fleet{judge: jud, store: newStore(), dir: dir, binary: binary, ended: make(chan struct{})}
	if err := fle.choosePorts(); err != nil {
		return nil, err
	}
	for i := range min(entries, 3) {
		host := fle.entryHost(i)
		if useProxies {
			host = fle.proxyHost(i)
		}
		fle.seeds = append(fle.seeds, fle.addr(host, "peer"))
	}
	fle.routes = []map[string]any{fle.route("r-jobs", routePrefix)}
	fle.putConfig()
	for i := range entries {
		host := fle.entryHost(i)
		own := map[string]any{
			"callerAddress": fle.addr(host, "front"), "readyAddress": fle.addr(host, "ready"), "remoteFactor": 1.5, "cores": 0.4,
			"memoryMegabytes": 284,
		}
		if useProxies {
			prx, err := newProxy(fle.addr(fle.proxyHost(i), "peer"), fle.addr(host, "peer"))
			if err != nil {
				return nil, err
			}
			fle.proxies = append(fle.proxies, prx)
			own["advertisedAddress"] = fle.addr(fle.proxyHost(i), "peer")
		}
		pro, err := fle.newProcess("entry", fmt.Sprintf("edge-%d", i+1), host, own)
		if err != nil {
			return nil, err
		}
		fle.entries = append(fle.entries, pro)
	}
	for i := range sidecars {
		host := fle.sidecarHost(i)
		exe := newExecutor(jud, fmt.Sprintf("i-%d", i+1), fle.addr(host, "app"), "http://"+fle.addr(host, "control"), cpu(i), labels(i)...)
		fle.exes = append(fle.exes, exe)
		pro, err := fle.newProcess("sidecar", fmt.Sprintf("side-%d", i+1), host, map[string]any{
			"announceAddress": fle.addr(host, "control"), "executor": fle.addr(host, "app"), "memoryMegabytes": 152,
		})
		if err != nil {
			return nil, err
		}
		fle.sidecars = append(fle.sidecars, pro)
	}
	for _, pro := range append(append([]*process{}, fle.entries...), fle.sidecars...) {
		if err := pro.start(fle); err != nil {
			return nil, err
		}
	}
	for _, exe := range fle.exes {
		go exe.heartbeats(fle.ended)
	}
	return fle, fle.awaitReady(20 * time.Second)
}

func (fle *fleet) entryHost(i int) string   { return fmt.Sprintf("%s.%d", fle.base, 10+i) }
func (fle *fleet) proxyHost(i int) string   { return fmt.Sprintf("%s.%d", fle.base, 50+i) }
func (fle *fleet) sidecarHost(i int) string { return fmt.Sprintf("%s.%d", fle.base, 100+i) }

func (fle *fleet) addr(host, what string) string {
	return net.JoinHostPort(host, fmt.Sprint(fle.ports[what]))
}

// choosePorts chooses a loopback network, and ports that are free there.
func (fle *fleet) choosePorts() error {
	fle.base = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	fle.ports = map[string]int{}
	for _, what := range []string{"peer", "front", "ready", "control", "app", "store", "metrics"} {
		lis, err := net.Listen("tcp", fle.base+".10:0")
		if err != nil {
			return err
		}
		fle.ports[what] = lis.Addr().(*net.TCPAddr).Port
		defer func() { _ = lis.Close() }()
	}
	return nil
}

func (fle *fleet) route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "timeout_ms": 30000, "slo_ms": 100, "priority": 0, "backend": "desk",
		"max_attempts": 3, "slack_factor": 1.6,
	}
}

// putConfig writes the configuration as the operator does and returns its version. The write is the ack.
func (fle *fleet) putConfig() int {
	fle.version += 3
	raw, _ := json.Marshal(map[string]any{
		"version": fle.version, "routes": fle.routes, "limits": map[string]any{"max_body_bytes": 262144},
		"backends": []map[string]any{{"name": "desk", "enforces_capacity": false}},
	})
	fle.store.put("op/config", raw)
	fle.judge.note("operator: configuration %d is acknowledged", fle.version)
	return fle.version
}

// newProcess prepares a process with settings as the templates of the deploy file render them.
func (fle *fleet) newProcess(role, name, host string, own map[string]any) (*process, error) {
	if err := fle.store.serve(name, fle.addr(host, "store")); err != nil {
		return nil, err
	}
	set := map[string]any{
		"name": name, "availabilityZone": "z-a", "address": host, "peerPort": fle.ports["peer"], "seeds": fle.seeds,
		"store": fle.addr(host, "store"), "metricsAddress": fle.addr(host, "metrics"), "grace": "6s", "longestLease": "1000ms",
		"resend": "1300ms", "taskStop": "50ms",
	}
	for key, val := range own {
		set[key] = val
	}
	raw, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return nil, err
	}
	pro := &process{name: name, role: role, host: host, settings: filepath.Join(fle.dir, name+".json"), restart: true}
	if err := os.WriteFile(pro.settings, raw, 0o600); err != nil {
		return nil, err
	}
	pro.log, err = os.Create(filepath.Join(fle.dir, name+".log"))
	return pro, err
}

// start starts the process, and starts it again after each end while restart is set.
func (pro *process) start(fle *fleet) error {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	cmd := exec.Command(fle.binary, "platform", pro.role)
	if descriptors > 0 {
		cmd = exec.Command("bash", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" platform %s`, descriptors, pro.role), fle.binary)
	}
	cmd.Env = []string{"RAGWORTGAP_SETTINGS=" + pro.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = pro.log, pro.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	pro.cmd, pro.exited = cmd, exited
	fle.judge.note("%s starts", pro.name)
	go func() {
		err := cmd.Wait()
		close(exited)
		fle.judge.note("%s ends: %v", pro.name, err)
		time.Sleep(500 * time.Millisecond)
		pro.mutex.Lock()
		again := pro.restart && pro.cmd == cmd
		pro.mutex.Unlock()
		select {
		case <-fle.ended:
		default:
			if again {
				_ = pro.start(fle)
			}
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (pro *process) signal(fle *fleet, sig syscall.Signal) {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	fle.judge.note("%s gets %v", pro.name, sig)
	_ = pro.cmd.Process.Signal(sig)
}

// end ends all processes that the fleet has started.
func (fle *fleet) end() {
	close(fle.ended)
	for _, pro := range append(append([]*process{}, fle.entries...), fle.sidecars...) {
		pro.mutex.Lock()
		pro.restart = false
		if pro.cmd != nil {
			_ = pro.cmd.Process.Signal(syscall.SIGCONT)
			_ = pro.cmd.Process.Kill()
		}
		exited := pro.exited
		pro.mutex.Unlock()
		if exited != nil {
			<-exited
		}
	}
}

// awaitReady waits until all entries are ready and a job of each is done.
func (fle *fleet) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, ent := range fle.entries {
		for {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", ent.name)
			}
			rsp, err := http.Get("http://" + fle.addr(ent.host, "ready") + "/ready")
			if err == nil {
				_ = rsp.Body.Close()
				if rsp.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// All sidecars connect within a second of the start.
	time.Sleep(2 * time.Second)
	return nil
}

// outcome is what a caller gets for a request.
type outcome struct {
	// status is 0 if the connection ended without a complete answer.
	status int
	text   string
	sentAt time.Time
	cutAt  time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends a job to an address over a new connection and waits for the answer, or until the caller leaves after its wait.
func (fle *fleet) submit(adr, prefix, id, spec string, stps []step, wait time.Duration) outcome {
	raw, _ := json.Marshal(map[string]any{"spec": spec, "steps": stps, "best_effort": true})
	con, err := net.DialTimeout("tcp", adr, time.Second)
	if err != nil {
		fle.judge.note("no connection to %s for %s: %v", adr, id, err)
		return outcome{text: "no connection"}
	}
	defer func() { _ = con.Close() }()
	fle.judge.sent(id, spec, stps, adr)
	out := outcome{sentAt: time.Now()}
	_, err = fmt.Fprintf(con, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, routeHost, wait.Milliseconds(), len(raw), raw)
	if err == nil {
		_ = con.SetReadDeadline(time.Now().Add(wait))
		var rsp *http.Response
		if rsp, err = http.ReadResponse(bufio.NewReader(con), nil); err == nil {
			var body []byte
			if body, err = io.ReadAll(rsp.Body); err == nil {
				out.status, out.text = rsp.StatusCode, strings.TrimSpace(fmt.Sprint(rsp.StatusCode, " ", string(body)))
				fle.judge.answered(id, adr, out.text)
				return out
			}
		}
	}
	out.cutAt, out.text = time.Now(), fmt.Sprintf("no complete answer: %v", err)
	fle.judge.answered(id, adr, out.text)
	return out
}
