package rgwire

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Messages between entries and sidecars whose upstreams are driven by orders. All of them are notifications.
type (
	// Enlist introduces a sidecar to an entry, at the start of each connection.
	Enlist struct {
		Name  string          `json:"name"`
		Clock rgmodel.Instant `json:"clock"`
	}

	// Meet introduces an entry to another one, at the start of each connection.
	Meet struct {
		Entry rgmodel.Entry `json:"entry"`
	}

	// Pulse tells a sidecar that the entry is alive. Every is how often the entry wants reports of a load that changes.
	// Entries is set if it has changed.
	Pulse struct {
		Issued  rgmodel.Instant `json:"issued"`
		Every   time.Duration   `json:"every"`
		Entries []rgmodel.Entry `json:"entries,omitempty"`
	}

	// Gossip tells an entry what another one knows. Config is set in the answer to Ask. Entries is not set each time.
	Gossip struct {
		From    rgmodel.Entry   `json:"from"`
		Version uint64          `json:"version"`
		Config  []byte          `json:"config,omitempty"`
		Entries []rgmodel.Entry `json:"entries,omitempty"`
	}

	// Ask asks an entry for its configuration.
	Ask struct{}

	// Place asks a sidecar to run tasks.
	Place struct {
		rgmodel.Placement
	}

	// Recall asks a sidecar to drop tasks.
	Recall struct {
		Issued  rgmodel.Instant  `json:"issued"`
		Tickets []rgmodel.Ticket `json:"tickets"`
	}

	// Progress tells an entry what has changed at a sidecar. Next is the time within which the next one is sent. Executor
	// is set if it has changed.
	Progress struct {
		Clock    rgmodel.Instant         `json:"clock"`
		Next     time.Duration           `json:"next"`
		Received rgmodel.Ticket          `json:"received,omitempty"`
		Executor *rgmodel.Executor       `json:"executor,omitempty"`
		Load     *rgmodel.ExecutorReport `json:"load,omitempty"`
		Ends     []rgmodel.TaskEnd       `json:"ends,omitempty"`
	}
)

func (Enlist) isMessage()   {}
func (Meet) isMessage()     {}
func (Pulse) isMessage()    {}
func (Gossip) isMessage()   {}
func (Ask) isMessage()      {}
func (Place) isMessage()    {}
func (Recall) isMessage()   {}
func (Progress) isMessage() {}
