// Package rgring decides which entry is the home of a submission id, and what a new home knows of the ids that it takes
// over. A seal raises the lowest generation that a sidecar accepts to the ring's generation, and returns the
// sidecar's records.
package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

type (
	// SidecarRecord is a sidecar's record of a submission, as returned in its reply to a seal.
	SidecarRecord struct {
		Sidecar rgmodel.SidecarKey
		Record  rgmodel.Record
	}

	// State is an entry's knowledge of the ring; the zero value is an entry that has adopted no ring.
	State struct {
		Self rgmodel.Entry
		Ring rgmodel.Ring
		// HomeRings holds the rings that must agree on the home of an id: the last ring whose takeover was complete and all
		// rings adopted after it, in order. While TakenOver is false, it holds all rings since the last gap in the generations.
		HomeRings []rgmodel.Ring
		// TakenOver is set once a takeover has been completed, and reset by a gap in the generations.
		TakenOver bool
		// AllSidecarsKnownSince is the generation since which this entry has been a member of every ring and has known all sidecars
		// that could accept batches. ProceedWithoutPeers sets it without that knowledge. Zero means that this entry has to
		// get the list of sidecars from another one.
		AllSidecarsKnownSince uint64
		// Unresponsive holds entries of earlier rings that have neither replied nor ended, while no entry that knows all
		// sidecars could be reached. They may still send batches to sidecars that this entry does not know.
		Unresponsive []rgmodel.Entry
		// Unconfirmed maps the incarnations that have not confirmed the ring, and may still act as the home of ids that
		// have moved here, to the time when their ring lease expires.
		Unconfirmed map[string]time.Time
		// RingLeaseUntil is the end of the ring lease: until then, no other entry can have become the home of this entry's ids.
		RingLeaseUntil time.Time
		// PendingSeals holds the sidecars that have not replied to the seal of the current generation.
		PendingSeals map[rgmodel.SidecarKey]bool
		// RecordsLostBefore is the creation time before which the records of an id may be lost.
		RecordsLostBefore time.Time
		Records           map[rgmodel.SubmissionID][]SidecarRecord
	}

	// LookupResult is what an entry knows of an id that is not in its own table of submissions.
	LookupResult interface{ isLookupResult() }

	// HomeElsewhere means that another entry is the home.
	HomeElsewhere struct{ Home rgmodel.Entry }

	// NotReady means that this entry is the home and its takeover is not complete: it still waits for sidecars or entries.
	NotReady struct{}

	// RecordsLost means that tasks of the id may have been started by processes whose records are lost.
	RecordsLost struct{}

	// Recorded means that sidecars have records of the id.
	Recorded struct{ Records []SidecarRecord }

	// NotStarted means that no task of the id has been started.
	NotStarted struct{}
)

func (HomeElsewhere) isLookupResult() {}
func (NotReady) isLookupResult()      {}
func (RecordsLost) isLookupResult()   {}
func (Recorded) isLookupResult()      {}
func (NotStarted) isLookupResult()    {}
