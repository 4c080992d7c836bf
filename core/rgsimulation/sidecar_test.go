package rgsimulation

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
)

const (
	// connSilenceTimeout is the one of the sidecar process.
	connSilenceTimeout = time.Second
	// maxLease and stopTime are those of the executors.
	maxLease = time.Second
	stopTime = 50 * time.Millisecond
	// maxRestoreTime is how long a sidecar that starts waits for the store.
	maxRestoreTime = 200 * time.Millisecond
)

type (
	// sidecarPeer is a connection of a sidecar.
	sidecarPeer struct {
		con          *conn
		lastTicket   rgmodel.Ticket
		sentExecutor rgmodel.Executor
		unsentEnds   []rgmodel.TaskEnd
		// tasks holds the tasks of the tickets, for the trace.
		tasks map[rgmodel.Ticket]rgmodel.TaskKey
	}

	// sidecar is a sidecar process with the executors on its machine.
	sidecar struct {
		process
		index int
		sta   rgexecutor.State
		peers map[rgexecutor.EntryConnID]*sidecarPeer
		// saved is the description of the executor in the store.
		saved rgmodel.Executor
		// listening is the executor that was started last on the machine.
		listening *executor
		// orderConns maps the connections that polls have opened to the executors at their other ends, or to nil once they have ended.
		orderConns map[rgmodel.ExecutorConnID]*executor
		// executorKind is the label of the executors that start on the machine from now on.
		executorKind string
		// setBack is how far the clock of the machine was set back.
		setBack time.Duration
	}
)

// startSidecar starts the sidecar with an empty state. It mostly gets the description of its executor from the store.
func (sim *simulation) startSidecar(sc *sidecar) {
	sc.sta = rgexecutor.State{Limits: rgexecutor.Limits{MaxLease: maxLease, ResendDelay: resendDelay, TaskStopTime: stopTime}}
	sc.peers = map[rgexecutor.EntryConnID]*sidecarPeer{}
	sc.orderConns = map[rgmodel.ExecutorConnID]*executor{}
	sc.start(sc.tick)
	sim.note(sc.name, "started")
	for _, ent := range sim.entries {
		sc.redial(ent)
	}
	if sc.saved.Service == "" || sim.rnd.IntN(5) == 0 {
		return
	}
	saved := sc.saved
	sim.after(sim.between(minLatency, maxRestoreTime), func() {
		sc.post(nil, func() {
			sc.handle(func() {
				sc.perform(rgexecutor.RestoreExecutor(&sc.sta, sc.sim.now, saved))
			})
		})
	})
}

// kill ends the sidecar process.
func (sc *sidecar) kill() {
	sc.sim.note(sc.name, "killed")
	sc.up = false
	for i := range sc.sim.entries {
		if con := sc.sim.links[i][sc.index].conn; con != nil {
			sc.sim.closeSide(con, toSidecar)
		}
	}
}

func (sc *sidecar) redial(ent *entry) {
	gen := sc.generation
	sc.sim.after(sc.sim.between(minRedialDelay, maxRedialDelay), func() { sc.sim.dial(sc, ent, gen) })
}

// handle handles an event like the sidecar process, which sends the updates that are due after each one.
func (sc *sidecar) handle(action func()) {
	phase := sc.sta.Phase
	action()
	if phase != sc.sta.Phase {
		sc.sim.note(sc.name, "phase %d to %d, fence %d", phase, sc.sta.Phase, sc.sta.FenceToken)
		rgexecutor.MarkLoadChanged(&sc.sta)
	}
	sc.sendUpdates()
}

func (sc *sidecar) connect(con *conn) {
	sc.handle(func() {
		id := rgexecutor.EntryConnID(con.id)
		sc.peers[id] = &sidecarPeer{con: con, tasks: map[rgmodel.Ticket]rgmodel.TaskKey{}}
		rgexecutor.Connect(&sc.sta, sc.sim.now, id)
		sc.sim.note(sc.name, "entry %s connected, connection %d", con.ent.name, con.id)
	})
}

func (sc *sidecar) disconnect(con *conn) {
	sc.handle(func() {
		id := rgexecutor.EntryConnID(con.id)
		delete(sc.peers, id)
		sc.sim.note(sc.name, "entry %s lost, connection %d", con.ent.name, con.id)
		sc.perform(rgexecutor.Disconnect(&sc.sta, sc.sim.now, id))
	})
}

func (sc *sidecar) receive(con *conn, msg message) {
	now, id := sc.sim.now, rgexecutor.EntryConnID(con.id)
	sc.handle(func() {
		per := sc.peers[id]
		if per == nil {
			return
		}
		switch msg := msg.(type) {
		case heartbeat:
			rgexecutor.RecordHeartbeat(&sc.sta, id, msg.issued.Time())
			rgexecutor.SetReportInterval(&sc.sta, id, msg.reportInterval)
		case place:
			for _, tsk := range msg.placement.Tasks {
				per.lastTicket = max(per.lastTicket, tsk.Ticket)
				per.tasks[tsk.Ticket] = tsk.Key
				sc.sim.note(taskName(tsk.Key), "%s receives it (connection %d ticket %d, issued %v ago)",
					sc.name, con.id, tsk.Ticket, now.Sub(msg.placement.Issued.Time()).Truncate(time.Millisecond))
			}
			sc.perform(rgexecutor.Place(&sc.sta, now, id, msg.placement))
		case cancel:
			for _, tkt := range msg.tickets {
				sc.sim.note(taskName(per.tasks[tkt]), "%s receives cancel (connection %d ticket %d)", sc.name, con.id, tkt)
			}
			rgexecutor.RecordHeartbeat(&sc.sta, id, msg.issued.Time())
			sc.perform(rgexecutor.Cancel(&sc.sta, now, id, msg.tickets))
		}
	})
}

