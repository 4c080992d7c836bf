// Package rgserver provides an HTTP server whose shutdown answers every request that has arrived.
package rgserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"ragwortgap/io/rgclock"
)

// drainInterval is how often a draining server checks for idle connections.
const drainInterval = 20 * time.Millisecond

// Server is a running HTTP server.
type Server struct {
	// Done is closed when the server no longer accepts connections.
	Done chan struct{}

	http     *http.Server
	listener net.Listener
	limits   *Connections
	mutex    sync.Mutex
	conns    map[net.Conn]connection
}

// connection is the state of an open connection.
type connection struct {
	state http.ConnState
	// idle is set when the last check of a draining server found no request on the connection.
	idle bool
}

// Serve serves requests on the address until the server is drained or closed. The headers of a request must arrive within
// headerTimeout. The number of connections is that of a listener for probes.
func Serve(adr string, hdl http.Handler, headerTimeout time.Duration) (*Server, error) {
	return ServeLimited(adr, hdl, headerTimeout, NewSideConnections())
}

// ServeLimited is Serve with limits on the connections.
func ServeLimited(adr string, hdl http.Handler, headerTimeout time.Duration, cns *Connections) (*Server, error) {
	lis, err := Listen(adr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return serveLimited(MeasureListener(lis).(measuredListener), hdl, headerTimeout, cns), nil
}

// MeasureListener returns a listener whose connections are measured, for WithConnection.
func MeasureListener(lis net.Listener) net.Listener {
	return measuredListener{Listener: lis, now: rgclock.Now, age: receiveAge}
}

func serve(lis measuredListener, hdl http.Handler, headerTimeout time.Duration) *Server {
	return serveLimited(lis, hdl, headerTimeout, &Connections{})
}

func serveLimited(lis measuredListener, hdl http.Handler, headerTimeout time.Duration, cns *Connections) *Server {
	srv := &Server{Done: make(chan struct{}), listener: lis, conns: map[net.Conn]connection{}, limits: cns}
	srv.http = HTTPServer(hdl, headerTimeout, srv.trackState)
	go func() {
		defer close(srv.Done)
		// Serve returns when the listener is closed. Any other error is not reported, because it shows when callers fail to
		// connect.
		_ = srv.http.Serve(lis)
	}()
	return srv
}

// HTTPServer returns a server with the limits of this package. Its listener must be that of MeasureListener, or TLS above that.
func HTTPServer(hdl http.Handler, headerTimeout time.Duration, track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		Handler: withRecording(hdl), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: track,
		ConnContext: WithConnection,
	}
}

func (srv *Server) trackState(con net.Conn, sta http.ConnState) {
	srv.limits.TrackState(con, sta)
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if sta == http.StateClosed || sta == http.StateHijacked {
		delete(srv.conns, con)
		return
	}
	srv.conns[con] = connection{state: sta}
}

// Close stops the server and closes all its connections immediately.
func (srv *Server) Close() error {
	return errors.Trace(srv.http.Close())
}

// Drain stops accepting connections and returns when all requests that have arrived are answered, or with an error if ctx
// ends first. Handlers must set Connection: close on their responses. Unlike http.Server.Shutdown, Drain does not close a
// connection whose request has arrived but has not been read yet, as happens in a busy process.
func (srv *Server) Drain(ctx context.Context) error {
	if err := srv.listener.Close(); err != nil {
		return errors.Trace(err)
	}
	return srv.AwaitAnswers(ctx)
}

// AwaitAnswers returns when all requests of a draining server that have arrived are answered, or with an error if ctx ends first.
func (srv *Server) AwaitAnswers(ctx context.Context) error {
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

// closeIdle closes the connections without a request and returns how many are left. A connection must be idle in two
// consecutive checks, because its state does not show a request that is still being read.
func (srv *Server) closeIdle() int {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	left := 0
	for con, cur := range srv.conns {
		idle := cur.state != http.StateActive && !hasUnreadBytes(con)
		if !idle || !cur.idle {
			srv.conns[con] = connection{state: cur.state, idle: idle}
			left++
			continue
		}
		// Close only fails if the connection is already closed.
		_ = con.Close()
		delete(srv.conns, con)
	}
	return left
}

// hasUnreadBytes reports whether the socket has received bytes that have not been read.
func hasUnreadBytes(con net.Conn) bool {
	sys, ok := socketOf(con).(syscall.Conn)
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
