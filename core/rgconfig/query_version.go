package rgconfig

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"ragwortgap/core/rgmodel"
)

// VersionOf sums up the revisions in force. The digest is a sum of one hash for each team and its revision, so that
// the order of teams has no effect.
func VersionOf(teams map[string]rgmodel.TeamConfig) rgmodel.ConfigVersion {
	ver := rgmodel.ConfigVersion{Teams: len(teams)}
	var dig uint64
	for name, tc := range teams {
		ver.Revisions += tc.Revision
		dig += xxhash.Sum64String(name + "\x00" + strconv.FormatUint(tc.Revision, 10))
	}
	ver.Digest = fmt.Sprintf("%016x", dig)
	return ver
}

// StripSources returns the configuration without the sources of its settings, which only operators read.
func StripSources(tcs []rgmodel.TeamConfig) []rgmodel.TeamConfig {
	cpy := make([]rgmodel.TeamConfig, len(tcs))
	for i, tc := range tcs {
		tc.Sources = nil
		cpy[i] = tc
	}
	return cpy
}

// Newer returns the configurations of higher revisions than those given, ordered by team.
func Newer(teams map[string]rgmodel.TeamConfig, than map[string]uint64) []rgmodel.TeamConfig {
	var tcs []rgmodel.TeamConfig
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if tc := teams[name]; tc.Revision > than[name] {
			tcs = append(tcs, tc)
		}
	}
	return tcs
}

// Revisions returns the revision of each team.
func Revisions(teams map[string]rgmodel.TeamConfig) map[string]uint64 {
	rvs := make(map[string]uint64, len(teams))
	for name, tc := range teams {
		rvs[name] = tc.Revision
	}
	return rvs
}
