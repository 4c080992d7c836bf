package rgconfig

import (
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// MissingConfigs returns the configurations to send to a sidecar that reports the given version, ordered by team. It returns
// none unless the sidecar lacks a change that is at least RepairDelay old. Otherwise it returns the teams of all changes
// that the sidecar lacks, or all teams if the history does not go back far enough.
func MissingConfigs(
	his *History, teams map[string]rgmodel.TeamConfig, own, reported rgmodel.ConfigVersion, now time.Time,
) []rgmodel.TeamConfig {
	if len(his.Changes) == 0 || reported.Digest == own.Digest || reported.Revisions > own.Revisions {
		return nil
	}
	expected := his.Changes[0].Before
	names := map[string]bool{}
	for _, chg := range his.Changes {
		if now.Sub(chg.At) >= RepairDelay {
			expected = chg.After
		}
		if chg.After > reported.Revisions {
			for _, name := range chg.Teams {
				names[name] = true
			}
		}
	}
	switch {
	case reported.Revisions == own.Revisions && expected == own.Revisions, reported.Revisions < his.Changes[0].Before:
		// With equal sums and different digests, each side has a revision that the other lacks. A sidecar that is older than
		// the first change gets all teams, because the history does not reach back that far.
		return Newer(teams, nil)
	case reported.Revisions >= expected:
		return nil
	}
	var tcs []rgmodel.TeamConfig
	for _, name := range slices.Sorted(maps.Keys(names)) {
		tcs = append(tcs, teams[name])
	}
	return tcs
}
