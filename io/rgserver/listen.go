package rgserver

import (
	"cmp"
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer bounds the bytes that the kernel holds for a connection that sends no large body, also before it is accepted. The
	// kernel doubles it for its own data, and holds up to 12 KB of bytes that were not read. Without a bound, it would hold several MB.
	// Ordinary jobs fit into it.
	receiveBuffer = 8 << 10
	// bodyReceiveBuffer is the same while a large body or message is read. The kernel holds up to 24 KB then, so that a body of 256 KB
	// takes 11 round trips.
	bodyReceiveBuffer = 16 << 10
	// maxPending bounds the connections that the kernel holds until they are accepted. The kernel's own bound would let 4,096 of them hold
	// 48 MB.
	maxPending = 512
)

type (
	// boundedListener accepts connections for which the kernel holds a bounded number of bytes.
	boundedListener struct{ net.Listener }

	// boundedConn is a connection that boundedListener has accepted.
	boundedConn struct{ *net.TCPConn }
)

// Accept returns the next connection.
func (lis boundedListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if tcp, ok := con.(*net.TCPConn); ok {
		return boundedConn{TCPConn: tcp}, err
	}
	return con, err
}

// Listen returns a listener that bounds what the kernel holds for its connections.
func Listen(adr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		return cmp.Or(err, optErr)
	}}
	lis, err := cfg.Listen(context.Background(), "tcp", adr)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", adr)
	}
	if err := boundPending(lis); err != nil {
		// The listener is not used.
		_ = lis.Close()
		return nil, errors.Annotatef(err, "bound the pending connections on %s", adr)
	}
	return boundedListener{Listener: lis}, nil
}

// boundPending bounds the connections that wait to be accepted. Listening again changes the bound.
func boundPending(lis net.Listener) error {
	sys, ok := lis.(syscall.Conn)
	if !ok {
		return errors.NotSupportedf("socket of a %T", lis)
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	var lisErr error
	err = raw.Control(func(fd uintptr) { lisErr = unix.Listen(int(fd), maxPending) })
	return cmp.Or(err, lisErr)
}

// SetLargeBuffer lets the kernel hold more of an accepted connection while a large body or message is read from it, or less again. It does
// nothing for other connections.
func SetLargeBuffer(con net.Conn, large bool) {
	bnd, ok := socketOf(con).(boundedConn)
	if !ok {
		return
	}
	bytes := receiveBuffer
	if large {
		bytes = bodyReceiveBuffer
	}
	// An error means that the connection is closed.
	_ = bnd.SetReadBuffer(bytes)
}
