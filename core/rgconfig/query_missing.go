package rgconfig

import (
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// MissingTeams returns what a sidecar should be sent that reports the version: nothing unless it lacks a change that is older
// than RepairDelay; then the teams of the changes that it lacks, or all teams if the history does not go back far
// enough. The result is ordered by team.
func MissingTeams(
	his *History, teams map[string]rgmodel.TeamConfig, own, reported rgmodel.ConfigVersion, now time.Time,
) []rgmodel.TeamConfig {
	if len(his.Changes) == 0 || reported.Digest == own.Digest || reported.Revisions > own.Revisions {
		return nil
	}
	due := his.Changes[0].Before
	names := map[string]bool{}
	for _, rec := range his.Changes {
		if now.Sub(rec.At) >= RepairDelay {
			due = rec.After
		}
		if rec.After > reported.Revisions {
			for _, name := range rec.Teams {
				names[name] = true
			}
		}
	}
	switch {
	case reported.Revisions == own.Revisions && due == own.Revisions, reported.Revisions < his.Changes[0].Before:
		// With equal sums and different digests, each side has something that the other lacks.
		return Newer(teams, nil)
	case reported.Revisions >= due:
		return nil
	}
	var tcs []rgmodel.TeamConfig
	for _, name := range slices.Sorted(maps.Keys(names)) {
		tcs = append(tcs, teams[name])
	}
	return tcs
}
