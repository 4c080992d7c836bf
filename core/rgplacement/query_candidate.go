package rgplacement

import (
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
)

// FromMember returns a member of the fleet as a candidate for the work, at distance zero.
func FromMember(flt *rgfleet.State, mem *rgfleet.Member, wrk Work, now time.Time) Candidate {
	tim := rgfleet.ServiceTime(flt, mem, wrk.Flow.Kind, wrk.Declared)
	can := Candidate{
		Sidecar:     mem.Sidecar.Key(),
		Slots:       mem.Sidecar.Capacity.Slots,
		ServiceTime: tim,
		Weight:      rgfleet.Weight(mem, now),
	}
	own := rgmodel.FlowWeight(wrk.Teams, wrk.Flow)
	competing := own
	for _, fll := range mem.Report.Flows {
		can.add(fll, wrk, tim, rgfleet.ServiceTime(flt, mem, fll.Flow.Kind, 0))
		if fll.Queued > 0 && fll.Flow != wrk.Flow {
			competing += rgmodel.FlowWeight(wrk.Teams, fll.Flow)
		}
	}
	for _, fll := range mem.SentSince {
		fll.Queued *= max(1, wrk.Senders)
		can.add(fll, wrk, tim, rgfleet.ServiceTime(flt, mem, fll.Flow.Kind, 0))
	}
	can.Share = float64(own) / float64(competing)
	return can
}

// add assumes that running tasks are half done on average.
func (can *Candidate) add(fll rgmodel.FlowLoad, wrk Work, own, other time.Duration) {
	tim := other
	if fll.Flow.Kind == wrk.Flow.Kind {
		tim = own
	}
	running, queued := time.Duration(fll.Running)*tim/2, time.Duration(fll.Queued)*tim
	can.Load += fll.Queued + fll.Running
	can.Running += running
	can.Queued += queued
	if fll.Flow == wrk.Flow {
		can.Own += running + queued
	}
}
