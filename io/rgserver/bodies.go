package rgserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"ragwortgap/core/rgintake"
	"ragwortgap/io/rgclock"
)

const (
	// expireInterval is how often bodies are checked against their time limits, and the metrics are updated.
	expireInterval = 500 * time.Millisecond
	// growthFactor is how much more memory a body gets when it has filled its own.
	growthFactor = 4
)

// ErrTooLarge is returned for a body above the limit of its route.
var ErrTooLarge = errors.New("request body too large")

type (
	// RefusedError reports a body that was not read because of a limit of the process. Its request was not carried out.
	RefusedError struct{ Cause rgintake.Cause }

	// Bodies shares the memory of a process among the bodies of requests, as rgintake decides. The zero value has the default limits and
	// ends no body on its own. Its clock stops while the machine is suspended, during which nothing can arrive.
	Bodies struct {
		// Done is closed when bodies are no longer checked against their time limits.
		Done chan struct{}

		mutex   sync.Mutex
		state   rgintake.State
		writers map[rgintake.BodyID]http.ResponseWriter
	}

	// Body is a body that was read whole. Its memory stays reserved until Release.
	Body struct {
		Bytes []byte

		bodies *Bodies
		id     rgintake.BodyID
	}

	// bodyReader is a body that is being read.
	bodyReader struct {
		Body
		request *http.Request
		limit   int64
		// received is the number of bytes that were read from the connection before.
		received int64
		// large is set once the connection has a receive buffer for a large body.
		large bool
	}
)

// Error returns the cause.
func (re RefusedError) Error() string { return fmt.Sprintf("request body refused: %s", re.Cause) }

// StartBodies returns the bodies of a process, which are checked against their time limits until ctx ends.
func StartBodies(ctx context.Context, lim rgintake.Limits, sco tally.Scope) *Bodies {
	bds := &Bodies{Done: make(chan struct{}), state: rgintake.State{Limits: lim}}
	go bds.run(ctx, sco)
	return bds
}

func (bds *Bodies) run(ctx context.Context, sco tally.Scope) {
	defer close(bds.Done)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			bds.expire(sco)
		case <-ctx.Done():
			return
		}
	}
}

// expire ends overdue bodies and updates the metrics.
func (bds *Bodies) expire(sco tally.Scope) {
	bds.mutex.Lock()
	defer bds.mutex.Unlock()
	bds.end(rgintake.Expire(&bds.state, time.Now()))
	reading := 0
	for _, bod := range bds.state.Bodies {
		if bod.Reading {
			reading++
		}
	}
	sco.Gauge("bodiesReading").Update(float64(reading))
	sco.Gauge("bodyBytesHeld").Update(float64(bds.state.Held + bds.state.HeldByEnded))
	for cause, num := range bds.state.Refused {
		sco.Tagged(map[string]string{"cause": string(cause)}).Counter("bodiesRefused").Inc(num)
	}
	clear(bds.state.Refused)
}

// end makes the reads of bodies return. It is called with the mutex locked, so that their handlers have not returned.
func (bds *Bodies) end(ids []rgintake.BodyID) {
	for _, id := range ids {
		endReads(bds.writers[id])
	}
}

// endReads makes reads from the connection of a request fail. The response can still be written.
func endReads(wtr http.ResponseWriter) {
	// A connection that does not support deadlines belongs to a test.
	_ = http.NewResponseController(wtr).SetReadDeadline(time.Unix(1, 0))
}

// Read reads the body of a request. It fails with ErrTooLarge, with a RefusedError, or with the error of the connection; the connection
// is then closed after the response. A body of up to limit bytes gets its memory as its bytes arrive.
func (bds *Bodies) Read(wtr http.ResponseWriter, req *http.Request, limit int64) (*Body, error) {
	if bds == nil {
		bds = &Bodies{}
	}
	rdr := &bodyReader{Body: Body{bodies: bds}, request: req, limit: limit, received: receivedBytes(req)}
	err := rdr.open(wtr)
	if err == nil {
		err = rdr.readAll()
	}
	if rdr.large {
		setLargeBuffer(req, false)
	}
	if err != nil {
		rdr.Release()
		wtr.Header().Set("Connection", "close")
		endReads(wtr)
		recordBodyHandled(req)
		return nil, err
	}
	recordBodyHandled(req)
	return &rdr.Body, nil
}

// setLargeBuffer is SetLargeBuffer for the connection of a request.
func setLargeBuffer(req *http.Request, large bool) {
	if con := measuredOf(req.Context()); con != nil {
		SetLargeBuffer(con.Conn, large)
	}
}

// open reserves the first bytes.
func (rdr *bodyReader) open(wtr http.ResponseWriter) error {
	if rdr.request.ContentLength > rdr.limit {
		return ErrTooLarge
	}
	size := rdr.size(rgintake.FirstBytes)
	bds := rdr.bodies
	bds.mutex.Lock()
	defer bds.mutex.Unlock()
	id, ver := rgintake.Open(&bds.state, time.Now(), clientOf(rdr.request), size)
	bds.end(ver.Evicted)
	if ver.Refused != "" {
		return RefusedError{Cause: ver.Refused}
	}
	if bds.writers == nil {
		bds.writers = map[rgintake.BodyID]http.ResponseWriter{}
	}
	bds.writers[id] = wtr
	rdr.id = id
	rdr.Bytes = make([]byte, 0, size)
	return nil
}

