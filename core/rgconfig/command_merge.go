package rgconfig

import "ragwortgap/core/rgmodel"

// Merge takes in the configurations of a higher revision than the known ones, whatever their source, and returns
// them. Lower and equal revisions are ignored, so that no order of messages and no older state of the store takes
// a configuration back. The map must not be nil.
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
