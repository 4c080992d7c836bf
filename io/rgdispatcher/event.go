package rgdispatcher

import (
	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgwire"
)

type (
	// Event is what other goroutines tell the control goroutine.
	Event interface{ isEvent() }

	// Submitted is a job of a caller.
	Submitted struct {
		Token   rgdispatch.CallerID
		Request rgdispatch.Request
		Reply   chan<- rgdispatch.Answer
	}

	// CallerLeft says that the caller of a job waits no more.
	CallerLeft struct {
		Token rgdispatch.CallerID
		Job   string
	}

	// CancelAsked ends a job on request.
	CancelAsked struct {
		Job   string
		Reply chan<- bool
	}

	// JobAsked asks how far a job is.
	JobAsked struct {
		Job   string
		Reply chan<- JobState
	}

	// CountAsked asks how many jobs of a route have not begun.
	CountAsked struct {
		Route string
		Reply chan<- int
	}

	// JobState is how far a job is at this entry.
	JobState struct{ Known, Running bool }

	// Opened says that a peer has connected.
	Opened struct {
		ID     uint64
		Outbox *rgwire.Outbox
	}

	// Closed says that a connection is lost.
	Closed struct{ ID uint64 }

	// Received is a message of a peer.
	Received struct {
		ID      uint64
		Message rgwire.Message
	}

	// Configured holds a configuration, which may be older than the one in force.
	Configured struct {
		Config *rgroute.Config
		Source string
	}

	// Listed holds the entries that the store knows.
	Listed struct{ Entries []rgmodel.Entry }

	// Reloaded holds settings that were read again.
	Reloaded struct{ Settings rgsettings.Deployment }
)

func (Submitted) isEvent()   {}
func (CallerLeft) isEvent()  {}
func (CancelAsked) isEvent() {}
func (JobAsked) isEvent()    {}
func (CountAsked) isEvent()  {}
func (Opened) isEvent()      {}
func (Closed) isEvent()      {}
func (Received) isEvent()    {}
func (Configured) isEvent()  {}
func (Listed) isEvent()      {}
func (Reloaded) isEvent()    {}
