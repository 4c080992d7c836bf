package rgorders

import (
	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgwire"
)

type (
	// Event is a message from another goroutine to the control goroutine.
	Event interface{ isEvent() }

	// ExecutorUpdated contains a heartbeat of the executor.
	ExecutorUpdated struct {
		Executor rgmodel.Executor
		Reply    chan<- struct{}
	}

	// ExecutorRestored contains the executor that was saved in the store.
	ExecutorRestored struct{ Executor rgmodel.Executor }

	// ExecutorDeregistered means that an incarnation of the executor has deregistered.
	ExecutorDeregistered struct {
		ID    string
		Reply chan<- struct{}
	}

	// OrderReplied contains the reply to an order.
	OrderReplied struct {
		Order rgmodel.Order
		Reply rgmodel.OrderReply
	}

	// EntryConnected means that a connection to an entry is open.
	EntryConnected struct {
		Address string
		ID      rgexecutor.EntryConnID
		Conn    *rgwire.NotificationConn
	}

	// EntryDisconnected means that a connection to an entry is lost.
	EntryDisconnected struct {
		Address string
		ID      rgexecutor.EntryConnID
	}

	// MessageReceived contains a message from an entry.
	MessageReceived struct {
		Conn    rgexecutor.EntryConnID
		Message rgwire.Message
	}

	// EntriesListed contains the entries that are registered in the store.
	EntriesListed struct{ Entries []rgmodel.Entry }

	// SettingsReloaded contains settings that were read again.
	SettingsReloaded struct{ Settings rgsettings.PlatformProcess }
)

func (ExecutorUpdated) isEvent()      {}
func (ExecutorRestored) isEvent()     {}
func (ExecutorDeregistered) isEvent() {}
func (OrderReplied) isEvent()         {}
func (EntryConnected) isEvent()       {}
func (EntryDisconnected) isEvent()    {}
func (MessageReceived) isEvent()      {}
func (EntriesListed) isEvent()        {}
func (SettingsReloaded) isEvent()     {}
