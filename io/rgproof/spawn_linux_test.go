package rgproof

import "syscall"

// childAttributes makes the kernel kill a child process if the test process ends without cleanup, because an orphaned
// process would join a later system whose store gets the same port.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
