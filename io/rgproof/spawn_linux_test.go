package rgproof

import "syscall"

// childAttributes makes the kernel end a child when the test process dies without its clean-up: a process that is left
// over would join the next system whose store gets the same port.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
