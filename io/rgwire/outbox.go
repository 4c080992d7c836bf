package rgwire

import (
	"context"
	"net"
	"time"
)

const (
	// outboxSize is the number of messages that may wait for a slow peer before its connection is given up.
	outboxSize = 1024
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = time.Second
)

type (
	// Outbox sends notifications to a peer without ever blocking the caller. They arrive in the order of Post.
	Outbox struct {
		// Done is closed when the connection is lost.
		Done <-chan struct{}
		peer *Peer
		msgs chan Message
	}

	// boundedConn gives up a write that a peer does not take.
	boundedConn struct{ net.Conn }
)

// Write fails if the peer does not take the octets in time.
func (bc boundedConn) Write(buf []byte) (int, error) {
	if err := bc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return bc.Conn.Write(buf)
}

// Open starts to exchange notifications over a connection. The handler is called for one message after the other.
func Open(ctx context.Context, con net.Conn, hdl func(Message)) *Outbox {
	per := ServeInOrder(ctx, boundedConn{con}, func(_ context.Context, _ *Peer, msg Message) (any, error) {
		hdl(msg)
		return nil, nil
	})
	obx := &Outbox{Done: per.Done, peer: per, msgs: make(chan Message, outboxSize)}
	go obx.write(ctx)
	return obx
}

func (obx *Outbox) write(ctx context.Context) {
	for {
		select {
		case <-obx.Done:
			return
		case <-ctx.Done():
			obx.peer.Close()
			return
		case msg := <-obx.msgs:
			if err := obx.peer.Notify(ctx, msg); err != nil {
				// A connection that a message is missing from is of no use; its loss is what both sides notice.
				obx.peer.Close()
				return
			}
		}
	}
}

// Post sends a message soon. If too many wait already, the connection is closed.
func (obx *Outbox) Post(msg Message) {
	select {
	case obx.msgs <- msg:
	default:
		obx.peer.Close()
	}
}

// Close ends the connection.
func (obx *Outbox) Close() { obx.peer.Close() }
