package rgserver

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// TestListen guards against connections for which the kernel holds so many unread bytes, before they are accepted or after, that a crowd
// of them exceeds the memory of the machine, and against large bodies that take a round trip for every few KB.
func TestListen(t *testing.T) {
	lis, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	if got := pendingBound(t, lis.(boundedListener).Listener); got != maxPending {
		t.Errorf("%d connections may be pending, want %d", got, maxPending)
	}
	dialed, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	own := receiveBufferOf(t, dialed)
	SetLargeBuffer(dialed, true)
	if got := receiveBufferOf(t, dialed); got != own {
		t.Errorf("receive buffer of a dialed connection changed from %d to %d", own, got)
	}
	// The kernel doubles the size of a buffer.
	if got := receiveBufferOf(t, accepted); got != 2*receiveBuffer {
		t.Errorf("receive buffer %d, want %d", got, 2*receiveBuffer)
	}
	SetLargeBuffer(accepted, true)
	if got := receiveBufferOf(t, accepted); got != 2*bodyReceiveBuffer {
		t.Errorf("receive buffer %d for a large body, want %d", got, 2*bodyReceiveBuffer)
	}
	SetLargeBuffer(accepted, false)
	if got := receiveBufferOf(t, accepted); got != 2*receiveBuffer {
		t.Errorf("receive buffer %d after a large body, want %d", got, 2*receiveBuffer)
	}
}

func receiveBufferOf(t *testing.T, con net.Conn) int {
	t.Helper()
	size := 0
	control(t, con, func(fd int) (err error) {
		size, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
		return err
	})
	return size
}

// pendingBound returns the number of connections that may wait to be accepted. For a listening socket, the kernel reports it as the number
// of selectively acknowledged segments.
func pendingBound(t *testing.T, lis net.Listener) int {
	t.Helper()
	num := 0
	control(t, lis, func(fd int) error {
		inf, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			num = int(inf.Sacked)
		}
		return err
	})
	return num
}

// control calls the function with the descriptor of a socket.
func control(t *testing.T, sck any, call func(fd int) error) {
	t.Helper()
	raw, err := sck.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	if callErr != nil {
		t.Fatal(callErr)
	}
}
