package rghome

import (
	"cmp"
	"slices"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
)

// TakeSnapshot returns the state for an entry that does not know all sidecars.
func TakeSnapshot(sta *State) Snapshot {
	snp := Snapshot{
		Ring:              sta.Ring.Ring,
		Unresponsive:      slices.Clone(sta.Ring.Unresponsive),
		Sidecars:          rgfleet.Sidecars(&sta.Fleet),
		Departed:          slices.Clone(sta.Fleet.Departed),
		RecordsLostBefore: sta.Ring.RecordsLostBefore,
		Unconfirmed:       rgring.UnconfirmedEntries(&sta.Ring),
	}
	if rgring.KnowsAllSidecars(&sta.Ring) {
		snp.AllSidecarsKnownSince = sta.Ring.AllSidecarsKnownSince
	}
	for _, tc := range sta.Teams {
		snp.Teams = append(snp.Teams, tc)
	}
	slices.SortFunc(snp.Teams, func(fst, snd rgmodel.TeamConfig) int { return cmp.Compare(fst.Team, snd.Team) })
	return snp
}
