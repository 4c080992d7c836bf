package rgring

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortgap/core/rgmodel"
)

// Home returns the home of the id: the entry that decides on and tracks the submissions of the id. It is chosen by
// rendezvous hashing
// (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", 1998).
// It returns false for an empty ring.
func Home(rng rgmodel.Ring, id rgmodel.SubmissionID) (rgmodel.Entry, bool) {
	var best rgmodel.Entry
	var bestScore uint64
	found := false
	for _, ent := range rng.Entries {
		scr := score(ent, string(id))
		if !found || scr > bestScore || (scr == bestScore && ent.Name > best.Name) {
			best, bestScore, found = ent, scr, true
		}
	}
	return best, found
}

// HasTakenOver reports whether this entry is the home of the id in all rings since its last complete takeover, and a
// takeover has been completed since the last gap in the generations.
func HasTakenOver(sta *State, id rgmodel.SubmissionID) bool {
	return sta.TakenOver && IsHome(sta, id)
}

// IsHome reports whether this entry is the home of the id in all of HomeRings.
func IsHome(sta *State, id rgmodel.SubmissionID) bool {
	for _, rng := range sta.HomeRings {
		if ent, ok := Home(rng, id); !ok || ent != sta.Self {
			return false
		}
	}
	return len(sta.HomeRings) > 0
}

// Lookup returns what is known of an id that is not in the entry's own table of submissions.
// GeneratedHere is set if this entry has just generated the id, so no other process can have seen it.
func Lookup(sta *State, id rgmodel.SubmissionID, created time.Time, generatedHere bool) LookupResult {
	ent, ok := Home(sta.Ring, id)
	switch {
	case !ok:
		return NotReady{}
	case ent != sta.Self:
		return HomeElsewhere{Home: ent}
	case generatedHere:
		return NotStarted{}
	case (len(sta.PendingSeals) > 0 || len(sta.Unconfirmed) > 0 || sta.AllSidecarsKnownSince == 0) && !HasTakenOver(sta, id):
		return NotReady{}
	case len(sta.Records[id]) > 0:
		return Recorded{Records: sta.Records[id]}
	case created.Before(sta.RecordsLostBefore):
		return RecordsLost{}
	default:
		return NotStarted{}
	}
}

// HoldsRingLease reports whether no other entry can have become the home of this entry's ids: this entry has read the current
// ring from the store within RingLeaseTime, and a new home waits that long for entries that have not confirmed its ring.
func HoldsRingLease(sta *State, now time.Time) bool {
	return isMember(sta.Ring, sta.Self) && now.Before(sta.RingLeaseUntil)
}

// UnconfirmedEntries returns the incarnations whose confirmation of the ring this entry waits for, in sorted order.
func UnconfirmedEntries(sta *State) []string {
	return slices.Sorted(maps.Keys(sta.Unconfirmed))
}

// BatchGeneration returns the generation to send with a batch of the id: the current one while this entry is the
// home, and else the one under which it accepted the id, so that sealed sidecars refuse the batch.
func BatchGeneration(rng rgmodel.Ring, self rgmodel.Entry, id rgmodel.SubmissionID, accepted uint64) uint64 {
	if ent, ok := Home(rng, id); ok && ent == self {
		return rng.Generation
	}
	return accepted
}

func isMember(rng rgmodel.Ring, ent rgmodel.Entry) bool {
	return slices.Contains(rng.Entries, ent)
}

// KnowsAllSidecars reports whether this entry knows all sidecars that could accept batches under the rings so far.
func KnowsAllSidecars(sta *State) bool {
	return sta.AllSidecarsKnownSince > 0 && len(sta.Unresponsive) == 0
}

// RanksWithin reports whether self is among the num entries of the ring that rank highest for the key by rendezvous
// hashing.
func RanksWithin(rng rgmodel.Ring, self rgmodel.Entry, key string, num int) bool {
	own := score(self, key)
	ahead := 0
	found := false
	for _, ent := range rng.Entries {
		switch scr := score(ent, key); {
		case ent == self:
			found = true
		case scr > own || (scr == own && ent.Name > self.Name):
			ahead++
		}
	}
	return found && ahead < num
}

func score(ent rgmodel.Entry, key string) uint64 {
	return xxhash.Sum64String(ent.Name + "\x00" + ent.Incarnation + "\x00" + key)
}
