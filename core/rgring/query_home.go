package rgring

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortgap/core/rgmodel"
)

// Home returns the entry that owns the id, by rendezvous hashing
// (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", 1998).
// It returns false for an empty ring.
func Home(rng rgmodel.Ring, id rgmodel.SubmissionID) (rgmodel.Entry, bool) {
	var best rgmodel.Entry
	var bestScore uint64
	found := false
	for _, ent := range rng.Entries {
		score := xxhash.Sum64String(ent.Name + "\x00" + ent.Incarnation + "\x00" + string(id))
		if !found || score > bestScore || (score == bestScore && ent.Name > best.Name) {
			best, bestScore, found = ent, score, true
		}
	}
	return best, found
}

// Keeps reports whether this entry is the home of the id and has been since its last complete takeover.
func Keeps(sta *State, id rgmodel.SubmissionID) bool {
	for _, rng := range sta.Kept {
		if ent, ok := Home(rng, id); !ok || ent != sta.Self {
			return false
		}
	}
	return sta.Settled
}

// Find returns what is known of an id that is not in the entry's own table.
// Own says that this entry has just generated the id, so that nobody else can have seen it.
func Find(sta *State, id rgmodel.SubmissionID, created time.Time, own bool) Standing {
	ent, ok := Home(sta.Ring, id)
	switch {
	case !ok:
		return NotReady{}
	case ent != sta.Self:
		return Elsewhere{Home: ent}
	case own:
		return Fresh{}
	case len(sta.Pending)+len(sta.Unconfirmed) > 0 && !Keeps(sta, id):
		return NotReady{}
	case len(sta.Records[id]) > 0:
		return Recorded{Sightings: sta.Records[id]}
	case created.Before(sta.Horizon):
		return Uncertain{}
	default:
		return Fresh{}
	}
}

// Generation returns the generation to send with a batch of the id: the current one while this entry is the
// home, and else the one under which it accepted the id, so that sealed sidecars refuse the batch.
func Generation(rng rgmodel.Ring, self rgmodel.Entry, id rgmodel.SubmissionID, accepted uint64) uint64 {
	if ent, ok := Home(rng, id); ok && ent == self {
		return rng.Generation
	}
	return accepted
}
