// Package rgring decides which entry is the home of a submission id, and what a new home may say of an id.
package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

type (
	// Sighting is a sidecar's record of a submission, as it answered a seal.
	Sighting struct {
		Sidecar rgmodel.SidecarKey
		Record  rgmodel.Record
	}

	// State is an entry's knowledge of the ring; the zero value is an entry that has adopted no ring.
	State struct {
		Self rgmodel.Entry
		Ring rgmodel.Ring
		// Kept holds the last ring whose takeover was complete and all rings adopted after it, in order.
		Kept []rgmodel.Ring
		// Settled is set once a takeover has been complete.
		Settled bool
		// Since is the generation from which on this entry has been a member of every ring and has known all sidecars
		// that could take batches. Zero means that it has to learn them from another entry.
		Since uint64
		// Unaccounted holds entries of earlier rings that have neither answered nor ended, while no entry that knows all
		// sidecars could be asked. They may still be at work with sidecars that nobody can name.
		Unaccounted []rgmodel.Entry
		// Unaware holds, by incarnation, the entries that have not confirmed the ring and may still believe to be the
		// home of ids that have moved here, with the time when they can no longer be certain of it.
		Unaware map[string]time.Time
		// CertainUntil is how long no other entry can have become the home of this entry's ids.
		CertainUntil time.Time
		// Pending holds the sidecars that have not answered the seal of the current generation.
		Pending map[rgmodel.SidecarKey]bool
		// Horizon bounds the ids that a lost record may concern: ids created before it are uncertain.
		Horizon time.Time
		Records map[rgmodel.SubmissionID][]Sighting
	}

	// Standing is what an entry knows of an id that is not in its own table of submissions.
	Standing interface{ isStanding() }

	// Elsewhere means that another entry is the home.
	Elsewhere struct{ Home rgmodel.Entry }

	// NotReady means that this entry is the home, and sidecars have yet to answer its seal.
	NotReady struct{}

	// Uncertain means that tasks of the id may have been started by parts that are gone.
	Uncertain struct{}

	// Recorded means that sidecars have records of the id.
	Recorded struct{ Sightings []Sighting }

	// Fresh means that no task of the id has been started.
	Fresh struct{}
)

func (Elsewhere) isStanding() {}
func (NotReady) isStanding()  {}
func (Uncertain) isStanding() {}
func (Recorded) isStanding()  {}
func (Fresh) isStanding()     {}
