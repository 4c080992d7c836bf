package rgring

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// MergeHorizon raises the horizon for sidecars that have departed, and to the horizon of another entry.
func MergeHorizon(sta *State, departed []rgmodel.Departure, horizon time.Time) {
	for _, dep := range departed {
		raiseHorizon(sta, dep.At)
	}
	if horizon.After(sta.Horizon) {
		sta.Horizon = horizon
	}
}

// SidecarsLearned records that another entry has named its sidecars, after it had adopted the ring of the generation given and
// as a member since the generation given. It returns false if that entry may not know all sidecars that took batches
// under earlier rings: it must have been a member of the ring before the current one, and have adopted the current
// one, because from then on it passes that ring on to every sidecar in contact with it.
func SidecarsLearned(sta *State, generation, since uint64) bool {
	if since == 0 || since >= sta.Ring.Generation || generation < sta.Ring.Generation {
		return false
	}
	sta.MemberSince, sta.Unaccounted = sta.Ring.Generation, nil
	settle(sta)
	return true
}

// ProceedWithoutPeers is for an entry that finds no other entry that could name all sidecars: records of ids created
// until the time given may be lost. It is called again and again, with a later time, until no entry is unaccounted for.
func ProceedWithoutPeers(sta *State, until time.Time, unaccounted []rgmodel.Entry) {
	raiseHorizon(sta, until)
	sta.Unaccounted = unaccounted
	if sta.MemberSince == 0 && member(sta.Ring, sta.Self) {
		sta.MemberSince = sta.Ring.Generation
		settle(sta)
	}
}

func raiseHorizon(sta *State, lost time.Time) {
	hor := lost.Add(rgmodel.ClockSkewLimit)
	if hor.After(sta.Horizon) {
		sta.Horizon = hor
	}
}
