package rgproof

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ragwortgap/core/rgmodel"
)

// gracefulShutdownSidecar guards against jobs that are cut off when a sidecar is stopped under load, and against work for its
// upstream that is submitted more than 3 s after the signal.
func gracefulShutdownSidecar(sys *system) {
	sys.setRunTime(300 * time.Millisecond)
	end := sys.startLoad()
	sys.waitUntil("running task at the upstream", readyTimeout, func() bool { return sys.upstreams[1].running.Load() > 0 })
	sys.sidecars[1].signal(syscall.SIGTERM)
	deadline := time.Now().Add(3 * time.Second)
	sys.waitExit(sys.sidecars[1])
	sys.waitUntil("0.5 s after the deadline", readyTimeout, func() bool { return time.Now().After(deadline.Add(500 * time.Millisecond)) })
	end()
	sys.checkGracefulShutdown()
	for _, stt := range sys.starts {
		if crt, _ := stt.id.Created(); stt.upstream == "upstream1" && crt.After(deadline) {
			sys.t.Errorf("invariant 6: %v started at the upstream of a stopped sidecar, but was submitted %s after the deadline",
				stt.id, crt.Sub(deadline))
		}
	}
}

// gracefulShutdownSequential guards against jobs that are cut off when sidecars with little work leave immediately, one after
// the other.
func gracefulShutdownSequential(sys *system) {
	end := sys.startLoad()
	for num := range 3 {
		sys.waitUntil("running task at the upstream", readyTimeout, func() bool { return sys.upstreams[num].running.Load() > 0 })
		sys.sidecars[num].signal(syscall.SIGTERM)
		sys.waitExit(sys.sidecars[num])
	}
	end()
	sys.checkGracefulShutdown()
}

// gracefulShutdownLateReports guards against jobs that are cut off because a report of a sidecar arrives after its leave
// message, which is possible because messages are handled concurrently.
func gracefulShutdownLateReports(sys *system) {
	for _, prx := range sys.proxies {
		prx.setRule(func(frm frame) action {
			if frm.method == "report" {
				return delay{by: 400 * time.Millisecond}
			}
			return pass{}
		})
	}
	gracefulShutdownSequential(sys)
}

// gracefulShutdownEntry guards against an entry that is stopped under load and does not answer a request whose connection it
// has accepted.
func gracefulShutdownEntry(sys *system) {
	sys.setRunTime(200 * time.Millisecond)
	end := sys.startLoad()
	sys.waitUntil("more than 20 attempts", readyTimeout, func() bool { return sys.countAttempts() > 20 })
	// Two jobs are in flight at the entry, which is the home of only one of them.
	remote := sys.submitInBackground(1, sys.newIDHomedAt(0), 2)
	local := sys.submitInBackground(1, sys.newIDHomedAt(1), 2)
	sys.entries[1].signal(syscall.SIGTERM)
	<-remote
	<-local
	sys.waitExit(sys.entries[1])
	sys.waitRingSize(0, 2)
	end()
	sys.checkGracefulShutdown()
}

// hangups guards against a SIGHUP that ends a process and cuts the requests in progress, in service and during a graceful shutdown.
func hangups(sys *system) {
	sys.setRunTime(200 * time.Millisecond)
	end := sys.startLoad()
	for _, prc := range append(append([]*process(nil), sys.entries...), sys.sidecars...) {
		prc.signal(syscall.SIGHUP)
		sys.waitHangup(prc, 1)
	}
	for num, prc := range []*process{sys.entries[1], sys.sidecars[1]} {
		job := sys.submitInBackground(1-num, sys.newIDHomedAt(0), 8)
		prc.signal(syscall.SIGTERM)
		prc.signal(syscall.SIGHUP)
		sys.waitHangup(prc, 2)
		<-job
		sys.waitExit(prc)
	}
	end()
	sys.checkGracefulShutdown()
}

// waitHangup waits until the process has logged as many SIGHUPs, and fails the test if it exits first.
func (sys *system) waitHangup(prc *process, count int) {
	sys.waitUntil("SIGHUP in the log", readyTimeout, func() bool {
		raw, err := os.ReadFile(prc.log)
		if err == nil && strings.Count(string(raw), "SIGHUP received") >= count {
			return true
		}
		select {
		case <-prc.done:
			sys.t.Fatalf("%s ended (%v) instead of logging SIGHUP", filepath.Base(prc.log), prc.cmd.ProcessState)
		default:
		}
		return false
	})
}

// waitExit waits until the process has exited and fails the test if the exit code is not 0.
func (sys *system) waitExit(prc *process) {
	sys.waitUntil("exit of a process", 2*readyTimeout, func() bool {
		select {
		case <-prc.done:
			return true
		default:
			return false
		}
	})
	if code := prc.cmd.ProcessState.ExitCode(); code != 0 {
		sys.t.Errorf("exit code %d after a graceful shutdown", code)
	}
}

// checkGracefulShutdown checks that every attempt was complete, was refused with the verdict notRun, or got no connection.
func (sys *system) checkGracefulShutdown() {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	defer func() {
		if sys.t.Failed() {
			sys.t.Log(sys.logs())
		}
	}()
	for _, att := range sys.attempts {
		switch {
		case att.body == "warmup":
		case att.err != nil && isRefused(att.err):
		case att.err != nil:
			sys.t.Errorf("invariant 7: %s at entry %d was disconnected after %s: %v", att.id, att.entry, att.ended.Sub(att.began), att.err)
		case att.answer.Status != "complete" && verdict(att, 0) != rgmodel.NotRun:
			sys.t.Errorf("invariant 7: %s at entry %d from %s after %s: status %d, %+v", att.id, att.entry,
				att.began.Format(time.StampMicro), att.ended.Sub(att.began), att.status, att.answer.Tasks)
		}
	}
}
