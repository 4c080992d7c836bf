package rgwire

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"ragwortgap/core/rgintake"
	"ragwortgap/io/rgserver"
)

const (
	// MaxMessageBytes is the size limit of a notification. The specification of a job takes at most six times its size in JSON, and a
	// configuration of the store's largest size 1.4 MB.
	MaxMessageBytes = 8 << 20
	// frameBytes is the budget of a process for large notifications that are being read. One peer may hold half of it.
	frameBytes = rgintake.MinBytes
	// framePart is the number of bytes that are read at a time, so that a slow message counts as making progress.
	framePart = rgintake.SmallBytes
)

type (
	// frameBudget shares memory among the large notifications that are being read, as rgintake decides.
	frameBudget struct {
		mutex sync.Mutex
		state rgintake.State
		conns map[rgintake.BodyID]net.Conn
	}

	// frame is a large notification that is being read.
	frame struct {
		budget *frameBudget
		id     rgintake.BodyID
	}
)

// frames is the budget of this process.
var frames = frameBudget{state: rgintake.State{Limits: rgintake.Limits{Bytes: frameBytes}}}

// readFrame reads a notification that is prefixed with its length. Nothing else may read from con. done must be called when the bytes are
// no longer used.
func (fb *frameBudget) readFrame(con net.Conn, rdr *bufio.Reader) (raw []byte, done func(), err error) {
	size, err := binary.ReadUvarint(rdr)
	if err != nil {
		return nil, nil, err
	}
	if size > MaxMessageBytes {
		return nil, nil, errors.NotValidf("message of %d bytes, the limit is %d:", size, MaxMessageBytes)
	}
	if size <= rgintake.SmallBytes {
		raw = make([]byte, size)
		_, err = io.ReadFull(rdr, raw)
		return raw, func() {}, err
	}
	frm, err := fb.open(con)
	if err != nil {
		return nil, nil, err
	}
	raw, err = frm.read(rdr, int(size))
	if err != nil {
		frm.close()
		return nil, nil, err
	}
	return raw, frm.close, nil
}

func (fb *frameBudget) open(con net.Conn) (frame, error) {
	adr, _ := netip.ParseAddrPort(con.RemoteAddr().String())
	fb.mutex.Lock()
	defer fb.mutex.Unlock()
	id, ver := rgintake.Open(&fb.state, time.Now(), adr.Addr().Unmap(), framePart)
	fb.end(ver.Evicted)
	if ver.Refused != "" {
		return frame{}, errors.NotValidf("large message (refused, cause %s)", ver.Refused)
	}
	if fb.conns == nil {
		fb.conns = map[rgintake.BodyID]net.Conn{}
	}
	fb.conns[id] = con
	rgserver.SetLargeBuffer(con, true)
	return frame{budget: fb, id: id}, nil
}

// end closes the connections of evicted notifications.
func (fb *frameBudget) end(ids []rgintake.BodyID) {
	for _, id := range ids {
		// The peer may have closed the connection.
		_ = fb.conns[id].Close()
	}
}

// read reads the notification into a buffer that grows as its bytes arrive.
func (fm frame) read(rdr *bufio.Reader, size int) ([]byte, error) {
	raw := make([]byte, 0, framePart)
	for len(raw) < size {
		if len(raw) == cap(raw) {
			next := min(size, 4*cap(raw))
			if err := fm.grow(next - cap(raw)); err != nil {
				return nil, err
			}
			raw = append(make([]byte, 0, next), raw...)
		}
		part := raw[len(raw):min(cap(raw), len(raw)+framePart, size)]
		if _, err := io.ReadFull(rdr, part); err != nil {
			return nil, err
		}
		raw = raw[:len(raw)+len(part)]
		fm.receive(len(part))
	}
	return raw, fm.finish()
}

func (fm frame) grow(bytes int) error {
	fm.budget.mutex.Lock()
	defer fm.budget.mutex.Unlock()
	ver := rgintake.Grow(&fm.budget.state, time.Now(), fm.id, int64(bytes))
	fm.budget.end(ver.Evicted)
	if ver.Refused != "" {
		return errors.NotValidf("large message (refused, cause %s)", ver.Refused)
	}
	return nil
}

func (fm frame) receive(bytes int) {
	fm.budget.mutex.Lock()
	defer fm.budget.mutex.Unlock()
	rgintake.Receive(&fm.budget.state, time.Now(), fm.id, int64(bytes))
}

func (fm frame) finish() error {
	fm.budget.mutex.Lock()
	defer fm.budget.mutex.Unlock()
	if cause := rgintake.Finish(&fm.budget.state, fm.id); cause != "" {
		return errors.NotValidf("large message (refused, cause %s)", cause)
	}
	return nil
}

func (fm frame) close() {
	fm.budget.mutex.Lock()
	defer fm.budget.mutex.Unlock()
	rgserver.SetLargeBuffer(fm.budget.conns[fm.id], false)
	delete(fm.budget.conns, fm.id)
	rgintake.Close(&fm.budget.state, fm.id)
}
