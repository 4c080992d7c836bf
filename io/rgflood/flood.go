// Package rgflood sends large and unfinished requests to a process and measures what they cost it. Only tests link it.
package rgflood

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
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
		// PieceBytes makes the clients send in pieces of this size, all of them one piece after the other. Zero means at once.
		PieceBytes int
		// Raw replaces the request, for clients that send something else. All of them send it as it is.
		Raw string
	}

	// client is a connection to the process, nil if it was not opened, and what is left to send over it.
	client struct {
		conn net.Conn
		rest []byte
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
	whole := lod.content()
	part := whole[:max(0, len(whole)-missingBytes)]
	size := lod.PieceBytes
	if size <= 0 {
		size = max(1, len(whole))
	}
	clients := make([]client, lod.Clients)
	forEach(clients, func(num int, cl *client) {
		cl.rest = part
		if lod.Whole || lod.Raw != "" || num%wholeEvery == 0 {
			cl.rest = whole
		}
		cl.open(ctx, lod.Address, lod.head(num))
		cl.send(size)
	})
	for sent := size; sent < len(whole); sent += size {
		forEach(clients, func(_ int, cl *client) { cl.send(size) })
	}
	return func() {
		for _, cl := range clients {
			if cl.conn != nil {
				// The process may have closed the connection.
				_ = cl.conn.Close()
			}
		}
	}
}

// forEach calls the function for all clients at the same time and returns when all calls have.
func forEach(clients []client, call func(num int, cl *client)) {
	var calls sync.WaitGroup
	for num := range clients {
		calls.Go(func() { call(num, &clients[num]) })
	}
	calls.Wait()
}

// open opens the connection and sends the head. Errors are ignored, because the process may refuse the client.
func (cl *client) open(ctx context.Context, adr, head string) {
	dlr := net.Dialer{Timeout: dialTimeout}
	con, err := dlr.DialContext(ctx, "tcp", adr)
	if err != nil {
		cl.rest = nil
		return
	}
	cl.conn = con
	_ = con.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(con, head); err != nil {
		cl.rest = nil
	}
}

// send sends up to size bytes of what is left.
func (cl *client) send(size int) {
	piece := cl.rest[:min(size, len(cl.rest))]
	cl.rest = cl.rest[len(piece):]
	if len(piece) == 0 {
		return
	}
	if _, err := cl.conn.Write(piece); err != nil {
		cl.rest = nil
	}
}

// head returns the request line and the headers of a client.
func (lod Load) head(num int) string {
	if lod.Raw != "" {
		return ""
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
	switch {
	case lod.Raw != "":
		return []byte(lod.Raw)
	case lod.Framing == Length:
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
