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
		// Pending holds the sidecars that have not answered the seal of the current generation.
		Pending map[rgmodel.SidecarKey]bool
		// Unconfirmed holds the incarnations of the other entries that have not said that they know the current
		// generation.
		Unconfirmed map[string]bool
		// Horizon bounds the ids that a lost record may concern: ids created before it are uncertain.
		Horizon time.Time
		Records map[rgmodel.SubmissionID][]Sighting
	}

	// Standing is what an entry knows of an id that is not in its own table of submissions.
	Standing interface{ isStanding() }

	// Elsewhere means that another entry is the home.
	Elsewhere struct{ Home rgmodel.Entry }

	// NotReady means that this entry is the home, and sidecars or other entries have yet to answer for the ring.
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
