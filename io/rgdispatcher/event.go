package rgdispatcher

import (
	"time"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgwire"
)

type (
	// Event is a message from another goroutine to the control goroutine.
	Event interface{ isEvent() }

	// JobSubmitted contains a job from a caller.
	JobSubmitted struct {
		ID      rgdispatch.CallerID
		Caller  Caller
		Request rgdispatch.Request
	}

	// CallerDisconnected means that the caller of a job no longer waits.
	CallerDisconnected struct {
		Caller rgdispatch.CallerID
		Job    string
	}

	// CancelRequested asks to cancel a job.
	CancelRequested struct {
		Job   string
		Reply chan<- bool
	}

	// JobStateRequested asks for the state of a job.
	JobStateRequested struct {
		Job   string
		Reply chan<- JobState
	}

	// PendingRequested asks for the number of jobs of a route without a task that is placed or may have run.
	PendingRequested struct {
		Route string
		Reply chan<- int
	}

	// JobState is the state of a job at this entry.
	JobState struct{ Known, MayHaveRun bool }

	// PeerConnected means that a connection to a peer is open. Address is the dialed one, and empty if the peer has dialed.
	PeerConnected struct {
		ID      uint64
		Address string
		Conn    *rgwire.NotificationConn
	}

	// PeerDisconnected means that a connection to a peer is lost.
	PeerDisconnected struct{ ID uint64 }

	// MessageReceived contains a message from a peer.
	MessageReceived struct {
		ID      uint64
		Message rgwire.Message
	}

	// ConfigReceived contains a configuration, which may be older than the one in force. Origin is where it came from, for the
	// log.
	ConfigReceived struct {
		Config *rgroute.Config
		Origin string
	}

	// EvacuationReceived contains a set of evacuated zones, which may be older than the one in force. Origin is where it came from, for
	// the log.
	EvacuationReceived struct {
		Set    rgevacuation.Set
		Origin string
	}

	// ZonesRequested asks for the state of the evacuated zones.
	ZonesRequested struct{ Reply chan<- ZoneStates }

	// ZoneStates is what an entry knows of the evacuated zones. Version is the store version of its set, or zero if it has none.
	ZoneStates struct {
		Entry   string                 `json:"entry"`
		Version uint64                 `json:"version"`
		Zones   []rgdispatch.ZoneState `json:"zones"`
	}

	// EntriesListed contains the entries that are registered in the store. Incomplete is set if there may be more.
	EntriesListed struct {
		Entries    []rgmodel.Entry
		Incomplete bool
	}

	// DrainBegun means that the entry shuts down, and that its jobs must have ended by a time.
	DrainBegun struct{ EndsBy time.Time }

	// DrainEnded asks to give up all jobs that are left. Their number is the reply.
	DrainEnded struct{ Reply chan<- int }

	// SettingsReloaded contains settings that were read again.
	SettingsReloaded struct{ Settings rgsettings.PlatformProcess }
)

func (JobSubmitted) isEvent()       {}
func (CallerDisconnected) isEvent() {}
func (CancelRequested) isEvent()    {}
func (JobStateRequested) isEvent()  {}
func (PendingRequested) isEvent()   {}
func (PeerConnected) isEvent()      {}
func (PeerDisconnected) isEvent()   {}
func (MessageReceived) isEvent()    {}
func (ConfigReceived) isEvent()     {}
func (EvacuationReceived) isEvent() {}
func (ZonesRequested) isEvent()     {}
func (EntriesListed) isEvent()      {}
func (DrainBegun) isEvent()         {}
func (DrainEnded) isEvent()         {}
func (SettingsReloaded) isEvent()   {}
