package rgserver

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

type (
	// busyListener makes connections that are read late, as in a process that gets little of the processor.
	busyListener struct {
		net.Listener
		delay time.Duration
	}

	busyConn struct {
		*net.TCPConn
		delay time.Duration
	}
)

func (lis busyListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return busyConn{TCPConn: con.(*net.TCPConn), delay: lis.delay}, nil
}

func (con busyConn) Read(buf []byte) (int, error) {
	time.Sleep(con.delay)
	return con.TCPConn.Read(buf)
}

// TestDrain guards against a request that has arrived and is cut off because the process has not read it when its planned
// stop begins, and against a stop that waits for callers who send nothing.
func TestDrain(t *testing.T) {
	tests := map[string]struct {
		delay, work time.Duration
		requests    int
		wantAnswers int
	}{
		"idle connection":        {requests: 0},
		"request not read yet":   {delay: 200 * time.Millisecond, requests: 1, wantAnswers: 1},
		"request being answered": {work: 200 * time.Millisecond, requests: 1, wantAnswers: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := serve(busyListener{Listener: lis, delay: tc.delay}, http.HandlerFunc(func(wtr http.ResponseWriter, _ *http.Request) {
				time.Sleep(tc.work)
				wtr.Header().Set("Connection", "close")
			}), time.Second)
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
			// The server has accepted the connection by then.
			time.Sleep(50 * time.Millisecond)
			ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
			defer stop()
			if err := srv.Drain(ctx); err != nil {
				t.Errorf("drain: %v", err)
			}
			answers := 0
			rdr := bufio.NewReader(con)
			for rsp, err := http.ReadResponse(rdr, nil); err == nil; rsp, err = http.ReadResponse(rdr, nil) {
				answers++
				_ = rsp.Body.Close()
			}
			if answers != tc.wantAnswers {
				t.Errorf("%d answers, want %d", answers, tc.wantAnswers)
			}
		})
	}
}
