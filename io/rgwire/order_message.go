package rgwire

import (
	"time"

	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
)

// Messages of entries and of sidecars whose upstreams are controlled by orders. All of them are notifications.
type (
	// SidecarHello introduces a sidecar to an entry, at the start of each connection.
	SidecarHello struct {
		Name  string              `json:"name"`
		Clock rgmodel.SidecarTime `json:"clock"`
	}

	// EntryHello introduces an entry to another one, at the start of each connection.
	EntryHello struct {
		Entry rgmodel.Entry `json:"entry"`
	}

	// EntryChanges is what has changed in the sender's list of entries since its last message over the connection. Left are the
	// addresses of removed entries. If Full is set, Entries is the whole list.
	EntryChanges struct {
		Entries []rgmodel.Entry `json:"entries,omitempty"`
		Left    []string        `json:"left,omitempty"`
		Full    bool            `json:"full,omitempty"`
	}

	// EntryHeartbeat tells a sidecar that the entry is alive. Issued is a lower bound of the time of sending on the sidecar's
	// clock. ReportInterval is how often the entry wants reports of a changing load. Evacuation is set if the entry has not sent its
	// newest set of evacuated zones over the connection yet.
	EntryHeartbeat struct {
		Issued         rgmodel.SidecarTime `json:"issued"`
		ReportInterval time.Duration       `json:"every"`
		Evacuation     *rgevacuation.Set   `json:"evacuation,omitempty"`
		EntryChanges
	}

	// Gossip tells an entry the configuration version of another one and the changes of its list of entries. Config is set in
	// the reply to ConfigRequest. Evacuation is set if the sender has not sent its newest set of evacuated zones over the connection yet.
	Gossip struct {
		From       rgmodel.Entry     `json:"from"`
		Version    uint64            `json:"version"`
		Config     []byte            `json:"config,omitempty"`
		Evacuation *rgevacuation.Set `json:"evacuation,omitempty"`
		EntryChanges
	}

	// ConfigRequest asks an entry for its configuration.
	ConfigRequest struct{}

	// Place asks a sidecar to run tasks.
	Place struct {
		rgmodel.Placement
	}

	// CancelTasks asks a sidecar to cancel tasks. Issued is a lower bound of the time of sending on the sidecar's clock.
	CancelTasks struct {
		Issued  rgmodel.SidecarTime `json:"issued"`
		Tickets []rgmodel.Ticket    `json:"tickets"`
	}

	// SidecarUpdate tells an entry what has changed at a sidecar. NextWithin is the time within which the next update is
	// sent. LastTicket is the highest ticket received from the entry. Executor is set if it has changed.
	SidecarUpdate struct {
		Clock      rgmodel.SidecarTime     `json:"clock"`
		NextWithin time.Duration           `json:"next"`
		LastTicket rgmodel.Ticket          `json:"received,omitempty"`
		Executor   *rgmodel.Executor       `json:"executor,omitempty"`
		Report     *rgmodel.ExecutorReport `json:"load,omitempty"`
		Ends       []rgmodel.TaskEnd       `json:"ends,omitempty"`
	}
)

func (SidecarHello) isMessage()   {}
func (EntryHello) isMessage()     {}
func (EntryHeartbeat) isMessage() {}
func (Gossip) isMessage()         {}
func (ConfigRequest) isMessage()  {}
func (Place) isMessage()          {}
func (CancelTasks) isMessage()    {}
func (SidecarUpdate) isMessage()  {}
