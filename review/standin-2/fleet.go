//go:build review2

package main

import (
	"errors"
	"fmt"
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
	frontPort   = 18161
	readyPort   = 18167
	controlPort = 18166
	appPort     = 18165
	peerPort    = 17720
	// entryNumber and sidecarNumber are the last octets of the first entry and the first side machine.
	entryNumber   = 11
	sidecarNumber = 31
	storeNumber   = 7
	serviceName   = "huvo11a"
	routeHost     = "nony24.example"
	routePrefix   = "/lohu930/"
	// program and the commands are those of deploy/system.toml.
	program = "target/ragwortgap"
)

type (
	// process is an entry or a sidecar of the project on a machine of its own, which is a loopback address.
	process struct {
		name, role, ip string
		settings       string
		log            *os.File
		mutex          sync.Mutex
		command        *exec.Cmd
		ended          chan struct{}
		starts         int
	}

	// fleet is a small installation: a store, entries, sidecars and their executors.
	fleet struct {
		rec       *record
		dir       string
		prefix    string
		store     *store
		server    *http.Server
		entries   []*process
		sidecars  []*process
		executors []*executor
		// ready are the entries that the balancer has in rotation.
		mutex sync.Mutex
		ready []*process
		done  chan struct{}
	}
)

// newFleet starts the store, the executors and the processes.
func newFleet(rec *record, entries, sidecars int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	flt := &fleet{
		rec: rec, dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, os.Getpid()/100%200+20), store: newStore(),
		done: make(chan struct{}),
	}
	flt.changeConfig(7)
	flt.server = &http.Server{Addr: flt.address(storeNumber, 8169), Handler: flt.store}
	go func() { _ = flt.server.ListenAndServe() }()
	for i := range entries {
		flt.entries = append(flt.entries, &process{name: fmt.Sprintf("edge-zone-a-%d", i+1), role: "entry", ip: flt.ip(entryNumber + i)})
	}
	for i := range sidecars {
		ip := flt.ip(sidecarNumber + i)
		flt.sidecars = append(flt.sidecars, &process{name: fmt.Sprintf("side-zone-a-%d", i+1), role: "sidecar", ip: ip})
		exe, err := newExecutor(rec, executorID(i+1), serviceName, fmt.Sprintf("%s:%d", ip, appPort), fmt.Sprintf("%s:%d", ip, controlPort))
		if err != nil {
			return flt, err
		}
		flt.executors = append(flt.executors, exe)
	}
	for _, pro := range flt.processes() {
		if err := flt.writeSettings(pro); err != nil {
			return flt, err
		}
		if err := flt.start(pro); err != nil {
			return flt, err
		}
	}
	go flt.checkReady()
	return flt, nil
}

// changeConfig writes a version of the configuration as the operator does. All versions have the same route.
func (flt *fleet) changeConfig(version int) {
	flt.store.put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"prefix":%q,`+
		`"route_type":"non_idempotent","timeout_ms":1500,"slo_ms":60,"priority":0,"backend":%q,"max_attempts":3,"slack_factor":1.6}],`+
		`"backends":[{"name":%q,"health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":false,`+
		`"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routeHost, routePrefix, serviceName, serviceName)))
	flt.rec.write("the operator writes version %d of the configuration", version)
}

func (flt *fleet) ip(num int) string            { return fmt.Sprintf("%s%d", flt.prefix, num) }
func (flt *fleet) address(num, port int) string { return fmt.Sprintf("%s:%d", flt.ip(num), port) }

func (flt *fleet) processes() []*process {
	return append(append([]*process{}, flt.entries...), flt.sidecars...)
}

var seedsSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (flt *fleet) writeSettings(pro *process) error {
	raw, err := os.ReadFile("deploy/" + pro.role + ".json")
	if err != nil {
		return err
	}
	var seeds []string
	for _, ent := range flt.entries {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ent.ip, controlPort)))
	}
	txt := seedsSection.ReplaceAllString(string(raw), strings.Join(seeds, ","))
	cores, memory := "0.4", "284"
	if pro.role == "sidecar" {
		cores, memory = "0.24", "152"
	}
	for key, val := range map[string]string{
		"node_name": pro.name, "zone": "zone-a", "ip": pro.ip, "port_range.0": fmt.Sprint(peerPort),
		"platform.address": flt.address(storeNumber, 8169), "listen.front": fmt.Sprintf("%s:%d", pro.ip, frontPort),
		"listen.ready": fmt.Sprintf("%s:%d", pro.ip, readyPort), "listen.control": fmt.Sprintf("%s:%d", pro.ip, controlPort),
		"app": fmt.Sprintf("%s:%d", pro.ip, appPort), "bounds.grace_s": "6", "bounds.max_hold_ms": "1000",
		"bounds.retransmit_ms": "1300", "bounds.stop_ms": "50", "bounds.remote_factor": "1.5", "limits.cpu_share": cores,
		"limits.memory_mb": memory,
	} {
		txt = strings.ReplaceAll(txt, "{{"+key+"}}", val)
	}
	if at := strings.Index(txt, "{{"); at >= 0 {
		return errors.New("unknown placeholder in the template: " + txt[at:min(len(txt), at+40)])
	}
	pro.settings = filepath.Join(flt.dir, pro.name+".json")
	if pro.log, err = os.Create(filepath.Join(flt.dir, pro.name+".log")); err != nil {
		return err
	}
	return os.WriteFile(pro.settings, []byte(txt), 0o600)
}

