package rgsimulation

import (
	"time"

	"ragwortgap/core/rgdispatch"
)

// callerConn is a connection of a caller to an entry. Callers keep it for further requests until they leave.
type callerConn struct {
	ent *entry
	// generation is that of the entry process which has the other end.
	generation int
	// lastRead is when the process last read bytes from the connection. At the accept, it is when the kernel of the entry, which is
	// not suspended with the process, has received the first bytes or opened the connection.
	lastRead time.Time
	accepted bool
}

// openConn returns a connection to an entry, and the time until a request can be sent over it. An idle connection is used if there is
// one. The request of a new one is sent after the handshake, and the process accepts the connection between the two.
func (sim *simulation) openConn(ent *entry) (*callerConn, time.Duration) {
	for num := len(ent.idleConns); num > 0; num-- {
		con := ent.idleConns[num-1]
		ent.idleConns = ent.idleConns[:num-1]
		if con.generation == ent.generation {
			return con, 0
		}
	}
	con := &callerConn{ent: ent, generation: ent.generation}
	arrival := sim.between(minLatency, maxLatency)
	var accept func()
	accept = func() {
		if con.lastRead.IsZero() {
			con.lastRead = sim.now
		}
		if ent.isSuspended() {
			sim.at(ent.suspendedUntil, accept)
			return
		}
		con.accepted = true
	}
	sim.after(arrival, accept)
	return con, arrival + sim.between(minLatency, maxLatency)
}

// read lets the process read a request that has arrived, and submit it to the control goroutine after its hold time.
func (con *callerConn) read(att *attempt) {
	ent, sim := con.ent, con.ent.sim
	if !ent.up || con.generation != ent.generation {
		return
	}
	if !con.accepted {
		con.lastRead = later(con.lastRead, att.arrives)
	}
	if ent.isSuspended() {
		sim.at(ent.suspendedUntil.Add(sim.between(0, resumeTime)), func() { con.read(att) })
		return
	}
	silence := sim.now.Sub(con.lastRead)
	hold := rgdispatch.HoldTime(rgdispatch.Request{Silence: silence}, resendDelay)
	att.received, con.lastRead = sim.now, sim.now
	sim.note(att.job.id, "%s reads %s after a silence of %v and holds it for %v", ent.name, att.label, silence, hold)
	sim.after(hold, func() {
		if con.generation == ent.generation {
			ent.post(att, func() { ent.submit(att) })
			ent.watchContact(att)
		}
	})
}
