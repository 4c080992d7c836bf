// Package rgflood sends large and unfinished requests to a process and measures what they cost it. Only tests link it.
package rgflood

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// Length declares the length of the body.
	Length Framing = 0
	// LargeChunks and SmallChunks send it in chunks of these sizes.
	LargeChunks Framing = 64 << 10
	// SmallChunks are the smallest ones, which cost the most CPU time.
	SmallChunks Framing = 1

	// missingBytes is how much of an unfinished body is missing.
	missingBytes = 3
	// wholeEvery is the number of clients of which one sends its whole body.
	wholeEvery = 8
	// writeTimeout ends a client whose bytes the process does not read. It is long because the machine may be busy.
	writeTimeout = 20 * time.Second
	dialTimeout  = 10 * time.Second
)

type (
	// Framing is the size of the chunks of a body, or Length.
	Framing int

	// Load describes the requests of a number of clients.
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

// Send opens the connections of all clients and returns when each has sent its request, or the process no longer takes it. The
// connections stay open until the returned function is called.
func Send(ctx context.Context, lod Load) (closeAll func()) {
	var fld flood
	whole, part := lod.request(true), lod.request(false)
	var clients sync.WaitGroup
	for num := range lod.Clients {
		req := part
		if lod.Whole || num%wholeEvery == 0 {
			req = whole
		}
		clients.Go(func() { fld.send(ctx, lod.Address, req) })
	}
	clients.Wait()
	return fld.close
}

// send opens a connection and writes the request to it. Errors are ignored, because the process may refuse the client.
func (fld *flood) send(ctx context.Context, adr string, req []byte) {
	dlr := net.Dialer{Timeout: dialTimeout}
	con, err := dlr.DialContext(ctx, "tcp", adr)
	if err != nil {
		return
	}
	fld.mutex.Lock()
	fld.conns = append(fld.conns, con)
	fld.mutex.Unlock()
	_ = con.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = con.Write(req)
}

func (fld *flood) close() {
	for _, con := range fld.conns {
		// The process may have closed the connection.
		_ = con.Close()
	}
}

// request returns the bytes of a request, or all but the last ones.
func (lod Load) request(whole bool) []byte {
	if lod.Head != "" {
		return []byte(lod.Head)
	}
	var req strings.Builder
	fmt.Fprintf(&req, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 20000\r\n", lod.Path, lod.Host)
	if lod.Framing == Length {
		fmt.Fprintf(&req, "Content-Length: %d\r\n\r\n%s", len(lod.Body), lod.Body)
	} else {
		req.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := lod.Body; rest != ""; {
			num := min(int(lod.Framing), len(rest))
			fmt.Fprintf(&req, "%x\r\n%s\r\n", num, rest[:num])
			rest = rest[num:]
		}
		req.WriteString("0\r\n\r\n")
	}
	if whole {
		return []byte(req.String())
	}
	return []byte(req.String()[:req.Len()-missingBytes])
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
