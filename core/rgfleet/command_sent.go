package rgfleet

import "ragwortgap/core/rgmodel"

// SentFlow counts tasks of a flow that go to a sidecar, until its next report.
func SentFlow(sta *State, key rgmodel.SidecarKey, flo rgmodel.Flow, tasks int) {
	mem := member(sta, key)
	if mem == nil {
		return
	}
	if mem.SentFlows == nil {
		mem.SentFlows = map[rgmodel.Flow]int{}
	}
	mem.SentFlows[flo] += tasks
}
