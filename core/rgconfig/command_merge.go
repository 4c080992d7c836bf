package rgconfig

import "ragwortgap/core/rgmodel"

// Merge applies the configurations with a higher revision than the known ones, from whatever source, and returns them.
// Lower and equal revisions are ignored, so that neither reordered messages nor an older state of the store revert a
// configuration. The map must not be nil.
func Merge(teams map[string]rgmodel.TeamConfig, read []rgmodel.TeamConfig) []rgmodel.TeamConfig {
	var newer []rgmodel.TeamConfig
	for _, tc := range read {
		if tc.Revision > teams[tc.Team].Revision {
			teams[tc.Team] = tc
			newer = append(newer, tc)
		}
	}
	return newer
}
