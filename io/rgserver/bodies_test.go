package rgserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"ragwortgap/core/rgintake"
)

// bodyLimit is the limit of a body in these tests.
const bodyLimit = 100 << 10

// bodyServer answers requests with the length of their body, or 503 if it is refused, 413 if it is too large and 400 if it is broken.
type bodyServer struct {
	bodies *Bodies
	addr   string
	// ignored makes the handler ignore the body.
	ignored bool
}

func (bs *bodyServer) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	if bs.ignored {
		wtr.WriteHeader(http.StatusNotFound)
		return
	}
	bod, err := bs.bodies.Read(wtr, req, bodyLimit)
	switch {
	case errors.As(err, new(RefusedError)):
		wtr.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrTooLarge):
		wtr.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		wtr.WriteHeader(http.StatusBadRequest)
	case req.Context().Err() != nil:
		wtr.WriteHeader(http.StatusBadGateway)
	default:
		defer bod.Release()
		_, _ = fmt.Fprint(wtr, len(bod.Bytes))
	}
}

func newBodyServer(t *testing.T) *bodyServer {
	t.Helper()
	bs := &bodyServer{bodies: &Bodies{}}
	srv, err := ServeLimited("127.0.0.1:0", bs, time.Minute, &Connections{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = srv.Close() })
	bs.addr = srv.listener.Addr().String()
	return bs
}

// dial opens a connection and sends the text.
func (bs *bodyServer) dial(t *testing.T, txt string) net.Conn {
	t.Helper()
	con, err := net.Dial("tcp", bs.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	if err := con.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(con, txt); err != nil {
		t.Fatal(err)
	}
	return con
}

// awaitBody waits until the state of the only body meets the condition, and calls change with the mutex locked.
func (bs *bodyServer) awaitBody(t *testing.T, met func(bod *rgintake.Body) bool, change func(id rgintake.BodyID, bod *rgintake.Body)) {
	t.Helper()
	try := func() bool {
		bs.bodies.mutex.Lock()
		defer bs.bodies.mutex.Unlock()
		for id, bod := range bs.bodies.state.Bodies {
			if met(bod) {
				change(id, bod)
				return true
			}
		}
		return false
	}
	tick, timeout := time.NewTicker(time.Millisecond), time.After(testTimeout)
	defer tick.Stop()
	for !try() {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatal("no such body")
		}
	}
}

// answer reads a response.
func answer(t *testing.T, con net.Conn) (*http.Response, string) {
	t.Helper()
	rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return rsp, string(raw)
}

func withLength(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

func inChunks(size, chunk int) string {
	var txt strings.Builder
	txt.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for rest := size; rest > 0; rest -= chunk {
		num := min(chunk, rest)
		fmt.Fprintf(&txt, "%x\r\n%s\r\n", num, strings.Repeat("x", num))
	}
	return txt.String() + "0\r\n\r\n"
}

// TestReadBody guards against bodies that are cut or rejected at the sizes of the buffers and of the limit, and against a connection that
// cannot be used again.
func TestReadBody(t *testing.T) {
	const first = rgintake.FirstBytes
	tests := map[string]struct {
		request string
		want    string
		status  int
	}{
		"empty":                   {request: withLength(0), want: "0", status: 200},
		"one byte":                {request: withLength(1), want: "1", status: 200},
		"first buffer":            {request: withLength(first), want: fmt.Sprint(first), status: 200},
		"first buffer and a byte": {request: withLength(first + 1), want: fmt.Sprint(first + 1), status: 200},
		"limit":                   {request: withLength(bodyLimit), want: fmt.Sprint(bodyLimit), status: 200},
		"above the limit":         {request: withLength(bodyLimit + 1), status: 413},
		"chunks, empty":           {request: inChunks(0, 1), want: "0", status: 200},
		"chunks, first buffer":    {request: inChunks(first, 100), want: fmt.Sprint(first), status: 200},
		"chunks, limit":           {request: inChunks(bodyLimit, 1<<14), want: fmt.Sprint(bodyLimit), status: 200},
		"chunks, above the limit": {request: inChunks(bodyLimit+1, 1<<14), status: 413},
		"chunks of a byte, limit": {request: inChunks(bodyLimit, 1), want: fmt.Sprint(bodyLimit), status: 200},
		"broken chunk":            {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n", status: 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bs := newBodyServer(t)
			con := bs.dial(t, tc.request)
			rsp, got := answer(t, con)
			if rsp.StatusCode != tc.status || got != tc.want {
				t.Fatalf("status %d, %s bytes, want %d and %s", rsp.StatusCode, got, tc.status, tc.want)
			}
			if closed := tc.status != http.StatusOK; rsp.Close != closed {
				t.Errorf("connection closed: %v, want %v", rsp.Close, closed)
			}
			if !rsp.Close {
				if _, err := io.WriteString(con, withLength(2)); err != nil {
					t.Fatal(err)
				}
				if rsp, got := answer(t, con); rsp.StatusCode != http.StatusOK || got != "2" {
					t.Errorf("next request: status %d, %s bytes", rsp.StatusCode, got)
				}
			}
			if bs.bodies.state.Held != 0 || len(bs.bodies.writers) != 0 {
				t.Errorf("%d bytes and %d writers left", bs.bodies.state.Held, len(bs.bodies.writers))
			}
		})
	}
}

