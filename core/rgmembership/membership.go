// Package rgmembership decides which entries of the fleet a process knows, which of them it connects to, and which changes of its
// list it passes on. Entries and sidecars both use it. The number of connections of a process does not grow with the fleet.
package rgmembership

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// UpdateInterval is the interval at which Update is called. It is also called after each change.
	UpdateInterval = 100 * time.Millisecond
	// idleInterval is how often Update looks for what changes merely because time passes.
	idleInterval = 500 * time.Millisecond
	// expiry is how long an entry stays known, and how long it stays in the list passed on, after the last sign of it.
	expiry = 10 * time.Second
	// dialPatience is how long a process may fail to connect to an entry before it selects another one in addition.
	dialPatience = 1500 * time.Millisecond
	// retryDelay is how long an entry that could not be reached, and that is not dialed any more, counts as one that cannot be reached.
	// It doubles with each attempt up to maxRetryDelay, so that all entries are tried in turn however many do not exist.
	retryDelay    = 30 * time.Second
	maxRetryDelay = 2 * time.Minute
	// surplusDelay is how long a connection is kept after its entry was last selected. A restarted entry is connected again
	// within that time, and the one that was selected in its place is not dropped too early.
	surplusDelay = 3 * time.Second
	// minConnected is the number of connections below which a process also dials its seeds.
	minConnected = 2
	// maxPassedOver is the largest number of entries that cannot be reached, as a multiple of the limit, that are dialed in
	// addition to those that can be.
	maxPassedOver = 1
	// maxChanges is the number of changes that are kept. A peer that has missed more of them gets the full list.
	maxChanges = 256
	// maxEntries is the number of known entries from which on others become known only by a connection or the settings.
	maxEntries = 4096
)

const (
	// DefaultSameZone is the default of Limits.SameZone of a sidecar.
	DefaultSameZone = 8
	// DefaultOtherZones is the default of Limits.OtherZones of a sidecar.
	DefaultOtherZones = 4
	// DefaultPeersSameZone is the default of Limits.SameZone of an entry. With a few random connections from each entry, hundreds
	// of entries form one connected graph with paths of three hops.
	DefaultPeersSameZone = 3
	// DefaultPeersOtherZones is the default of Limits.OtherZones of an entry.
	DefaultPeersOtherZones = 4
)

type (
	// ConnID identifies an open connection to an entry.
	ConnID uint64

	// Version identifies a state of the list of entries that a process passes on. Zero is the empty list.
	Version uint64

	// Limits are the numbers of entries that a process connects to. Zero means no limit.
	Limits struct {
		SameZone   int
		OtherZones int
	}

	// KnownEntry is an entry that the settings, the store, a peer or the entry itself has mentioned.
	KnownEntry struct {
		// Entry has only an address until its name is known.
		Entry rgmodel.Entry
		// Seed is set for an entry in the settings, which is never forgotten.
		Seed bool
		// Listed is set if the last list that was read from the store contains the entry.
		Listed bool
		// Mentions holds the connections whose peers have the entry in their list.
		Mentions map[ConnID]bool
		// Conns holds the open connections to the entry.
		Conns map[ConnID]bool
		// DescribedBy is the open connection over which the entry has described itself, or zero. Until it is closed, what others say of the
		// entry is ignored.
		DescribedBy ConnID
		// LastSeen is when the store or the entry itself last showed that it exists, and LastMentioned when anybody did.
		LastSeen      time.Time
		LastMentioned time.Time
		// Dialed is set while the process maintains a connection to the entry.
		Dialed bool
		// UnreachableSince is when the process began to dial or lost its last connection.
		UnreachableSince time.Time
		// RetryAt is when an entry that could not be reached may be selected again, and RetryDelay what led to it. Both are zero after a
		// connection.
		RetryAt    time.Time
		RetryDelay time.Duration
		// SelectedAt is when the entry was last selected.
		SelectedAt time.Time
		// Shared is the description in the list passed on; empty if the entry is not in it.
		Shared rgmodel.Entry
	}

	// Change is a change of the list passed on.
	Change struct {
		Entry rgmodel.Entry
		// Left is set if the entry was removed.
		Left bool
	}

	// Action is what a process has to do to have the selected connections.
	Action interface{ isAction() }

	// Dial begins to maintain a connection to an entry.
	Dial struct{ Address string }

	// Drop ends a connection to an entry that is no longer selected.
	Drop struct{ Address string }

	// State is what a process knows of the entries. The zero value has no limits and knows no entry.
	State struct {
		// Name and AvailabilityZone are those of the process. Without a zone, all entries count as in the same zone. Address is empty
		// in a sidecar.
		Name             string
		AvailabilityZone string
		Address          string
		Limits           Limits
		// Entries maps addresses to the other entries.
		Entries map[string]*KnownEntry
		// Changed is set if something was recorded since UpdatedAt, which is when Update last looked at all entries.
		Changed   bool
		UpdatedAt time.Time
		// Conns maps connections to addresses.
		Conns map[ConnID]string
		// Changes holds the last changes of the list passed on. The last one led to Version.
		Changes []Change
		Version Version
	}
)

func (Dial) isAction() {}
func (Drop) isAction() {}
