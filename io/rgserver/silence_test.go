package rgserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ragwortgap/io/rgclock"
)

const (
	// pause is the silence of a connection in a test.
	pause       = 2 * time.Second
	testTimeout = 5 * time.Second
	// requestHead announces a body of two bytes.
	requestHead = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
)

type (
	// testClock is a clock that the test advances.
	testClock struct {
		mutex sync.Mutex
		time  time.Time
	}

	// silenceHarness is a server whose handler reports the silence before each request, and a caller of it.
	silenceHarness struct {
		t        *testing.T
		clk      *testClock
		srv      *Server
		con      net.Conn
		rdr      *bufio.Reader
		begun    chan struct{}
		silences chan time.Duration
		// answer lets the handler respond.
		answer chan struct{}
	}
)

func (clk *testClock) now() time.Time {
	clk.mutex.Lock()
	defer clk.mutex.Unlock()
	return clk.time
}

func (clk *testClock) advance(dur time.Duration) {
	clk.mutex.Lock()
	defer clk.mutex.Unlock()
	clk.time = clk.time.Add(dur)
}

func newSilenceHarness(t *testing.T) *silenceHarness {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	har := &silenceHarness{
		t: t, clk: &testClock{time: time.Unix(1000, 0)}, begun: make(chan struct{}, 9), silences: make(chan time.Duration, 9),
		answer: make(chan struct{}, 9),
	}
	har.srv = serve(measuredListener{Listener: lis, now: har.clk.now}, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		har.begun <- struct{}{}
		if _, err := io.ReadAll(req.Body); err != nil {
			t.Errorf("read a body: %v", err)
		}
		har.silences <- Silence(req.Context())
		<-har.answer
	}), time.Minute)
	if har.con, err = net.Dial("tcp", lis.Addr().String()); err != nil {
		t.Fatal(err)
	}
	har.rdr = bufio.NewReader(har.con)
	t.Cleanup(func() {
		close(har.answer)
		_, _ = har.con.Close(), har.srv.Close()
	})
	awaitTrackedConnection(t, har.srv)
	return har
}

func (har *silenceHarness) send(txt string) {
	har.t.Helper()
	if _, err := fmt.Fprint(har.con, txt); err != nil {
		har.t.Fatal(err)
	}
}

// awaitHead waits until the handler has the head of a request.
func (har *silenceHarness) awaitHead() {
	har.t.Helper()
	select {
	case <-har.begun:
	case <-time.After(testTimeout):
		har.t.Fatal("no request was handled")
	}
}

// check waits for a request and compares the silence before it.
func (har *silenceHarness) check(want time.Duration) {
	har.t.Helper()
	select {
	case got := <-har.silences:
		if got != want {
			har.t.Errorf("silence %v, want %v", got, want)
		}
	case <-time.After(testTimeout):
		har.t.Fatal("no request was read")
	}
}

// respond lets the server respond to a request.
func (har *silenceHarness) respond() {
	har.t.Helper()
	har.answer <- struct{}{}
	rsp, err := http.ReadResponse(har.rdr, nil)
	if err != nil {
		har.t.Fatal(err)
	}
	_ = rsp.Body.Close()
}

// TestSilence guards against a request that a cut has held back and whose connection counts as one that was in use just before, so
// that its job is placed at once although the caller may have left. It also guards against requests that wait because of a silence
// before another one.
func TestSilence(t *testing.T) {
	tests := map[string]func(har *silenceHarness){
		"fresh connection": func(har *silenceHarness) {
			har.send(submission)
			har.check(0)
		},
		"connection accepted before": func(har *silenceHarness) {
			har.clk.advance(pause)
			har.send(submission)
			har.check(pause)
		},
		"after an answer": func(har *silenceHarness) {
			har.send(submission)
			har.check(0)
			har.respond()
			har.clk.advance(pause)
			har.send(submission)
			har.check(pause)
		},
		"answer written just before": func(har *silenceHarness) {
			har.send(submission)
			har.check(0)
			har.clk.advance(pause)
			har.respond()
			har.send(submission)
			har.check(pause)
		},
		"silence before the last request": func(har *silenceHarness) {
			har.clk.advance(pause)
			har.send(submission)
			har.check(pause)
			har.clk.advance(pipelineTime + 1)
			har.respond()
			har.send(submission)
			har.check(pipelineTime + 1)
		},
		"body after a silence": func(har *silenceHarness) {
			har.send(requestHead)
			har.awaitHead()
			har.clk.advance(pause)
			har.send("{}")
			har.check(pause)
		},
		"head after a silence, then the body": func(har *silenceHarness) {
			har.clk.advance(pause)
			har.send(requestHead)
			har.awaitHead()
			har.clk.advance(pause / 2)
			har.send("{}")
			har.check(pause)
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) { play(newSilenceHarness(t)) })
	}
}

