package rgsimulation

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// orderTimeout is how long the sidecar waits for a reply, in addition to the wait of a poll.
	orderTimeout = 40 * time.Millisecond
	// maxOrderLatency is the longest time that an order or a reply takes on the machine.
	maxOrderLatency = 2 * time.Millisecond
	// maxOrderDelay is the longest time after which a late order is carried out.
	maxOrderDelay = 12 * time.Second
)

type (
	// orderFaults are the shares of orders that are not carried out normally, in percent.
	orderFaults struct {
		lost, unanswered, late int
		// minDelay is the shortest delay of a late order.
		minDelay time.Duration
		// crossRestart is set if an executor that has restarted under the same id carries out the late orders of the one before.
		crossRestart bool
	}

	// call is an order whose reply the sidecar waits for. Only the first reply counts.
	call struct {
		sim  *simulation
		sc   *sidecar
		ord  rgmodel.Order
		gen  int
		done bool
	}
)

// sendOrder sends an order, after its delay, to the executor that listens on the sidecar's machine.
func (sim *simulation) sendOrder(sc *sidecar, ord rgmodel.Order) {
	if pol, ok := ord.(rgmodel.PollOrder); ok && pol.Delay > 0 {
		gen := sc.generation
		sim.after(pol.Delay, func() {
			sc.post(nil, func() {
				if sc.generation == gen {
					sim.sendNow(sc, ord)
				}
			})
		})
		return
	}
	sim.sendNow(sc, ord)
}

// sendNow sends an order to the executor that listens on the sidecar's machine. A goroutine of its own writes it, which may be later than
// the decision.
func (sim *simulation) sendNow(sc *sidecar, ord rgmodel.Order) {
	cll := &call{sim: sim, sc: sc, ord: ord, gen: sc.generation}
	timeout := orderTimeout
	noteOrder(sc, ord)
	if pol, ok := ord.(rgmodel.PollOrder); ok {
		timeout += pol.Wait
	}
	sc.act(func() {
		sim.after(timeout, cll.expire)
		sim.write(cll)
	})
}

// write writes an order to the executor at the other end of its connection, or to the one that listens on the sidecar's machine.
func (sim *simulation) write(cll *call) {
	sc, ord := cll.sc, cll.ord
	start, isStart := ord.(rgmodel.StartOrder)
	bound := isStart && start.Conn != 0
	// The end of a connection may not have been noticed yet. The order is then sent in vain.
	if bound && (sc.orderConns[start.Conn] == nil || !sc.orderConns[start.Conn].up && sim.rnd.IntN(2) == 0) {
		cll.finish(rgmodel.OrderReply{ConnectionEnded: true})
		return
	}
	target := func() *executor { return sc.listening }
	if bound {
		exe := sc.orderConns[start.Conn]
		target = func() *executor { return exe }
	}
	discard := func(rgmodel.OrderReply) {}
	arrival := sim.between(minLatency, maxOrderLatency)
	draw := sim.rnd.IntN(100)
	flt := sim.orders
	switch {
	case draw < flt.lost:
	case draw < flt.lost+flt.unanswered:
		sim.after(arrival, func() { sim.carryOut(target(), ord, 0, discard) })
	case draw < flt.lost+flt.unanswered+flt.late:
		exe, dly := target(), sim.between(flt.minDelay, maxOrderDelay)
		sim.after(dly, func() {
			if exe == sc.listening || flt.crossRestart {
				sim.carryOut(sc.listening, ord, dly, discard)
			}
		})
	default:
		sim.after(arrival, func() { sim.carryOut(target(), ord, 0, cll.reply) })
	}
}

func noteOrder(sc *sidecar, ord rgmodel.Order) {
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		sc.sim.note(taskName(ord.Task), "%s sends start of run %d, fence %d, %s", sc.name, ord.Run, ord.FenceToken, ord.Spec)
	case rgmodel.StopOrder:
		state := "untracked"
		if run := sc.sta.Runs[ord.Task]; run != nil && run.Number == ord.Run {
			state = string(run.Reason)
		}
		sc.sim.note(taskName(ord.Task), "%s sends stop of run %d, %s", sc.name, ord.Run, state)
	}
}

// carryOut passes an order to an executor. One that has ended or refuses connections gets nothing: an order over an open connection is then
// left without a reply.
func (sim *simulation) carryOut(exe *executor, ord rgmodel.Order, late time.Duration, reply func(rgmodel.OrderReply)) {
	start, isStart := ord.(rgmodel.StartOrder)
	bound := isStart && start.Conn != 0 && late == 0
	switch {
	case exe == nil || !exe.up:
		reply(rgmodel.OrderReply{ConnectionRefused: !bound})
		return
	case !bound && sim.now.Before(exe.refusingUntil):
		reply(rgmodel.OrderReply{ConnectionRefused: true})
		return
	}
	if pol, ok := ord.(rgmodel.PollOrder); ok && pol.Conn != 0 {
		exe.sc.orderConns[pol.Conn] = exe
	}
	exe.apply(ord, late, reply)
}

// reply delivers a reply after the latency. A reply that arrives at a suspended sidecar may be too late when it resumes.
func (cll *call) reply(rep rgmodel.OrderReply) {
	cll.sim.after(cll.sim.between(minLatency, maxOrderLatency), func() {
		if cll.sc.isSuspended() && cll.sim.rnd.IntN(3) == 0 {
			rep = rgmodel.OrderReply{}
		}
		cll.finish(rep)
	})
}

// expire ends the wait for a reply. A suspended sidecar may still read a reply that arrives before it resumes.
func (cll *call) expire() {
	if cll.gen == cll.sc.generation && cll.sc.isSuspended() && cll.sim.rnd.IntN(2) == 0 {
		cll.sim.at(cll.sc.suspendedUntil, func() { cll.finish(rgmodel.OrderReply{}) })
		return
	}
	cll.finish(rgmodel.OrderReply{})
}

func (cll *call) finish(rep rgmodel.OrderReply) {
	if cll.done || cll.gen != cll.sc.generation {
		return
	}
	cll.done = true
	cll.sc.post(nil, func() { cll.sc.handle(func() { cll.sc.handleReply(cll.ord, rep) }) })
}
