package rghome

import (
	"cmp"
	"slices"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
)

// Tell returns what this entry can tell another one.
func Tell(sta *State) Knowledge {
	kno := Knowledge{
		Ring:        sta.Ring.Ring,
		Unaccounted: slices.Clone(sta.Ring.Unaccounted),
		Sidecars:    rgfleet.Sidecars(&sta.Fleet),
		Departed:    slices.Clone(sta.Fleet.Departed),
		Horizon:     sta.Ring.Horizon,
		Suspects:    rgring.Suspects(&sta.Ring),
	}
	if rgring.Complete(&sta.Ring) {
		kno.Since = sta.Ring.Since
	}
	for _, tc := range sta.Teams {
		kno.Teams = append(kno.Teams, tc)
	}
	slices.SortFunc(kno.Teams, func(fst, snd rgmodel.TeamConfig) int { return cmp.Compare(fst.Team, snd.Team) })
	return kno
}
