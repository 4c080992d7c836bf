package rgorders

import (
	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgwire"
)

type (
	// Event is what other goroutines tell the control goroutine.
	Event interface{ isEvent() }

	// Announced is what the executor says of itself.
	Announced struct {
		Executor rgmodel.Executor
		Reply    chan<- struct{}
	}

	// Recalled is the executor that the store remembers.
	Recalled struct{ Executor rgmodel.Executor }

	// Departed says that a lifetime of the executor has ended as planned.
	Departed struct {
		ID    string
		Reply chan<- struct{}
	}

	// Replied is what came back of an order.
	Replied struct {
		Order rgmodel.Order
		Reply rgmodel.OrderReply
	}

	// Linked says that an entry can be reached.
	Linked struct {
		Address string
		ID      rgexecutor.ConnID
		Outbox  *rgwire.Outbox
	}

	// Unlinked says that the connection to an entry is lost or could not be made.
	Unlinked struct {
		Address string
		ID      rgexecutor.ConnID
	}

	// Received is a message of an entry.
	Received struct {
		Link    rgexecutor.ConnID
		Message rgwire.Message
	}

	// Listed holds the entries that the store knows.
	Listed struct{ Addresses []string }

	// Reloaded holds settings that were read again.
	Reloaded struct{ Settings rgsettings.Deployment }
)

func (Announced) isEvent() {}
func (Recalled) isEvent()  {}
func (Departed) isEvent()  {}
func (Replied) isEvent()   {}
func (Linked) isEvent()    {}
func (Unlinked) isEvent()  {}
func (Received) isEvent()  {}
func (Listed) isEvent()    {}
func (Reloaded) isEvent()  {}
