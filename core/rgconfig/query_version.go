package rgconfig

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"ragwortgap/core/rgmodel"
)

// VersionOf returns the version of the configurations in force. The digest is the sum of one hash per team and revision,
// so it does not depend on the order of the teams.
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

// StripSources returns copies of the configurations without Sources, which only operators read.
func StripSources(tcs []rgmodel.TeamConfig) []rgmodel.TeamConfig {
	cpy := make([]rgmodel.TeamConfig, len(tcs))
	for i, tc := range tcs {
		tc.Sources = nil
		cpy[i] = tc
	}
	return cpy
}

// Newer returns the configurations whose revision is higher than the given one of their team, ordered by team.
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
