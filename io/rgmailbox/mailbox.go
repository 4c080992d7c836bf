// Package rgmailbox carries events from traffic goroutines to the control goroutine of a process.
package rgmailbox

import "context"

// size lets traffic goroutines go on while the control goroutine handles a burst.
const size = 256

// Mailbox holds the events that the control goroutine has not handled. Make one with New.
type Mailbox[Event any] struct {
	Events chan Event
	// Ended is closed by the control goroutine when it takes no more events.
	Ended chan struct{}
}

// New returns an empty mailbox.
func New[Event any]() Mailbox[Event] {
	return Mailbox[Event]{Events: make(chan Event, size), Ended: make(chan struct{})}
}

// Tell passes an event on, and returns false if ctx or the control goroutine ends first.
func (mbx Mailbox[Event]) Tell(ctx context.Context, evt Event) bool {
	select {
	case mbx.Events <- evt:
		return true
	case <-ctx.Done():
		return false
	case <-mbx.Ended:
		return false
	}
}

// Ask passes an event on and waits for its reply. It returns false if ctx or the control goroutine ends first.
func Ask[Event, Reply any](ctx context.Context, mbx Mailbox[Event], evt Event, rpl <-chan Reply) (Reply, bool) {
	var none Reply
	if !mbx.Tell(ctx, evt) {
		return none, false
	}
	select {
	case val := <-rpl:
		return val, true
	case <-ctx.Done():
		return none, false
	case <-mbx.Ended:
		return none, false
	}
}
