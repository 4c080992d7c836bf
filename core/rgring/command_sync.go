package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// MergeRecordsLostBefore raises the horizon to cover the departed sidecars and the horizon of another entry.
func MergeRecordsLostBefore(sta *State, departed []rgmodel.Departure, horizon time.Time) {
	for _, dep := range departed {
		raiseRecordsLostBefore(sta, dep.At)
	}
	if horizon.After(sta.RecordsLostBefore) {
		sta.RecordsLostBefore = horizon
	}
}

// RecordSidecarList records that another entry has sent its list of sidecars. Generation is that of the ring which the other
// entry has adopted, and since is its State.CompleteSince. RecordSidecarList returns false if the other entry may not know all
// sidecars that accepted batches under earlier rings: it must have been a member of the ring before the current one and
// have adopted the current one, because from then on it passes that ring on to every sidecar in contact with it.
func RecordSidecarList(sta *State, generation, since uint64) bool {
	if since == 0 || since >= sta.Ring.Generation || generation < sta.Ring.Generation {
		return false
	}
	sta.CompleteSince, sta.Unresponsive = sta.Ring.Generation, nil
	completeTakeover(sta)
	return true
}

// ProceedWithoutPeers lets an entry continue that finds no other entry with a complete list of sidecars. Records of ids
// created until the given time may be lost. The caller repeats the call with a later time until no entry is unaccounted
// for.
func ProceedWithoutPeers(sta *State, until time.Time, unaccounted []rgmodel.Entry) {
	raiseRecordsLostBefore(sta, until)
	sta.Unresponsive = unaccounted
	if sta.CompleteSince == 0 && isMember(sta.Ring, sta.Self) {
		sta.CompleteSince = sta.Ring.Generation
		completeTakeover(sta)
	}
}

func raiseRecordsLostBefore(sta *State, lost time.Time) {
	hor := lost.Add(rgmodel.ClockSkewLimit)
	if hor.After(sta.RecordsLostBefore) {
		sta.RecordsLostBefore = hor
	}
}
