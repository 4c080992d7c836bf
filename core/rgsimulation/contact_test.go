package rgsimulation

import (
	"time"

	"ragwortgap/core/rgdispatch"
)

const (
	// maxBreakDelay is how long after the beginning of a cut the connection breaks on the side of its caller.
	maxBreakDelay = 500 * time.Millisecond
	// maxBriefCut is shorter than the time between the first and the last probe before the bound, less a round trip.
	maxBriefCut = 60 * time.Millisecond
	// minBriefPause and maxBriefPause bound the time between two brief cuts of one connection. Shorter pauses would join two cuts.
	minBriefPause = 100 * time.Millisecond
	maxBriefPause = 400 * time.Millisecond
)

type (
	// cutCallers cuts a share of the callers off from their entries. The connection breaks on the caller's side only: the entry gets
	// neither its end nor an acknowledgement any more.
	cutCallers struct{ percent int }
	// cutCallersBriefly cuts the connections of all callers again and again, each time too briefly for one of them to break.
	cutCallersBriefly struct{}

	// contact is what the socket of an entry shows of a caller.
	contact struct {
		// cut is set while nothing arrives from the caller, and lost once that does not end any more.
		cut, lost  bool
		lastHeard  time.Time
		unanswered int
		// over is set once the request has ended at the entry.
		over bool
	}
)

func (cutCallers) isFault()        {}
func (cutCallersBriefly) isFault() {}

// disturbContact cuts the connection of an attempt at some time after its request has arrived, if the faults say so.
func (sim *simulation) disturbContact(att *attempt) {
	if sim.rnd.IntN(100) < sim.cutCallerPercent {
		sim.at(att.arrives.Add(sim.between(0, sim.callerWait)), func() {
			if att.over {
				return
			}
			sim.note(att.job.id, "%s is cut off", att.label)
			att.contact.cut, att.contact.lost = true, true
			sim.after(sim.between(0, maxBreakDelay), func() { sim.breakOff(att, "broken connection, the entry does not see it") })
		})
	}
	if sim.briefCallerCuts {
		sim.cutBriefly(att)
	}
}

// cutBriefly cuts the connection of an attempt for a moment, and again later.
func (sim *simulation) cutBriefly(att *attempt) {
	sim.after(sim.between(minBriefPause, maxBriefPause), func() {
		if att.over {
			return
		}
		att.contact.cut = true
		sim.after(sim.between(0, maxBriefCut), func() {
			att.contact.cut = att.contact.lost
			sim.cutBriefly(att)
		})
	})
}

// watchContact checks the connection of a waiting caller as the goroutine of its request does.
func (ent *entry) watchContact(att *attempt) {
	sim, con, gen := ent.sim, &att.contact, ent.generation
	con.lastHeard = att.arrives
	var check func()
	check = func() {
		switch {
		case con.over || !ent.up || gen != ent.generation:
			return
		case ent.isSuspended():
			sim.at(ent.suspendedUntil, check)
			return
		}
		silence := rgdispatch.CallerContact{Silence: sim.now.Sub(con.lastHeard), Unanswered: con.unanswered}
		chk := rgdispatch.CheckContact(silence, rgdispatch.DeadCallerBound(resendDelay, stopTime))
		if chk.Dead {
			sim.recordDeadCaller(att)
			ent.post(att, func() { ent.disconnectCaller(att) })
			return
		}
		if chk.Probe {
			sim.probe(att)
		}
		sim.after(chk.Next, check)
	}
	sim.after(rgdispatch.FirstContactCheck, check)
}

// probe sends a probe to a caller. The kernel of a caller that has left answers with a reset, which leave has delivered already.
func (sim *simulation) probe(att *attempt) {
	con := &att.contact
	con.unanswered++
	sim.after(sim.between(minLatency, maxLatency), func() {
		if con.cut {
			return
		}
		sim.after(sim.between(minLatency, maxLatency), func() {
			if !con.cut {
				con.lastHeard, con.unanswered = sim.now, 0
			}
		})
	})
}

// recordDeadCaller checks that only callers that are cut off count as dead.
func (sim *simulation) recordDeadCaller(att *attempt) {
	sim.note(att.job.id, "%s counts as dead", att.label)
	sim.deadCallers++
	if !att.contact.lost && !att.over && sim.violation == nil {
		sim.violation = &violation{cause: "a caller that waits counts as dead", text: att.label + "\n"}
	}
}