// TestSilenceBeforePipelinedRequests guards against the same failure with a request that is sent before the answer to the last one, and
// read together with it.
func TestSilenceBeforePipelinedRequests(t *testing.T) {
	tests := map[string]func(har *silenceHarness){
		"pipelined after a silence": func(har *silenceHarness) {
			har.clk.advance(pause)
			har.send(submission + submission)
			har.check(pause)
			har.respond()
			har.check(pause)
		},
		"pipelined before a silence": func(har *silenceHarness) {
			har.send(submission + submission)
			har.check(0)
			har.clk.advance(pause)
			har.respond()
			har.check(pause)
		},
		"rest of a pipelined request": func(har *silenceHarness) {
			har.clk.advance(pause)
			har.send(submission + requestHead)
			har.check(pause)
			har.respond()
			har.awaitHead()
			har.awaitHead()
			har.send("{}")
			har.check(pause)
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) { play(newSilenceHarness(t)) })
	}
}

// TestSilenceOfUnreadRequest guards against a request that counts as a new one although it has waited in the socket of a process that
// was suspended or gets little CPU time.
func TestSilenceOfUnreadRequest(t *testing.T) {
	clk, lis, silences := &testClock{time: time.Unix(1000, 0)}, newLateListener(t), make(chan time.Duration, 1)
	srv := serve(measuredListener{Listener: lis, now: clk.now}, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		silences <- Silence(req.Context())
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
	awaitTrackedConnection(t, srv)
	if _, err := fmt.Fprint(con, submission); err != nil {
		t.Fatal(err)
	}
	awaitSocketEvent(t, <-lis.accepted, unix.POLLIN)
	clk.advance(pause)
	close(lis.readable)
	select {
	case got := <-silences:
		if got != pause {
			t.Errorf("silence %v, want %v", got, pause)
		}
	case <-time.After(testTimeout):
		t.Fatal("no request was handled")
	}
}

// TestSilenceBeforeAccept guards against a connection that counts as a fresh one although the kernel has opened it long before the
// process accepted it, as during a suspension. A request on it may come from a caller that has left.
func TestSilenceBeforeAccept(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clk := &testClock{time: time.Unix(1000, 0)}
	opened := measuredListener{Listener: lis, now: clk.now, age: func(net.Conn) time.Duration { return pause }}
	silences := make(chan time.Duration, 1)
	srv := serve(opened, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		silences <- Silence(req.Context())
	}), time.Minute)
	defer func() { _ = srv.Close() }()
	con, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	if _, err := fmt.Fprint(con, submission); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-silences:
		if got != pause {
			t.Errorf("silence %v, want %v", got, pause)
		}
	case <-time.After(testTimeout):
		t.Fatal("no request was handled")
	}
}

// TestReceiveAge guards against a kernel that does not tell when it has opened a connection which has received nothing.
func TestReceiveAge(t *testing.T) {
	const least = 20 * time.Millisecond
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	con, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	opened, tick := time.Now(), time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for time.Since(opened) < 2*least {
		<-tick.C
	}
	own, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = own.Close() }()
	if got := receiveAge(own); got < least || got > time.Since(opened)+least {
		t.Errorf("%v since the connection was opened, want about %v", got, time.Since(opened))
	}
}

// TestSilenceWithoutConnection guards against a panic for a request of which no connection is known.
func TestSilenceWithoutConnection(t *testing.T) {
	pipe, peer := net.Pipe()
	defer func() { _, _ = pipe.Close(), peer.Close() }()
	if got := Silence(t.Context()) + Silence(WithConnection(t.Context(), pipe)); got != 0 {
		t.Errorf("silence %v, want 0", got)
	}
	if CallerLeft(WithConnection(t.Context(), Measure(pipe, rgclock.Now(), rgclock.Now))) {
		t.Error("the caller of a connection without a socket counts as left")
	}
}
