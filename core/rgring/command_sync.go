package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// MergeRecordsLostBefore raises State.RecordsLostBefore to cover the departed sidecars and the value of another entry.
func MergeRecordsLostBefore(sta *State, departed []rgmodel.Departure, before time.Time) {
	for _, dep := range departed {
		raiseRecordsLostBefore(sta, dep.At)
	}
	if before.After(sta.RecordsLostBefore) {
		sta.RecordsLostBefore = before
	}
}

// RecordSidecarList records that another entry has sent its list of sidecars. Generation is that of the ring which the other
// entry has adopted, and since is its State.AllSidecarsKnownSince. RecordSidecarList returns false if the other entry may not know all
// sidecars that accepted batches under earlier rings: it must have been a member of the ring before the current one and
// have adopted the current one, because from then on it passes that ring on to every sidecar in contact with it.
func RecordSidecarList(sta *State, generation, since uint64) bool {
	if since == 0 || since >= sta.Ring.Generation || generation < sta.Ring.Generation {
		return false
	}
	sta.AllSidecarsKnownSince, sta.Unresponsive = sta.Ring.Generation, nil
	completeTakeover(sta)
	return true
}

// ProceedWithoutPeers lets an entry complete its takeover although no other entry has a complete list of sidecars. Records
// of ids created until the given time may be lost. The caller repeats the call with a later time until no entry is
// unresponsive.
func ProceedWithoutPeers(sta *State, until time.Time, unresponsive []rgmodel.Entry) {
	raiseRecordsLostBefore(sta, until)
	sta.Unresponsive = unresponsive
	if sta.AllSidecarsKnownSince == 0 && isMember(sta.Ring, sta.Self) {
		sta.AllSidecarsKnownSince = sta.Ring.Generation
		completeTakeover(sta)
	}
}

func raiseRecordsLostBefore(sta *State, lost time.Time) {
	before := lost.Add(rgmodel.ClockSkewLimit)
	if before.After(sta.RecordsLostBefore) {
		sta.RecordsLostBefore = before
	}
}
