package rgentry

import (
	"time"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
)

// loads returns what is known of the sidecars that may run the job.
func loads(sta *state, jb rgmodel.Job, now time.Time) []rgadmission.Load {
	var lds []rgadmission.Load
	for _, mem := range rgfleet.Usable(&sta.fleet, now) {
		if jb.Requires.Fits(mem.Sidecar.Capacity.Resources) {
			lds = append(lds, rgadmission.Load{Slots: mem.Sidecar.Capacity.Slots, Report: mem.Report, Sent: mem.SentFlows})
		}
	}
	return lds
}
