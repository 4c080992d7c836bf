package rgring

import (
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgsubmission"
)

// Claims returns where the recorded tasks of a submission are to be collected, and the sidecars that have refused
// tasks of it and must not be asked again.
func Claims(sigs []Sighting) ([]rgsubmission.Place, map[rgmodel.SidecarKey]bool) {
	var plcs []rgsubmission.Place
	tried := map[rgmodel.SidecarKey]bool{}
	for _, sig := range sigs {
		plc := rgsubmission.Place{Sidecar: sig.Sidecar}
		for _, tsk := range sig.Record.Tasks {
			if tsk.State == rgmodel.TaskFinal && tsk.Outcome.Verdict == rgmodel.NotRun {
				tried[sig.Sidecar] = true
				continue
			}
			plc.Indexes = append(plc.Indexes, tsk.Outcome.Index)
		}
		if len(plc.Indexes) > 0 {
			plcs = append(plcs, plc)
		}
	}
	return plcs, tried
}
