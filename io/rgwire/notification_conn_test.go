package rgwire

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestNotificationConn guards against lost and reordered messages, and against a connection that ends when a peer of a newer
// version sends an unknown method.
func TestNotificationConn(t *testing.T) {
	tests := map[string]struct {
		// before is written to the connection before the messages.
		before []byte
		sent   []Message
	}{
		"one": {sent: []Message{EntryHeartbeat{Issued: 1}}},
		"many at once": {
			sent: []Message{EntryHeartbeat{Issued: 1}, EntryHeartbeat{Issued: 2}, EntryHeartbeat{Issued: 3}, EntryHeartbeat{Issued: 4}},
		},
		"after unknown method": {before: []byte("\x0e{\"method\":\"x\"}"), sent: []Message{EntryHeartbeat{Issued: 1}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sender, receiver := net.Pipe()
			got := make(chan Message, len(tc.sent))
			go StartNotificationConn(t.Context(), receiver).Read(func(msg Message) { got <- msg })
			if _, err := sender.Write(tc.before); err != nil {
				t.Fatal(err)
			}
			nc := StartNotificationConn(t.Context(), sender)
			for _, msg := range tc.sent {
				nc.Send(msg)
			}
			for i, want := range tc.sent {
				select {
				case msg := <-got:
					if msg.(EntryHeartbeat).Issued != want.(EntryHeartbeat).Issued {
						t.Errorf("message %d is %v, want %v", i, msg, want)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("message %d did not arrive", i)
				}
			}
		})
	}
}

// TestNotificationConnClose guards against a connection that stays open after its context has ended, its caller has closed it,
// its peer has closed it or has sent a malformed message, and against a sender that blocks on a peer that does not read.
func TestNotificationConnClose(t *testing.T) {
	tests := map[string]func(stop context.CancelFunc, nc *NotificationConn, peer net.Conn){
		"context ends":     func(stop context.CancelFunc, _ *NotificationConn, _ net.Conn) { stop() },
		"closed by caller": func(_ context.CancelFunc, nc *NotificationConn, _ net.Conn) { nc.Close() },
		"peer lost":        func(_ context.CancelFunc, _ *NotificationConn, peer net.Conn) { _ = peer.Close() },
		"peer does not read": func(_ context.CancelFunc, nc *NotificationConn, _ net.Conn) {
			for i := range 2 * sendQueueSize {
				nc.Send(EntryHeartbeat{Issued: rgmodel.SidecarTime(i)})
			}
		},
		"malformed message": func(_ context.CancelFunc, _ *NotificationConn, peer net.Conn) { _, _ = peer.Write([]byte("\x02{{")) },
		"parameters of another type": func(_ context.CancelFunc, _ *NotificationConn, peer net.Conn) {
			writeNotification(peer, `{"method":"progress","params":{"ends":7}}`)
		},
		"number out of range": func(_ context.CancelFunc, _ *NotificationConn, peer net.Conn) {
			writeNotification(peer, `{"method":"pulse","params":{"issued":36893488147419103232}}`)
		},
		"deeply nested": func(_ context.CancelFunc, _ *NotificationConn, peer net.Conn) {
			writeNotification(peer, `{"method":"pulse","params":`+strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)+`}`)
		},
		"length out of range": func(_ context.CancelFunc, _ *NotificationConn, peer net.Conn) {
			_, _ = peer.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
		},
		"length of the largest integer": func(_ context.CancelFunc, _ *NotificationConn, peer net.Conn) {
			_, _ = peer.Write(append(binary.AppendUvarint(nil, math.MaxUint64), "{}"...))
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			local, peer := net.Pipe()
			nc := StartNotificationConn(ctx, local)
			go nc.Read(func(Message) {})
			end(stop, nc, peer)
			select {
			case <-nc.Done:
			case <-time.After(5 * time.Second):
				t.Error("connection is still open")
			}
		})
	}
}

// writeNotification writes a message with its length. The connection may be closed before all of it is read.
func writeNotification(con net.Conn, txt string) {
	_, _ = con.Write(append(binary.AppendUvarint(nil, uint64(len(txt))), txt...))
}

// TestNotificationConnAtStop guards against a message that is lost because its process stops right after it was queued: the end of the last
// run of a sidecar that drains, or the cancellation of tasks by an entry that does.
func TestNotificationConnAtStop(t *testing.T) {
	// Without the guard, the end of the context and the message are equally likely to be seen first.
	const attempts = 20
	for range attempts {
		sender, receiver := net.Pipe()
		got := make(chan Message, 1)
		read := StartNotificationConn(t.Context(), receiver)
		go read.Read(func(msg Message) { got <- msg })
		ctx, stop := context.WithCancel(t.Context())
		nc := &NotificationConn{Done: make(chan struct{}), conn: sender, msgs: make(chan Message, 1)}
		nc.Send(EntryHeartbeat{Issued: 1})
		stop()
		nc.write(ctx)
		<-read.Done
		if len(got) != 1 {
			t.Fatal("the message that was queued before the stop did not arrive")
		}
	}
}
