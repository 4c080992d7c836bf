package rgwire

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"ragwortgap/io/rgserver"
)

type (
	// Peer is a connection to another process for requests and notifications.
	Peer struct {
		// Done is closed when the connection is lost.
		Done <-chan struct{}
		conn *jsonrpc2.Conn
	}

	// Handler processes a message and returns its reply, which is ignored for notifications.
	Handler func(ctx context.Context, per *Peer, msg Message) (any, error)

	// Result is the outcome of a call.
	Result interface{ isResult() }

	// Replied means that the peer replied. Err is set if the reply is an error.
	Replied struct{ Err error }

	// Unsent means that no byte of the message was written.
	Unsent struct{ Err error }

	// NoReply means that the message may have been written and no reply came.
	NoReply struct{ Err error }
)

func (Replied) isResult() {}
func (Unsent) isResult()  {}
func (NoReply) isResult() {}

// ServeRequests starts exchanging requests and notifications over an open connection. Each message is handled in a goroutine
// of its own.
func ServeRequests(ctx context.Context, con net.Conn, hdl Handler) *Peer {
	// The size of requests is not limited.
	rgserver.SetLargeBuffer(con, true)
	per := &Peer{}
	ready := make(chan struct{})
	han := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		<-ready
		var raw []byte
		if req.Params != nil {
			raw = *req.Params
		}
		msg, err := Decode(req.Method, raw)
		if err != nil {
			return nil, err
		}
		return hdl(ctx, per, msg)
	}).SuppressErrClosed()
	str := jsonrpc2.NewBufferedStream(con, jsonrpc2.VarintObjectCodec{})
	per.conn = jsonrpc2.NewConn(ctx, str, jsonrpc2.AsyncHandler(han), jsonrpc2.SetLogger(discardLogger{}))
	per.Done = per.conn.DisconnectNotify()
	close(ready)
	return per
}

// Call sends a message and waits for the reply, which is stored in reply.
func (per *Peer) Call(ctx context.Context, msg Message, reply any) Result {
	select {
	case <-per.Done:
		return Unsent{Err: errors.Trace(jsonrpc2.ErrClosed)}
	default:
	}
	wtr, err := per.conn.DispatchCall(ctx, methodOf(msg), msg)
	if err != nil {
		return NoReply{Err: errors.Annotatef(err, "send %s", methodOf(msg))}
	}
	err = wtr.Wait(ctx, reply)
	var rpe *jsonrpc2.Error
	switch {
	case err == nil:
		return Replied{}
	case errors.As(err, &rpe):
		return Replied{Err: errors.Annotatef(err, "call %s", methodOf(msg))}
	default:
		return NoReply{Err: errors.Annotatef(err, "call %s", methodOf(msg))}
	}
}

// CallIdempotent is Call for messages that may safely be sent again, so all failures are alike to the caller.
func (per *Peer) CallIdempotent(ctx context.Context, msg Message, reply any) error {
	switch res := per.Call(ctx, msg, reply).(type) {
	case Replied:
		return res.Err
	case Unsent:
		return res.Err
	case NoReply:
		return res.Err
	default:
		return errors.NotSupportedf("result %T", res)
	}
}

// Notify sends a notification, to which there is no reply.
func (per *Peer) Notify(ctx context.Context, msg Message) error {
	return errors.Annotatef(per.conn.Notify(ctx, methodOf(msg), msg), "notify %s", methodOf(msg))
}

// Close ends the connection.
func (per *Peer) Close() {
	// The only possible error is that the connection is already closed.
	_ = per.conn.Close()
}

// discardLogger drops the log lines of the library. The owners of connections log lost connections as state changes.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}