// start starts a process with the command of the deploy file.
func (flt *fleet) start(pro *process) error {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	cmd := exec.Command(program, "platform", pro.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTGAP_SETTINGS=" + pro.settings}
	cmd.Stdout, cmd.Stderr = pro.log, pro.log
	if err := cmd.Start(); err != nil {
		return err
	}
	pro.command, pro.ended = cmd, make(chan struct{})
	pro.starts++
	flt.rec.write("%s starts", pro.name)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		flt.rec.write("%s ends: %v", pro.name, err)
		close(ended)
	}(pro.ended)
	return nil
}

// signal sends a signal to the process.
func (flt *fleet) signal(pro *process, sig syscall.Signal) {
	pro.mutex.Lock()
	defer pro.mutex.Unlock()
	if pro.command != nil {
		flt.rec.write("%s gets %v", pro.name, sig)
		_ = pro.command.Process.Signal(sig)
	}
}

// kill kills a process and waits for its end.
func (flt *fleet) kill(pro *process) {
	flt.signal(pro, syscall.SIGKILL)
	if pro.ended != nil {
		<-pro.ended
	}
}

// stop ends all processes that the fleet has started and removes the temporary folder.
func (flt *fleet) stop() {
	close(flt.done)
	for _, pro := range flt.processes() {
		flt.signal(pro, syscall.SIGCONT)
		flt.kill(pro)
	}
	_ = flt.server.Close()
	for _, exe := range flt.executors {
		_ = exe.server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs are kept in", flt.dir)
		return
	}
	_ = os.RemoveAll(flt.dir)
}

// checkReady asks each entry once a second whether it is ready, as the balancer does. Two misses take an entry out of rotation.
func (flt *fleet) checkReady() {
	cli := &http.Client{Timeout: 900 * time.Millisecond}
	misses := map[string]int{}
	for {
		var ready []*process
		for _, ent := range flt.entries {
			rsp, err := cli.Get(fmt.Sprintf("http://%s:%d/ready", ent.ip, readyPort))
			if err == nil {
				_ = rsp.Body.Close()
			}
			if err == nil && rsp.StatusCode == http.StatusOK {
				misses[ent.name] = 0
			} else {
				misses[ent.name]++
			}
			if misses[ent.name] < 2 {
				ready = append(ready, ent)
			}
		}
		if 2*len(ready) < len(flt.entries) {
			ready = flt.entries
		}
		flt.mutex.Lock()
		flt.ready = ready
		flt.mutex.Unlock()
		select {
		case <-flt.done:
			return
		case <-time.After(time.Second):
		}
	}
}

// rotation returns the entries that get new channels.
func (flt *fleet) rotation() []*process {
	flt.mutex.Lock()
	defer flt.mutex.Unlock()
	if len(flt.ready) == 0 {
		return flt.entries
	}
	return flt.ready
}
