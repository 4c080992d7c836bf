// Package rgflood sends large and unfinished requests to a process and measures what they cost it. Only tests link it.
package rgflood

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// Length declares the length of the body.
	Length Framing = 0
	// LargeChunks sends the body in large chunks.
	LargeChunks Framing = 64 << 10
	// SmallChunks sends it in the smallest chunks, which cost the most CPU time.
	SmallChunks Framing = 1

	// missingBytes is how much of an unfinished body is missing.
	missingBytes = 3
	// wholeEvery is the number of clients of which one sends its whole body.
	wholeEvery = 8
	// writeTimeout ends a client whose bytes the process does not read. It is long because the machine may be busy.
	writeTimeout = 20 * time.Second
	dialTimeout  = 10 * time.Second
	// lockName is the name of the file that Lock uses. Tests of several packages run at the same time.
	lockName = "ragwortgap-flood.lock"
)

type (
	// Framing is the size of the chunks of a body, or Length.
	Framing int

	// Load describes the requests of a number of clients. Path may have a verb for the number of the client.
	Load struct {
		Address, Host, Path string
		Body                string
		Framing             Framing
		Clients             int
		// Whole makes all clients send their whole body. Otherwise most of them stop just short of its end.
		Whole bool
		// Head replaces the request, for clients that do not finish the headers.
		Head string
	}

	// Usage is what a process has used.
	Usage struct {
		// PeakBytes is the largest resident memory since the start.
		PeakBytes   int64
		Descriptors int
	}

	flood struct {
		mutex sync.Mutex
		conns []net.Conn
	}
)

// Lock waits until no other test floods a process of this machine, and returns the function that lets the next one begin.
func Lock() (unlock func(), err error) {
	fil, err := os.OpenFile(filepath.Join(os.TempDir(), lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Annotate(err, "open lock")
	}
	// Closing the file unlocks it, also when the process ends.
	return func() { _ = fil.Close() }, errors.Annotate(unix.Flock(int(fil.Fd()), unix.LOCK_EX), "lock")
}

// Send opens the connections of all clients and returns when each has sent its request, or the process no longer takes it. The
// connections stay open until the returned function is called.
func Send(ctx context.Context, lod Load) (closeAll func()) {
	var fld flood
	whole := lod.content()
	part := whole[:max(0, len(whole)-missingBytes)]
	var clients sync.WaitGroup
	for num := range lod.Clients {
		req := part
		if lod.Whole || num%wholeEvery == 0 {
			req = whole
		}
		clients.Go(func() { fld.send(ctx, lod.Address, lod.head(num), req) })
	}
	clients.Wait()
	return fld.close
}

// send opens a connection and writes the request to it. Errors are ignored, because the process may refuse the client.
func (fld *flood) send(ctx context.Context, adr, head string, req []byte) {
	dlr := net.Dialer{Timeout: dialTimeout}
	con, err := dlr.DialContext(ctx, "tcp", adr)
	if err != nil {
		return
	}
	fld.mutex.Lock()
	fld.conns = append(fld.conns, con)
	fld.mutex.Unlock()
	_ = con.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(con, head); err == nil {
		_, _ = con.Write(req)
	}
}

func (fld *flood) close() {
	for _, con := range fld.conns {
		// The process may have closed the connection.
		_ = con.Close()
	}
}

// head returns the request line and the headers of a client.
func (lod Load) head(num int) string {
	if lod.Head != "" {
		return lod.Head
	}
	path := lod.Path
	if strings.Contains(path, "%") {
		path = fmt.Sprintf(path, num)
	}
	framing := "Transfer-Encoding: chunked"
	if lod.Framing == Length {
		framing = fmt.Sprintf("Content-Length: %d", len(lod.Body))
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 20000\r\n%s\r\n\r\n", path, lod.Host, framing)
}

// content returns the bytes of the body.
func (lod Load) content() []byte {
	if lod.Head != "" || lod.Framing == Length {
		return []byte(lod.Body)
	}
	var txt strings.Builder
	for rest := lod.Body; rest != ""; {
		num := min(int(lod.Framing), len(rest))
		fmt.Fprintf(&txt, "%x\r\n%s\r\n", num, rest[:num])
		rest = rest[num:]
	}
	txt.WriteString("0\r\n\r\n")
	return []byte(txt.String())
}

// Measure returns what a process has used so far.
func Measure(pid int) (Usage, error) {
	dir := fmt.Sprintf("/proc/%d", pid)
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return Usage{}, errors.Annotate(err, "list descriptors")
	}
	raw, err := os.ReadFile(dir + "/status")
	if err != nil {
		return Usage{}, errors.Annotate(err, "read memory")
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	val, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kib, err := strconv.ParseInt(val, 10, 64)
	return Usage{PeakBytes: kib << 10, Descriptors: len(fds)}, errors.Annotate(err, "read VmHWM")
}