func (sc *sidecar) tick() {
	sc.handle(func() {
		now := sc.sim.now
		sc.perform(rgexecutor.Tick(&sc.sta, now))
		for _, id := range slices.Sorted(maps.Keys(sc.peers)) {
			if cur := sc.sta.Conns[id]; cur != nil && now.Sub(cur.LastAlive) > connSilenceTimeout {
				sc.sim.closeSide(sc.peers[id].con, toSidecar)
			}
		}
	})
}

func (sc *sidecar) updateExecutor(exe rgmodel.Executor) {
	before := rgexecutor.Description(&sc.sta)
	efs := rgexecutor.UpdateExecutor(&sc.sta, sc.sim.now, exe)
	sc.recordExecutor(before)
	sc.perform(efs)
}

func (sc *sidecar) recordExecutor(before rgmodel.Executor) {
	exe := rgexecutor.Description(&sc.sta)
	if exe.Service == "" || sameExecutor(before, exe) {
		return
	}
	sc.sim.note(sc.name, "executor %v draining %v", exe.Incarnation, exe.Draining)
	sc.save()
	rgexecutor.MarkLoadChanged(&sc.sta)
}

func (sc *sidecar) deregisterExecutor(id string) {
	before := rgexecutor.Description(&sc.sta)
	efs := rgexecutor.DeregisterExecutor(&sc.sta, id)
	sc.sim.note(sc.name, "executor %s has deregistered", id)
	sc.recordExecutor(before)
	sc.perform(efs)
}

// save saves the executor in the store, without its clock.
func (sc *sidecar) save() {
	sc.saved = sc.sta.Executor
	sc.saved.Clock = 0
}

func (sc *sidecar) handleReply(ord rgmodel.Order, rep rgmodel.OrderReply) {
	now, before := sc.sim.now, rgexecutor.Description(&sc.sta)
	defer func() { sc.recordExecutor(before) }()
	switch ord := ord.(type) {
	case rgmodel.StartOrder:
		sc.sim.note(taskName(ord.Task), "%s receives reply to start of run %d: replied %v, connection refused %v, refusal %v",
			sc.name, ord.Run, rep.Replied, rep.ConnectionRefused, rep.Refusal)
		sc.perform(rgexecutor.HandleStartReply(&sc.sta, now, ord, rep))
	case rgmodel.StopOrder:
		sc.sim.note(taskName(ord.Task), "%s receives reply to stop of run %d: replied %v, refusal %v",
			sc.name, ord.Run, rep.Replied, rep.Refusal)
		sc.perform(rgexecutor.HandleStopReply(&sc.sta, now, ord, rep))
	case rgmodel.PollOrder:
		sc.perform(rgexecutor.HandlePollReply(&sc.sta, now, ord, rep))
	}
}

// perform carries out effects like the sidecar process.
func (sc *sidecar) perform(efs []rgexecutor.Effect) {
	if len(efs) == 0 {
		return
	}
	rgexecutor.MarkLoadChanged(&sc.sta)
	// The order of the effects must not depend on the order of maps.
	slices.SortStableFunc(efs, func(one, two rgexecutor.Effect) int {
		return cmp.Compare(fmt.Sprintf("%T %v", one, one), fmt.Sprintf("%T %v", two, two))
	})
	for _, eff := range efs {
		switch eff := eff.(type) {
		case rgexecutor.SendOrder:
			sc.sim.sendOrder(sc, eff.Order)
		case rgexecutor.CloseConn:
			delete(sc.orderConns, eff.Conn)
		case rgexecutor.ReportEnd:
			if per := sc.peers[eff.Conn]; per != nil {
				per.unsentEnds = append(per.unsentEnds, eff.End)
				sc.sim.note(taskName(per.tasks[eff.End.Ticket]), "%s reports %v %v (connection %d ticket %d)",
					sc.name, eff.End.Status, eff.End.Reason, eff.Conn, eff.End.Ticket)
			}
		case rgexecutor.LogRequeue:
			sc.sim.note(taskName(eff.Task), "%s queues it again after run %d", sc.name, eff.Run)
		}
	}
}

func (sc *sidecar) sendUpdates() {
	now := sc.sim.now
	var ended []rgexecutor.EntryConnID
	for id, per := range sc.peers {
		if len(per.unsentEnds) > 0 {
			ended = append(ended, id)
		}
	}
	upds := rgexecutor.DueUpdates(&sc.sta, now, ended)
	slices.SortFunc(upds, func(one, two rgexecutor.Update) int { return cmp.Compare(one.Conn, two.Conn) })
	for _, upd := range upds {
		per := sc.peers[upd.Conn]
		msg := update{
			clock: rgmodel.SidecarTimeOf(now), nextWithin: upd.NextWithin, lastTicket: per.lastTicket, report: upd.Report,
			ends: per.unsentEnds,
		}
		if exe := sc.sta.Executor; !sameExecutor(exe, per.sentExecutor) {
			per.sentExecutor = exe
			msg.executor = &exe
		}
		per.unsentEnds = nil
		sc.sim.send(per.con, toEntry, msg)
	}
}

// sameExecutor ignores the fields that change with each heartbeat of the executor.
func sameExecutor(one, two rgmodel.Executor) bool {
	one.Clock, one.Sequence = two.Clock, two.Sequence
	return reflect.DeepEqual(one, two)
}
