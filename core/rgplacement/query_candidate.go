package rgplacement

import (
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
)

// NewCandidate returns the member of the fleet as a candidate for the job, with a round-trip time of zero.
func NewCandidate(flt *rgfleet.State, mem *rgfleet.Member, inf JobInfo, now time.Time) Candidate {
	tim := rgfleet.ServiceTime(flt, mem, inf.Flow.Kind, inf.DeclaredRunTime)
	can := Candidate{
		Sidecar:      mem.Sidecar.Key(),
		Slots:        mem.Sidecar.Capacity.Slots,
		ServiceTime:  tim,
		HealthWeight: rgfleet.Weight(mem, now),
	}
	own := rgmodel.FlowWeight(inf.Teams, inf.Flow)
	competing := own
	for _, fll := range mem.Report.Flows {
		can.addLoad(fll, inf, tim, rgfleet.ServiceTime(flt, mem, fll.Flow.Kind, 0))
		if fll.Queued > 0 && fll.Flow != inf.Flow {
			competing += rgmodel.FlowWeight(inf.Teams, fll.Flow)
		}
	}
	for _, fll := range mem.SentSinceReport {
		fll.Queued *= max(1, inf.Entries)
		can.addLoad(fll, inf, tim, rgfleet.ServiceTime(flt, mem, fll.Flow.Kind, 0))
	}
	can.FairShare = float64(own) / float64(competing)
	return can
}

// addLoad adds the load of a flow. Running tasks are assumed to be half done on average.
func (can *Candidate) addLoad(fll rgmodel.FlowLoad, inf JobInfo, own, other time.Duration) {
	tim := other
	if fll.Flow.Kind == inf.Flow.Kind {
		tim = own
	}
	running, queued := time.Duration(fll.Running)*tim/2, time.Duration(fll.Queued)*tim
	can.Load += fll.Queued + fll.Running
	can.RunningTime += running
	can.QueuedTime += queued
	if fll.Flow == inf.Flow {
		can.FlowTime += running + queued
	}
}
