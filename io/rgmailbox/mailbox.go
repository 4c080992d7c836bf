// Package rgmailbox passes events from traffic goroutines to the control goroutine of a process.
package rgmailbox

import "context"

// capacity lets traffic goroutines continue while the control goroutine handles a burst of events.
const capacity = 256

// Mailbox is a queue of events for the control goroutine. Both channels must be set, as New does.
type Mailbox[Event any] struct {
	Events chan Event
	// Done is closed once the control goroutine handles no more events.
	Done chan struct{}
}

// New returns an empty mailbox.
func New[Event any]() Mailbox[Event] {
	return Mailbox[Event]{Events: make(chan Event, capacity), Done: make(chan struct{})}
}

// Send queues an event. It returns false if ctx or the control goroutine ends first.
func (mbx Mailbox[Event]) Send(ctx context.Context, evt Event) bool {
	select {
	case mbx.Events <- evt:
		return true
	case <-ctx.Done():
		return false
	case <-mbx.Done:
		return false
	}
}

// Call queues an event and waits for its reply. It returns false if ctx or the control goroutine ends first.
func Call[Event, Reply any](ctx context.Context, mbx Mailbox[Event], evt Event, rpl <-chan Reply) (Reply, bool) {
	var zero Reply
	if !mbx.Send(ctx, evt) {
		return zero, false
	}
	select {
	case val := <-rpl:
		return val, true
	case <-ctx.Done():
		return zero, false
	case <-mbx.Done:
		return zero, false
	}
}
