package rgserver

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type (
	// connectionKey is the key of a caller's connection in the context of a request.
	connectionKey struct{}

	// callerConn is the connection of a caller. What is not known of it is nil.
	callerConn struct {
		socket   syscall.RawConn
		measured *measuredConn
	}
)

// WithConnection returns a context from which CallerLeft and Silence learn the connection of the caller.
func WithConnection(ctx context.Context, con net.Conn) context.Context {
	var cal callerConn
	con = socketOf(con)
	cal.measured, _ = con.(*measuredConn)
	if sys, ok := con.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			cal.socket = raw
		}
	}
	return context.WithValue(ctx, connectionKey{}, cal)
}

// CallerLeft reports whether the caller of a request has left: the context of the request has ended, or the socket has received the
// end of the connection or a reset. The HTTP server learns of an end only once a goroutine of its own has read it, which may be long
// after the request was read in a process that was suspended or gets little CPU time. The socket is checked for the event and not by
// a read, because bytes of another request may come before the end.
//
// A caller that only closes its writing side counts as one that has left. The HTTP server ends the context of its request in that
// case too.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	cal, _ := ctx.Value(connectionKey{}).(callerConn)
	if cal.socket == nil {
		return false
	}
	left := false
	err := cal.socket.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		num, err := unix.Poll(fds, 0)
		left = err == nil && num > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	// Control only fails if this process has closed the connection.
	return left || err != nil
}
