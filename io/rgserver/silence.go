package rgserver

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// pipelineTime is the time within which bytes that follow a request count as sent together with it.
const pipelineTime = 20 * time.Millisecond

type (
	// measuredListener accepts connections whose silences are measured.
	measuredListener struct {
		net.Listener
		now func() time.Time
		// age returns how long ago the socket of an accepted connection last received something; nil if that does not count.
		age func(con net.Conn) time.Duration
	}

	// measuredConn is a connection that measures how long it was silent before a request. A silence lasts from the time at which
	// bytes were read, or the connection accepted, to the next read, because only that includes a cut which has held back the bytes
	// and a suspension of the process.
	measuredConn struct {
		net.Conn
		now      func() time.Time
		mutex    sync.Mutex
		lastRead time.Time
		// longest is the longest silence since the last answered request, and longestEnd is when it ended.
		longest    time.Duration
		longestEnd time.Time
		// answered is set when a request was answered and nothing has been read since.
		answered bool
		// received is the number of bytes that were read.
		received int64
		// bodyHandled is set once the body of the last request was read whole or refused.
		bodyHandled bool
	}
)

// Accept returns the next connection. The kernel may have opened it long ago if the process was suspended.
func (lis measuredListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	opened := lis.now()
	if lis.age != nil {
		opened = opened.Add(-lis.age(con))
	}
	return Measure(con, opened, lis.now), nil
}

// receiveAge returns how long ago the socket of a connection last received data, or was opened, or zero if it is unknown.
func receiveAge(con net.Conn) time.Duration {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	age := time.Duration(0)
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		if inf, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(inf.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// Measure returns a connection whose silences are measured from the time at which it was opened, for WithConnection.
func Measure(con net.Conn, opened time.Time, now func() time.Time) net.Conn {
	return &measuredConn{Conn: con, now: now, lastRead: opened}
}

// Read reads bytes and records the silence that they end.
func (con *measuredConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if num > 0 {
		con.recordRead(num)
	}
	return num, err
}

func (con *measuredConn) recordRead(num int) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.received += int64(num)
	now := con.now()
	if con.answered && now.Sub(con.longestEnd) > pipelineTime {
		con.longest = 0
	}
	con.answered = false
	if gap := now.Sub(con.lastRead); gap >= con.longest {
		con.longest, con.longestEnd = gap, now
	}
	con.lastRead = now
}

// recordAnswer records that a request was answered. The silences before it do not count for the next one, unless that was read soon
// after them.
func (con *measuredConn) recordAnswer() {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.answered = true
}

func (con *measuredConn) silence() time.Duration {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return max(con.longest, con.now().Sub(con.lastRead))
}

// SyscallConn returns the socket of the connection.
func (con *measuredConn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("socket of a %T", con.Conn)
	}
	return sys.SyscallConn()
}

// CloseWrite closes the writing side, which lets the HTTP server close a connection without a reset that would cost the caller its
// answer.
func (con *measuredConn) CloseWrite() error {
	if wtr, ok := con.Conn.(interface{ CloseWrite() error }); ok {
		return wtr.CloseWrite()
	}
	return errors.NotSupportedf("closing the writing side of a %T", con.Conn)
}

// Silence returns the longest time for which nothing was read from the connection of a request before all of the request was read, or
// zero if it is unknown. The caller may have left during that time.
func Silence(ctx context.Context) time.Duration {
	cal, _ := ctx.Value(connectionKey{}).(callerConn)
	if cal.measured == nil {
		return 0
	}
	return cal.measured.silence()
}
