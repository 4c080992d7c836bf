package rgwire

import (
	"context"
	"net"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestNotificationConn guards against lost and reordered messages, and against a connection that ends because of an unknown method
// of a newer version.
func TestNotificationConn(t *testing.T) {
	tests := map[string]struct {
		first []byte
		sent  []Message
	}{
		"one": {sent: []Message{EntryHeartbeat{Issued: 1}}},
		"many at once": {
			sent: []Message{EntryHeartbeat{Issued: 1}, EntryHeartbeat{Issued: 2}, EntryHeartbeat{Issued: 3}, EntryHeartbeat{Issued: 4}},
		},
		"after unknown method": {first: []byte("\x0e{\"method\":\"x\"}"), sent: []Message{EntryHeartbeat{Issued: 1}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			one, two := net.Pipe()
			got := make(chan Message, len(tc.sent))
			go StartNotificationConn(t.Context(), two).Read(func(msg Message) { got <- msg })
			if _, err := one.Write(tc.first); err != nil {
				t.Fatal(err)
			}
			nc := StartNotificationConn(t.Context(), one)
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

// TestNotificationConnClose guards against a connection that stays open after it has ended, and against a sender that blocks on a
// peer that does not read.
func TestNotificationConnClose(t *testing.T) {
	tests := map[string]func(stop context.CancelFunc, nc *NotificationConn, far net.Conn){
		"context ends":     func(stop context.CancelFunc, _ *NotificationConn, _ net.Conn) { stop() },
		"closed by caller": func(_ context.CancelFunc, nc *NotificationConn, _ net.Conn) { nc.Close() },
		"peer lost":        func(_ context.CancelFunc, _ *NotificationConn, far net.Conn) { _ = far.Close() },
		"peer does not read": func(_ context.CancelFunc, nc *NotificationConn, _ net.Conn) {
			for i := range 2 * sendQueueSize {
				nc.Send(EntryHeartbeat{Issued: rgmodel.SidecarTime(i)})
			}
		},
		"malformed message": func(_ context.CancelFunc, _ *NotificationConn, far net.Conn) { _, _ = far.Write([]byte("\x02{{")) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			near, far := net.Pipe()
			nc := StartNotificationConn(ctx, near)
			go nc.Read(func(Message) {})
			end(stop, nc, far)
			select {
			case <-nc.Done:
			case <-time.After(5 * time.Second):
				t.Error("connection is still open")
			}
		})
	}
}
