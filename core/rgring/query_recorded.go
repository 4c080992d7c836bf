package rgring

import (
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgsubmission"
)

// RecordedTasks returns the locations from which the recorded tasks of a submission can be collected, and the sidecars
// that have refused tasks of it and must not get them again.
func RecordedTasks(srs []SidecarRecord) ([]rgsubmission.TaskLocation, map[rgmodel.SidecarKey]bool) {
	var locs []rgsubmission.TaskLocation
	tried := map[rgmodel.SidecarKey]bool{}
	for _, sr := range srs {
		loc := rgsubmission.TaskLocation{Sidecar: sr.Sidecar}
		for _, tsk := range sr.Record.Tasks {
			if tsk.State == rgmodel.TaskFinal && tsk.Outcome.Verdict == rgmodel.NotRun {
				tried[sr.Sidecar] = true
				continue
			}
			loc.Indexes = append(loc.Indexes, tsk.Outcome.Index)
		}
		if len(loc.Indexes) > 0 {
			locs = append(locs, loc)
		}
	}
	return locs, tried
}
