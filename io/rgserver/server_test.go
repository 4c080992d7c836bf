package rgserver

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"ragwortgap/io/rgclock"
)

// blockTime is how long a request is kept from being read or answered after the drain begins.
const blockTime = 10 * drainInterval

type (
	// busyListener accepts connections whose reads block for a while, as in a process that gets little CPU time.
	busyListener struct {
		net.Listener
		unblock <-chan struct{}
	}

	busyConn struct {
		*net.TCPConn
		unblock <-chan struct{}
	}
)

func (lis busyListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return busyConn{TCPConn: con.(*net.TCPConn), unblock: lis.unblock}, nil
}

func (con busyConn) Read(buf []byte) (int, error) {
	<-con.unblock
	return con.TCPConn.Read(buf)
}

// TestDrain guards against dropping a request that has arrived but has not been read when a graceful shutdown begins, and
// against a shutdown that waits for connections without a request.
func TestDrain(t *testing.T) {
	tests := map[string]struct {
		// delayRead and delayResponse delay reading the request and responding to it until blockTime after the start of the drain.
		delayRead, delayResponse bool
		requests                 int
		wantResponses            int
	}{
		"idle connection":        {requests: 0},
		"request not read yet":   {delayRead: true, requests: 1, wantResponses: 1},
		"request being answered": {delayResponse: true, requests: 1, wantResponses: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			allowRead, allowResponse, begun := make(chan struct{}), make(chan struct{}), make(chan struct{})
			mea := measuredListener{Listener: busyListener{Listener: lis, unblock: allowRead}, now: rgclock.Now}
			srv := serve(mea, http.HandlerFunc(func(wtr http.ResponseWriter, _ *http.Request) {
				close(begun)
				<-allowResponse
				wtr.Header().Set("Connection", "close")
			}), 5*time.Second)
			con, err := net.Dial("tcp", lis.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = con.Close() }()
			for range tc.requests {
				if _, err := fmt.Fprint(con, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
			}
			awaitTrackedConnection(t, srv)
			if !tc.delayRead {
				close(allowRead)
			}
			if tc.delayResponse {
				<-begun
			} else {
				close(allowResponse)
			}
			time.AfterFunc(blockTime, func() {
				if tc.delayRead {
					close(allowRead)
				}
				if tc.delayResponse {
					close(allowResponse)
				}
			})
			ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
			defer stop()
			if err := srv.Drain(ctx); err != nil {
				t.Errorf("drain: %v", err)
			}
			if got := countResponses(con); got != tc.wantResponses {
				t.Errorf("%d responses, want %d", got, tc.wantResponses)
			}
		})
	}
}

// awaitTrackedConnection waits until the server tracks a connection.
func awaitTrackedConnection(t *testing.T, srv *Server) {
	t.Helper()
	tracked := func() bool {
		srv.mutex.Lock()
		defer srv.mutex.Unlock()
		return len(srv.conns) > 0
	}
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !tracked() {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal("the server tracks no connection")
		}
	}
}

// countResponses returns the number of responses that arrive until the connection is closed.
func countResponses(con net.Conn) int {
	count := 0
	rdr := bufio.NewReader(con)
	for rsp, err := http.ReadResponse(rdr, nil); err == nil; rsp, err = http.ReadResponse(rdr, nil) {
		count++
		_ = rsp.Body.Close()
	}
	return count
}
