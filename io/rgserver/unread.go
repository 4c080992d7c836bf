package rgserver

import (
	"context"
	"net/http"
	"time"
)

// unreadTime is how long the HTTP server may read a body after its handler has ignored it. It reads the rest before it sends the response,
// so that the connection can be used again, and would wait forever for a body that does not end.
const unreadTime = time.Second

// withRecording returns a handler that records the end of each request on its connection, and bounds the time for a body that was not
// read.
func withRecording(hdl http.Handler) http.Handler {
	return http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		con := measuredOf(req.Context())
		if con == nil {
			hdl.ServeHTTP(wtr, req)
			return
		}
		con.recordBody(req.ContentLength == 0)
		hdl.ServeHTTP(wtr, req)
		if !con.isBodyHandled() {
			// An error means that the connection is closed.
			_ = con.SetReadDeadline(time.Now().Add(unreadTime))
		}
		con.recordAnswer()
	})
}

// measuredOf returns the connection of a request, or nil.
func measuredOf(ctx context.Context) *measuredConn {
	cal, _ := ctx.Value(connectionKey{}).(callerConn)
	return cal.measured
}

// recordBodyHandled records that the body of a request was read whole or refused.
func recordBodyHandled(req *http.Request) {
	if con := measuredOf(req.Context()); con != nil {
		con.recordBody(true)
	}
}

// receivedBytes returns the number of bytes that were read from the connection of a request, or zero if it is unknown.
func receivedBytes(req *http.Request) int64 {
	con := measuredOf(req.Context())
	if con == nil {
		return 0
	}
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return con.received
}

func (con *measuredConn) recordBody(handled bool) {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	con.bodyHandled = handled
}

func (con *measuredConn) isBodyHandled() bool {
	con.mutex.Lock()
	defer con.mutex.Unlock()
	return con.bodyHandled
}
