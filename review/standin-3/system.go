//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program  = "target/ragwortgap"
	service  = "huvo11a"
	hostName = "nony24.example"
	prefix   = "/lohu930/"
)

var zones = []string{"tr-west-a", "tr-west-b", "tr-west-c"}

type (
	// node is a machine of the system with its process.
	node struct {
		name, zone, ip string
		front, ready   string
		control, app   string
		settings       string
		process        *exec.Cmd
		exited         chan struct{}
		misses         int
		inRotation     bool
	}

	// system is a small deployment: one entry in each zone, and sidecars with executors.
	system struct {
		rec       *record
		dir       string
		net       string
		store     *store
		entries   []*node
		sidecars  []*node
		executors []*executor
		mutex     sync.Mutex
	}
)

// freePort returns a port that is free on loopback addresses.
func freePort() (int, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().(*net.TCPAddr).Port, nil
}

// start starts the system with a number of sidecars and waits until every entry is ready.
func (sys *system) start(sidecars int) error {
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return err
	}
	sys.dir = dir
	// Each machine has a loopback address of its own in a network drawn at random.
	sys.net = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	var ports [6]int
	for i := range ports {
		if ports[i], err = freePort(); err != nil {
			return err
		}
	}
	if sys.store, err = startStore(fmt.Sprintf("%s.250:%d", sys.net, ports[0])); err != nil {
		return err
	}
	sys.putConfig(7)
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", sys.net, 1+i)
		sys.entries = append(sys.entries, &node{
			name: "edge-" + zone + "-1", zone: zone, ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[1]), ready: fmt.Sprintf("%s:%d", ip, ports[2]),
			control: fmt.Sprintf("%s:%d", ip, ports[3]),
		})
	}
	for i := range sidecars {
		ip, zone := fmt.Sprintf("%s.%d", sys.net, 20+i), zones[i%len(zones)]
		sys.sidecars = append(sys.sidecars, &node{
			name: fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones)), zone: zone, ip: ip,
			control: fmt.Sprintf("%s:%d", ip, ports[3]), app: fmt.Sprintf("%s:%d", ip, ports[4]),
		})
	}
	for _, nod := range append(append([]*node{}, sys.entries...), sys.sidecars...) {
		if err := sys.startNode(nod, ports[5]); err != nil {
			return err
		}
	}
	for i, nod := range sys.sidecars {
		exe, err := startExecutor(&executor{
			id: fmt.Sprintf("i-%04x", 0xa100+i), address: nod.app, control: nod.control, service: service, zone: nod.zone,
			rack: fmt.Sprintf("r1-%d", i/3), rec: sys.rec,
		})
		if err != nil {
			return err
		}
		sys.executors = append(sys.executors, exe)
	}
	go sys.checkReadiness()
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		if sys.allReady() {
			// All sidecars have connected to all entries by then, as in the 10 s before the traffic starts.
			time.Sleep(2 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entries were not ready within 15 s")
}

func (sys *system) putConfig(version int) {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": hostName, "prefix": prefix, "route_type": "non_idempotent", "timeout_ms": 1500, "slo_ms": 60,
			"priority": 0, "backend": service, "max_attempts": 3, "slack_factor": 1.6,
		}},
		"backends": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	sys.store.put("op/config", raw)
}

// startNode renders the settings of a node from the template of its role and starts the command of the deploy file.
func (sys *system) startNode(nod *node, peerPort int) error {
	role, values := "sidecar", map[string]string{
		"node_name": nod.name, "zone": nod.zone, "ip": nod.ip, "port_range.0": fmt.Sprint(peerPort), "platform.address": sys.store.address,
		"listen.front": nod.front, "listen.ready": nod.ready, "listen.control": nod.control, "app": nod.app, "bounds.grace_s": "6",
		"bounds.max_hold_ms": "1000", "bounds.retransmit_ms": "1300", "bounds.stop_ms": "50", "bounds.remote_factor": "1.5",
		"limits.cpu_share": "0.24", "limits.memory_mb": "152",
	}
	if nod.front != "" {
		role = "entry"
		values["limits.cpu_share"], values["limits.memory_mb"] = "0.4", "284"
	}
	raw, err := os.ReadFile("deploy/" + role + ".json")
	if err != nil {
		return err
	}
	var seeds []string
	for _, ent := range sys.entries {
		seeds = append(seeds, `"`+ent.control+`"`)
	}
	txt := regexp.MustCompile(`(?s)\{\{#seeds\}\}.*?\{\{/seeds\}\}`).ReplaceAllString(string(raw), strings.Join(seeds, ","))
	for key, val := range values {
		txt = strings.ReplaceAll(txt, "{{"+key+"}}", val)
	}
	nod.settings = filepath.Join(sys.dir, nod.name+".json")
	if err := os.WriteFile(nod.settings, []byte(txt), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(sys.dir, nod.name+".log"))
	if err != nil {
		return err
	}
	nod.process = exec.Command(program, "platform", role)
	nod.process.Env = append(os.Environ(), "RAGWORTGAP_SETTINGS="+nod.settings)
	nod.process.Stdout, nod.process.Stderr = log, log
	nod.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := nod.process.Start(); err != nil {
		return err
	}
	nod.exited = make(chan struct{})
	go func() {
		_ = nod.process.Wait()
		_ = log.Close()
		close(nod.exited)
	}()
	return nil
}

// checkReadiness asks each entry once a second whether it is ready. After two misses, it gets no new channels.
func (sys *system) checkReadiness() {
	cli := http.Client{Timeout: 900 * time.Millisecond}
	for range time.Tick(time.Second) {
		for _, ent := range sys.entries {
			rsp, err := cli.Get("http://" + ent.ready + "/ready")
			ok := err == nil && rsp.StatusCode == http.StatusOK
			if err == nil {
				_ = rsp.Body.Close()
			}
			sys.mutex.Lock()
			if ok {
				ent.misses, ent.inRotation = 0, true
			} else if ent.misses++; ent.misses >= 2 {
				ent.inRotation = false
			}
			sys.mutex.Unlock()
		}
	}
}

func (sys *system) allReady() bool {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	for _, ent := range sys.entries {
		if !ent.inRotation {
			return false
		}
	}
	return true
}

// entryOf returns the entry that gets the new channels of the clients of a zone.
func (sys *system) entryOf(zone int) *node {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	for i := range sys.entries {
		if ent := sys.entries[(zone+i)%len(sys.entries)]; ent.inRotation {
			return ent
		}
	}
	return sys.entries[zone]
}

// stop ends all processes of the system and removes its folder.
func (sys *system) stop() {
	for _, nod := range append(append([]*node{}, sys.entries...), sys.sidecars...) {
		if nod.process != nil && nod.process.Process != nil {
			_ = nod.process.Process.Kill()
			<-nod.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		copyLogs(sys.dir, keep)
	}
	if sys.dir != "" {
		_ = os.RemoveAll(sys.dir)
	}
}

func copyLogs(from, to string) {
	paths, _ := filepath.Glob(filepath.Join(from, "*.log"))
	for _, path := range paths {
		src, err := os.Open(path)
		if err != nil {
			continue
		}
		if dst, err := os.Create(filepath.Join(to, filepath.Base(path))); err == nil {
			_, _ = io.Copy(dst, src)
			_ = dst.Close()
		}
		_ = src.Close()
	}
}

// runsOf returns all runs of a job.
func (sys *system) runsOf(job string) []taskRun {
	var res []taskRun
	for _, exe := range sys.executors {
		res = append(res, exe.runsOf(job)...)
	}
	return res
}
