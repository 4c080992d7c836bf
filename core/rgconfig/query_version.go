package rgconfig

import (
	"fmt"
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

// Compact returns the configuration without the sources of its settings, which only operators read.
func Compact(tcs []rgmodel.TeamConfig) []rgmodel.TeamConfig {
	cpy := make([]rgmodel.TeamConfig, len(tcs))
	for i, tc := range tcs {
		tc.Sources = nil
		cpy[i] = tc
	}
	return cpy
}
