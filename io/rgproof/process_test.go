package rgproof

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
)

const (
	// firstPort and portCount define the range of ports that processes listen on.
	firstPort = 20000
	portCount = 10000
)

// process is a process of the system, started by the test.
type process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	// log is the path of its log file.
	log string
}

var (
	binaryPath string
	// nextPort starts at a different port in each test process.
	nextPort atomic.Int64
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
