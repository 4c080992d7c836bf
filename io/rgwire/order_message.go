package rgwire

import (
	"time"

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

	// EntryHeartbeat tells a sidecar that the entry is alive. Issued is a lower bound of the time of sending on the sidecar's
	// clock. ReportInterval is how often the entry wants reports of a changing load. Entries is set if the list has changed.
	EntryHeartbeat struct {
		Issued         rgmodel.SidecarTime `json:"issued"`
		ReportInterval time.Duration       `json:"every"`
		Entries        []rgmodel.Entry     `json:"entries,omitempty"`
	}

	// Gossip tells an entry the configuration version and the entries that another entry knows. Config is set in the reply
	// to ConfigRequest. Entries is omitted from most messages.
	Gossip struct {
		From    rgmodel.Entry   `json:"from"`
		Version uint64          `json:"version"`
		Config  []byte          `json:"config,omitempty"`
		Entries []rgmodel.Entry `json:"entries,omitempty"`
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