// TestEndedBody guards against a body that keeps its memory although it has stalled, and against a caller that is not told that its
// request was not carried out.
func TestEndedBody(t *testing.T) {
	tests := map[string]struct {
		sent string
		// change makes the body overdue or evictable.
		change func(bs *bodyServer, id rgintake.BodyID, bod *rgintake.Body)
	}{
		"stalled": {sent: withLength(5000)[:4900], change: func(_ *bodyServer, _ rgintake.BodyID, bod *rgintake.Body) {
			bod.LastRead = bod.LastRead.Add(-rgintake.StallTime)
		}},
		"stalled in a chunk": {sent: inChunks(5000, 100)[:4900], change: func(_ *bodyServer, _ rgintake.BodyID, bod *rgintake.Body) {
			bod.LastRead = bod.LastRead.Add(-rgintake.StallTime)
		}},
		"evicted": {sent: withLength(5000)[:4900], change: func(bs *bodyServer, id rgintake.BodyID, bod *rgintake.Body) {
			silent := bod.LastRead
			bod.LastRead = silent.Add(-2 * time.Second)
			bs.bodies.state.Limits.Bytes = 4 * bod.Held
			_, _ = rgintake.Open(&bs.bodies.state, silent, bod.Client, 3*bod.Held)
			_, ver := rgintake.Open(&bs.bodies.state, silent, bod.Client, bod.Held)
			if len(ver.Evicted) != 1 || ver.Evicted[0] != id {
				panic(fmt.Sprintf("verdict %+v", ver))
			}
			bs.bodies.end(ver.Evicted)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bs := newBodyServer(t)
			con := bs.dial(t, tc.sent)
			bs.awaitBody(t, func(bod *rgintake.Body) bool { return bod.Received > 4000 }, func(id rgintake.BodyID, bod *rgintake.Body) {
				tc.change(bs, id, bod)
			})
			bs.bodies.expire(tally.NoopScope)
			if rsp, _ := answer(t, con); rsp.StatusCode != http.StatusServiceUnavailable || !rsp.Close {
				t.Errorf("status %d, closed %v, want 503 on a closed connection", rsp.StatusCode, rsp.Close)
			}
		})
	}
}

// TestSlowBody guards against slow callers that are cut off without overload.
func TestSlowBody(t *testing.T) {
	bs := newBodyServer(t)
	con := bs.dial(t, withLength(5000)[:4900])
	bs.awaitBody(t, func(bod *rgintake.Body) bool { return bod.Received > 4000 }, func(_ rgintake.BodyID, bod *rgintake.Body) {
		bod.LastRead = bod.LastRead.Add(-rgintake.StallTime / 2)
	})
	bs.bodies.expire(tally.NoopScope)
	if _, err := io.WriteString(con, withLength(5000)[4900:]); err != nil {
		t.Fatal(err)
	}
	if rsp, got := answer(t, con); rsp.StatusCode != http.StatusOK || got != "5000" {
		t.Errorf("status %d, %s bytes", rsp.StatusCode, got)
	}
}

// TestIgnoredBody guards against a connection that stays open for ever, without a response, because its handler ignores a body that
// does not end.
func TestIgnoredBody(t *testing.T) {
	bs := newBodyServer(t)
	bs.ignored = true
	con := bs.dial(t, withLength(5000)[:4900])
	if rsp, _ := answer(t, con); rsp.StatusCode != http.StatusNotFound || !rsp.Close {
		t.Errorf("status %d, closed %v, want 404 on a closed connection", rsp.StatusCode, rsp.Close)
	}
}

// TestConnections guards against connections above the limit, and against one with a request that is closed for a new one.
func TestConnections(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 1)
	cns := &Connections{Limits: rgintake.Limits{Connections: 1}}
	srv, err := ServeLimited("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}), time.Minute, cns)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = srv.Close() }()
	bs := &bodyServer{addr: srv.listener.Addr().String()}
	busy := bs.dial(t, withLength(0))
	<-begun
	if num, err := bs.dial(t, "").Read(make([]byte, 1)); num > 0 || err == nil {
		t.Errorf("%d bytes, error %v on a connection above the limit", num, err)
	}
	close(release)
	if rsp, _ := answer(t, busy); rsp.StatusCode != http.StatusOK {
		t.Errorf("status %d", rsp.StatusCode)
	}
}
