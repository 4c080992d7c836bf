package rgserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ragwortgap/io/rgclock"
)

// submission is a whole request with a body, as a caller sends it.
const submission = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"

type (
	// lateListener accepts connections on which only the first read, of the request, returns before the test ends. The read by
	// which the HTTP server learns of the end of a connection is delayed, as in a process that gets little CPU time.
	lateListener struct {
		net.Listener
		// readable blocks the first read until the test permits it, and ended blocks the others.
		readable, ended chan struct{}
		accepted        chan *net.TCPConn
	}

	lateConn struct {
		*net.TCPConn
		lis   lateListener
		reads atomic.Int32
	}
)

func (lis lateListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lis.accepted <- con.(*net.TCPConn)
	return &lateConn{TCPConn: con.(*net.TCPConn), lis: lis}, nil
}

func (con *lateConn) Read(buf []byte) (int, error) {
	if con.reads.Add(1) > 1 {
		<-con.lis.ended
	}
	<-con.lis.readable
	return con.TCPConn.Read(buf)
}

func newLateListener(t *testing.T) lateListener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lateListener{
		Listener: lis, readable: make(chan struct{}), ended: make(chan struct{}), accepted: make(chan *net.TCPConn, 1),
	}
}

// awaitSocketEvent waits until the socket of the server has received bytes, or an end of the connection.
func awaitSocketEvent(t *testing.T, con *net.TCPConn, events int16) {
	t.Helper()
	raw, err := con.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if num, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 5000); num != 1 || err != nil {
			t.Errorf("%d sockets with an event, error %v", num, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCallerLeft guards against a request that is carried out although its caller had left before it was read: an entry that was
// suspended or slow placed the tasks of such jobs, which ran a second time beside those of the entry that the caller had turned to.
func TestCallerLeft(t *testing.T) {
	const leaves, stays = unix.POLLRDHUP, unix.POLLIN
	tests := map[string]struct {
		sent   string
		leave  func(con *net.TCPConn) error
		events int16
		want   bool
	}{
		"waits":            {sent: submission, leave: func(*net.TCPConn) error { return nil }, events: stays},
		"pipelines":        {sent: submission + submission, leave: func(*net.TCPConn) error { return nil }, events: stays},
		"closes":           {sent: submission, leave: (*net.TCPConn).Close, events: leaves, want: true},
		"closes its write": {sent: submission, leave: (*net.TCPConn).CloseWrite, events: leaves, want: true},
		"resets": {sent: submission, leave: func(con *net.TCPConn) error {
			if err := con.SetLinger(0); err != nil {
				return err
			}
			return con.Close()
		}, events: leaves, want: true},
		"pipelines and closes": {sent: submission + submission, leave: (*net.TCPConn).Close, events: leaves, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lis, left := newLateListener(t), make(chan bool, 2)
			mea := measuredListener{Listener: lis, now: rgclock.Now}
			srv := serve(mea, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
				left <- CallerLeft(req.Context())
			}), time.Minute)
			defer func() {
				close(lis.ended)
				_ = srv.Close()
			}()
			con, err := net.Dial("tcp", lis.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = con.Close() }()
			if _, err := fmt.Fprint(con, tc.sent); err != nil {
				t.Fatal(err)
			}
			if err := tc.leave(con.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			awaitSocketEvent(t, <-lis.accepted, tc.events)
			close(lis.readable)
			select {
			case got := <-left:
				if got != tc.want {
					t.Errorf("caller has left: %v, want %v", got, tc.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("the request was not handled")
			}
		})
	}
}

// TestCallerLeftWithoutSocket guards against a job that is refused because nothing is known of its caller's connection, and against
// one whose cancelled request is overlooked.
func TestCallerLeftWithoutSocket(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	pipe, peer := net.Pipe()
	defer func() { _, _ = pipe.Close(), peer.Close() }()
	tests := map[string]struct {
		ctx  context.Context
		want bool
	}{
		"no connection":            {ctx: t.Context()},
		"connection, no socket":    {ctx: WithConnection(t.Context(), pipe)},
		"request of a left caller": {ctx: cancelled, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := CallerLeft(tc.ctx); got != tc.want {
				t.Errorf("caller has left: %v, want %v", got, tc.want)
			}
		})
	}
}
