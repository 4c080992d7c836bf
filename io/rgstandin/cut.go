package rgstandin

import (
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// CutSocket makes the kernel drop all segments that arrive at the socket of a connection, like a cut of the network, or ends that. Nothing
// is acknowledged meanwhile, and an end of the connection or a reset from the other side is lost.
func CutSocket(con syscall.Conn, cut bool) error {
	raw, err := con.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if !cut {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		// The program returns the length to which a segment is cut: none.
		code := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &code[0]})
	})
	if err == nil {
		err = optErr
	}
	return errors.Annotate(err, "socket filter")
}
