package rgwire

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

type (
	// Peer is the other end of a connection.
	Peer struct {
		// Done is closed when the connection is lost.
		Done <-chan struct{}
		conn *jsonrpc2.Conn
	}

	// Handler answers a message; its reply is ignored for notifications.
	Handler func(ctx context.Context, per *Peer, msg Message) (any, error)

	// Result says how far a call came.
	Result interface{ isResult() }

	// Replied means that the peer answered; Err is set if it answered with an error.
	Replied struct{ Err error }

	// Unsent means that no octet of the message was written.
	Unsent struct{ Err error }

	// Unanswered means that the message may have been written and no answer came.
	Unanswered struct{ Err error }
)

func (Replied) isResult()    {}
func (Unsent) isResult()     {}
func (Unanswered) isResult() {}

// Serve starts to exchange messages over an open connection. Each message is handled in its own goroutine.
func Serve(ctx context.Context, con net.Conn, hdl Handler) *Peer {
	per := &Peer{}
	ready := make(chan struct{})
	han := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		<-ready
		var raw []byte
		if req.Params != nil {
			raw = *req.Params
		}
		msg, err := decode(req.Method, raw)
		if err != nil {
			return nil, err
		}
		return hdl(ctx, per, msg)
	}).SuppressErrClosed()
	str := jsonrpc2.NewBufferedStream(con, jsonrpc2.VarintObjectCodec{})
	per.conn = jsonrpc2.NewConn(ctx, str, jsonrpc2.AsyncHandler(han), jsonrpc2.SetLogger(quiet{}))
	per.Done = per.conn.DisconnectNotify()
	close(ready)
	return per
}

// Call sends a message and waits for the answer, which is stored in reply.
func (per *Peer) Call(ctx context.Context, msg Message, reply any) Result {
	select {
	case <-per.Done:
		return Unsent{Err: errors.Trace(jsonrpc2.ErrClosed)}
	default:
	}
	wtr, err := per.conn.DispatchCall(ctx, method(msg), msg)
	if err != nil {
		return Unanswered{Err: errors.Annotatef(err, "send %s", method(msg))}
	}
	err = wtr.Wait(ctx, reply)
	var rpe *jsonrpc2.Error
	switch {
	case err == nil:
		return Replied{}
	case errors.As(err, &rpe):
		return Replied{Err: errors.Annotatef(err, "call %s", method(msg))}
	default:
		return Unanswered{Err: errors.Annotatef(err, "call %s", method(msg))}
	}
}

// CallIdempotent is Call for messages that may safely be sent again, so that all failures are alike to the caller.
func (per *Peer) CallIdempotent(ctx context.Context, msg Message, reply any) error {
	switch res := per.Call(ctx, msg, reply).(type) {
	case Replied:
		return res.Err
	case Unsent:
		return res.Err
	case Unanswered:
		return res.Err
	default:
		return errors.NotSupportedf("result %T", res)
	}
}

// Notify sends a message that has no answer.
func (per *Peer) Notify(ctx context.Context, msg Message) error {
	return errors.Annotatef(per.conn.Notify(ctx, method(msg), msg), "notify %s", method(msg))
}

// Close ends the connection.
func (per *Peer) Close() {
	// The only error is that the connection is closed already.
	_ = per.conn.Close()
}

// quiet drops the library's own log lines; lost connections are logged by their owners as state changes.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}
