// Package rgserver serves HTTP and ends without losing a request that has arrived.
package rgserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// drainInterval is how often a server that ends looks for connections that it may close.
const drainInterval = 20 * time.Millisecond

// Server is a running HTTP server.
type Server struct {
	// Done is closed when the server accepts no more connections.
	Done chan struct{}

	http     *http.Server
	listener net.Listener
	mutex    sync.Mutex
	conns    map[net.Conn]connection
}

// connection is an open connection of a caller.
type connection struct {
	state http.ConnState
	// quiet is set once a server that ends has found no request on it.
	quiet bool
}

// Serve answers requests on the address until the server is drained or closed. The header of a request has to arrive within
// the bound.
func Serve(adr string, hdl http.Handler, header time.Duration) (*Server, error) {
	lis, err := net.Listen("tcp", adr)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", adr)
	}
	return serve(lis, hdl, header), nil
}

func serve(lis net.Listener, hdl http.Handler, header time.Duration) *Server {
	srv := &Server{Done: make(chan struct{}), listener: lis, conns: map[net.Conn]connection{}}
	srv.http = &http.Server{Handler: hdl, ReadHeaderTimeout: header, ConnState: srv.note}
	go func() {
		defer close(srv.Done)
		// Serve returns when the listener is closed; an earlier error shows in callers that cannot connect.
		_ = srv.http.Serve(lis)
	}()
	return srv
}

func (srv *Server) note(con net.Conn, sta http.ConnState) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if sta == http.StateClosed || sta == http.StateHijacked {
		delete(srv.conns, con)
		return
	}
	srv.conns[con] = connection{state: sta}
}

// Close ends the server and all its connections at once.
func (srv *Server) Close() error {
	return errors.Trace(srv.http.Close())
}

// Drain accepts no more connections and returns when all requests that have arrived are answered, or with an error when ctx
// ends first. Answers have to ask callers to close their connections. Unlike Shutdown of the library, it does not close a
// connection on which a request waits that a busy process has not read yet.
func (srv *Server) Drain(ctx context.Context) error {
	if err := srv.listener.Close(); err != nil {
		return errors.Trace(err)
	}
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for srv.closeIdle() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

// closeIdle closes the connections without a request and returns how many are left. It has to find none twice, because a
// request is not noted yet while it is being read.
func (srv *Server) closeIdle() int {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	left := 0
	for con, cur := range srv.conns {
		quiet := cur.state != http.StateActive && !hasUnread(con)
		if !quiet || !cur.quiet {
			srv.conns[con] = connection{state: cur.state, quiet: quiet}
			left++
			continue
		}
		// A connection that is closed already is of no concern.
		_ = con.Close()
		delete(srv.conns, con)
	}
	return left
}

// hasUnread says whether bytes have arrived that nobody has read.
func hasUnread(con net.Conn) bool {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		unread, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}
