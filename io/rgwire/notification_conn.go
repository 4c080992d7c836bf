package rgwire

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// sendQueueSize is the number of messages that may be queued for a slow peer before its connection is closed.
	sendQueueSize = 1024
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = time.Second
	// bufferBytes fits a few messages. It is small because an entry has two buffers for each sidecar of the fleet.
	bufferBytes = 2048
	// protocolVersion is the JSON-RPC version.
	protocolVersion = "2.0"
)

type (
	// NotificationConn sends and reads notifications over a connection. Send does not block its caller; the notifications arrive
	// in the order of its calls.
	NotificationConn struct {
		// Done is closed when the connection is lost.
		Done chan struct{}
		once sync.Once
		conn net.Conn
		msgs chan Message
	}

	// notification is an outgoing notification. The library's own type is encoded and checked several times over, which
	// costs an entry with many sidecars a large part of its CPU time.
	notification struct {
		Version string  `json:"jsonrpc"`
		Method  string  `json:"method"`
		Params  Message `json:"params"`
	}

	// rawNotification is an incoming notification whose parameters are not decoded yet.
	rawNotification struct {
		Method string          `json:"method"`
		Params json.RawMessage `json:"params"`
	}
)

// StartNotificationConn starts sending notifications over a connection. Sending ends when the connection is lost or ctx ends.
func StartNotificationConn(ctx context.Context, con net.Conn) *NotificationConn {
	nc := &NotificationConn{Done: make(chan struct{}), conn: con, msgs: make(chan Message, sendQueueSize)}
	go nc.write(ctx)
	return nc
}

// Read passes messages to hdl, one at a time, until the connection is lost or a message cannot be parsed.
func (nc *NotificationConn) Read(hdl func(Message)) {
	defer nc.Close()
	buf := bufio.NewReaderSize(nc.conn, bufferBytes)
	for {
		msg, err := readNotification(nc.conn, buf)
		if errors.Is(err, errors.NotSupported) {
			// Newer versions may send unknown methods.
			continue
		}
		if err != nil {
			// A stream with a missing message is unusable: it may have contained the ends of tasks.
			return
		}
		hdl(msg)
	}
}

func readNotification(con net.Conn, buf *bufio.Reader) (Message, error) {
	raw, done, err := frames.readFrame(con, buf)
	if err != nil {
		return nil, err
	}
	defer done()
	var ntf rawNotification
	if err := json.Unmarshal(raw, &ntf); err != nil {
		return nil, errors.Trace(err)
	}
	return Decode(ntf.Method, ntf.Params)
}

func (nc *NotificationConn) write(ctx context.Context) {
	defer nc.Close()
	buf := bufio.NewWriterSize(nc.conn, bufferBytes)
	for {
		select {
		case <-nc.Done:
			return
		case <-ctx.Done():
			// Messages that are queued when the process stops are still sent: they may report the ends of tasks or cancel some.
			select {
			case msg := <-nc.msgs:
				// The connection ends in any case.
				_ = nc.flush(buf, msg)
			default:
			}
			return
		case msg := <-nc.msgs:
			if err := nc.flush(buf, msg); err != nil {
				// A stream with a missing message is unusable. Closing the connection makes both sides notice.
				return
			}
		}
	}
}

// flush sends the message together with all others that are queued.
func (nc *NotificationConn) flush(buf *bufio.Writer, msg Message) error {
	if err := nc.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		ntf := notification{Version: protocolVersion, Method: methodOf(msg), Params: msg}
		if err := (jsonrpc2.VarintObjectCodec{}).WriteObject(buf, ntf); err != nil {
			return err
		}
		select {
		case msg = <-nc.msgs:
		default:
			return buf.Flush()
		}
	}
}

// Send queues a message. If the queue is full, it closes the connection.
func (nc *NotificationConn) Send(msg Message) {
	select {
	case nc.msgs <- msg:
	default:
		nc.Close()
	}
}

// Close ends the connection.
func (nc *NotificationConn) Close() {
	nc.once.Do(func() {
		close(nc.Done)
		// The only possible error is that the connection is already closed.
		_ = nc.conn.Close()
	})
}
