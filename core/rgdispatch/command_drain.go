package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// BeginDrain records by when the jobs of an entry that shuts down must have ended. Jobs that arrive later and cannot end by then are
// refused, so that their callers turn to another entry at once.
func BeginDrain(sta *State, endsBy time.Time) { sta.DrainEndsBy = endsBy }

// EndDrain gives up the jobs that are left when the entry must stop: it cancels their tasks and answers the callers. Only a job of which no
// task can have been started is answered as not run. All later jobs are refused.
func EndDrain(sta *State, now time.Time) []Effect {
	sta.Drained = true
	var efs []Effect
	for _, jb := range sta.Jobs {
		efs = append(efs, abortJob(sta, now, jb, rgmodel.ReasonDraining)...)
	}
	return efs
}