// size returns the size of the buffer that is next, which is at most that of the largest body and a byte that shows a larger one.
func (rdr *bodyReader) size(next int64) int64 {
	if rdr.request.ContentLength >= 0 {
		return min(next, max(rdr.request.ContentLength, 1))
	}
	return min(next, rdr.limit+1)
}

func (rdr *bodyReader) readAll() error {
	for {
		if len(rdr.Bytes) == cap(rdr.Bytes) {
			if err := rdr.grow(); err != nil {
				return err
			}
		}
		num, err := rdr.request.Body.Read(rdr.Bytes[len(rdr.Bytes):cap(rdr.Bytes)])
		rdr.Bytes = rdr.Bytes[:len(rdr.Bytes)+num]
		switch {
		case int64(len(rdr.Bytes)) > rdr.limit:
			return ErrTooLarge
		case err == io.EOF:
			return rdr.finish(nil)
		case err != nil:
			return rdr.finish(err)
		}
		if err := rdr.receive(int64(num)); err != nil {
			return err
		}
	}
}

// grow reserves a larger buffer and moves the body to it.
func (rdr *bodyReader) grow() error {
	old := int64(cap(rdr.Bytes))
	size := rdr.size(growthFactor * old)
	if size == old {
		// The declared length is complete, and the next read returns the end of the body.
		size++
	}
	if err := rdr.bodies.reserve(rdr.id, size-old); err != nil {
		return err
	}
	if !rdr.large && size > receiveBuffer {
		rdr.large = true
		setLargeBuffer(rdr.request, true)
	}
	buf := make([]byte, len(rdr.Bytes), size)
	copy(buf, rdr.Bytes)
	rdr.Bytes = buf
	return nil
}

func (bds *Bodies) reserve(id rgintake.BodyID, bytes int64) error {
	bds.mutex.Lock()
	defer bds.mutex.Unlock()
	ver := rgintake.Grow(&bds.state, time.Now(), id, bytes)
	bds.end(ver.Evicted)
	if ver.Refused != "" {
		return RefusedError{Cause: ver.Refused}
	}
	return nil
}

// receive records bytes that have arrived, and waits if the body consists of too many chunks.
func (rdr *bodyReader) receive(bytes int64) error {
	overhead := int64(0)
	if rdr.request.ContentLength < 0 {
		before := rdr.received
		rdr.received = receivedBytes(rdr.request)
		overhead = max(0, rdr.received-before-bytes)
	}
	bds := rdr.bodies
	bds.mutex.Lock()
	rgintake.Receive(&bds.state, time.Now(), rdr.id, bytes)
	wait, cause := time.Duration(0), rgintake.Cause("")
	if overhead > 0 {
		wait, cause = rgintake.Throttle(&bds.state, time.Now(), overhead)
	}
	bds.mutex.Unlock()
	if cause != "" {
		return RefusedError{Cause: cause}
	}
	if wait > 0 && !rgclock.Sleep(rdr.request.Context(), wait) {
		return errors.Trace(rdr.request.Context().Err())
	}
	return nil
}

// finish records the end of the body, or the error that has ended it. A body that was ended by a limit is refused, even if its last bytes
// arrived at the same time: the connection may no longer be readable, so the job would count as that of a caller that has left.
func (rdr *bodyReader) finish(err error) error {
	bds := rdr.bodies
	bds.mutex.Lock()
	defer bds.mutex.Unlock()
	delete(bds.writers, rdr.id)
	if cause := rgintake.Finish(&bds.state, rdr.id); cause != "" {
		return RefusedError{Cause: cause}
	}
	return errors.Trace(err)
}

// ReserveDecoding reserves as much memory again for what is decoded from the body. It fails with a RefusedError.
func (bod *Body) ReserveDecoding() error {
	if len(bod.Bytes) <= rgintake.SmallBytes {
		return nil
	}
	return bod.bodies.reserve(bod.id, int64(len(bod.Bytes)))
}

// Keep drops the bytes of the body and reserves the memory of what was decoded from them instead.
func (bod *Body) Keep(bytes int64) {
	bod.Bytes = nil
	bod.bodies.mutex.Lock()
	defer bod.bodies.mutex.Unlock()
	rgintake.Keep(&bod.bodies.state, bod.id, bytes)
}

// Release returns the memory of the body.
func (bod *Body) Release() {
	bod.Bytes = nil
	bod.bodies.mutex.Lock()
	defer bod.bodies.mutex.Unlock()
	delete(bod.bodies.writers, bod.id)
	rgintake.Close(&bod.bodies.state, bod.id)
}

// MaxBody returns the size of the largest body that can be served.
func (bds *Bodies) MaxBody() int64 {
	if bds == nil {
		return rgintake.Limits{}.MaxBody()
	}
	return bds.state.Limits.MaxBody()
}

// clientOf returns the address of the caller, or the zero value if it is unknown.
func clientOf(req *http.Request) netip.Addr {
	adr, _ := netip.ParseAddrPort(req.RemoteAddr)
	return adr.Addr().Unmap()
}
