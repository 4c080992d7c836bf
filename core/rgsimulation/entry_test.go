package rgsimulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
)

const (
	// heartbeatInterval and idleHeartbeatInterval are those of the entry process.
	heartbeatInterval     = 90 * time.Millisecond
	idleHeartbeatInterval = 400 * time.Millisecond
	// maxRunTimeMargin is the one that the entry process adds to the resend delay.
	maxRunTimeMargin = 250 * time.Millisecond
)

type (
	// entryPeer is a connection of an entry.
	entryPeer struct {
		con            *conn
		introduced     bool
		lastSent       time.Time
		reportInterval time.Duration
	}

	// entry is an entry process.
	entry struct {
		process
		index int
		sta   rgdispatch.State
		peers map[rgdispatch.SidecarConnID]*entryPeer
		// callers holds the attempts that wait for an answer, and handlers those whose connection is open. idleConns holds the open
		// connections of callers that wait for no answer.
		callers    map[rgdispatch.CallerID]*attempt
		handlers   map[*attempt]bool
		idleConns  []*callerConn
		lastCaller rgdispatch.CallerID
	}
)

// startEntry starts the entry with an empty state.
func (sim *simulation) startEntry(ent *entry) {
	ent.sta = rgdispatch.State{Name: ent.name, Limits: rgdispatch.Limits{
		MaxRunTimeAfterLoss: resendDelay + maxRunTimeMargin, MaxRunTimeAfterCancel: resendDelay,
	}}
	ent.peers = map[rgdispatch.SidecarConnID]*entryPeer{}
	ent.callers = map[rgdispatch.CallerID]*attempt{}
	ent.handlers = map[*attempt]bool{}
	ent.start(ent.tick)
	sim.note(ent.name, "started")
}

// kill ends the entry process. Its callers and sidecars see a broken connection.
func (ent *entry) kill() {
	ent.sim.note(ent.name, "killed")
	ent.up = false
	for i := range ent.sim.sidecars {
		if con := ent.sim.links[ent.index][i].conn; con != nil {
			ent.sim.closeSide(con, toEntry)
		}
	}
	atts := slices.SortedFunc(maps.Keys(ent.handlers), func(one, two *attempt) int { return cmp.Compare(one.label, two.label) })
	for _, att := range atts {
		if !att.contact.lost {
			ent.sim.after(ent.sim.between(minLatency, maxLatency), func() { ent.sim.breakOff(att, "broken connection") })
		}
	}
}

func (ent *entry) connect(con *conn) {
	ent.detectSuspension()
	ent.peers[rgdispatch.SidecarConnID(con.id)] = &entryPeer{con: con}
}

func (ent *entry) disconnect(con *conn) {
	now := ent.sim.now
	ent.detectSuspension()
	ent.sim.note(ent.name, "sidecar %s lost, connection %d", con.sc.name, con.id)
	delete(ent.peers, rgdispatch.SidecarConnID(con.id))
	ent.perform(sortEffects(rgdispatch.Disconnect(&ent.sta, now, rgdispatch.SidecarConnID(con.id))))
}

func (ent *entry) receive(con *conn, msg message) {
	now, id := ent.sim.now, rgdispatch.SidecarConnID(con.id)
	ent.detectSuspension()
	per := ent.peers[id]
	if per == nil {
		return
	}
	switch msg := msg.(type) {
	case hello:
		per.introduced = true
		rgdispatch.Connect(&ent.sta, now, id, con.sc.name, msg.clock)
		ent.sim.note(ent.name, "sidecar %s connected, connection %d", con.sc.name, con.id)
		ent.sendHeartbeat(id, per)
	case update:
		ent.noteEnds(con, msg.ends)
		ent.endLeftCallers(rgdispatch.JobsToPlace(&ent.sta, now, id, msg.report, msg.ends))
		rgdispatch.RecordHeartbeat(&ent.sta, now, id, msg.clock, msg.nextWithin)
		if msg.executor != nil {
			rgdispatch.UpdateExecutor(&ent.sta, id, *msg.executor)
		}
		if msg.report != nil {
			ent.perform(sortEffects(rgdispatch.UpdateReport(&ent.sta, now, id, *msg.report, msg.lastTicket)))
		}
		ent.perform(rgdispatch.RecordEnds(&ent.sta, now, id, msg.ends))
	}
}

func (ent *entry) noteEnds(con *conn, ends []rgmodel.TaskEnd) {
	sc := ent.sta.Sidecars[rgdispatch.SidecarConnID(con.id)]
	for _, end := range ends {
		if sc == nil {
			return
		}
		if ref, found := sc.Placed[end.Ticket]; found {
			key := rgmodel.TaskKey{Job: ref.Job, Step: ref.Step, Index: ref.Index}
			ent.sim.lastEnds[reportedTask{task: key, sidecar: con.sc}] = end
			ent.sim.note(taskName(key), "%s receives end from %s: %v %v (connection %d ticket %d)",
				ent.name, con.sc.name, end.Status, end.Reason, con.id, end.Ticket)
		}
	}
}

// tick does at each tick what the entry process does.
func (ent *entry) tick() {
	now := ent.sim.now
	ent.detectSuspension()
	ent.endLeftCallers(rgdispatch.UnplacedJobs(&ent.sta))
	ent.perform(sortEffects(rgdispatch.Tick(&ent.sta, now)))
	for _, id := range slices.Sorted(maps.Keys(ent.peers)) {
		if per := ent.peers[id]; per.introduced && ent.heartbeatDue(id, per) {
			ent.sendHeartbeat(id, per)
		}
	}
}

func (ent *entry) heartbeatDue(id rgdispatch.SidecarConnID, per *entryPeer) bool {
	age := ent.sim.now.Sub(per.lastSent)
	sc := ent.sta.Sidecars[id]
	if sc != nil && (len(sc.Placed) > 0 && age >= heartbeatInterval || sc.ReportInterval != per.reportInterval) {
		return true
	}
	return age >= idleHeartbeatInterval
}

func (ent *entry) sendHeartbeat(id rgdispatch.SidecarConnID, per *entryPeer) {
	per.lastSent = ent.sim.now
	if sc := ent.sta.Sidecars[id]; sc != nil {
		per.reportInterval = sc.ReportInterval
	}
	ent.sim.send(per.con, toSidecar, heartbeat{issued: ent.sidecarTime(id), reportInterval: per.reportInterval})
}

func (ent *entry) sidecarTime(id rgdispatch.SidecarConnID) rgmodel.SidecarTime {
	if sc := ent.sta.Sidecars[id]; sc != nil {
		return rgdispatch.EstimateSidecarTime(sc, ent.sim.now)
	}
	return 0
}

// sortEffects makes the order of effects independent of the order of maps. It must only be used for commands that do not place and
// cancel the same task.
func sortEffects(efs []rgdispatch.Effect) []rgdispatch.Effect {
	if len(efs) > 1 {
		slices.SortStableFunc(efs, func(one, two rgdispatch.Effect) int { return cmp.Compare(effectName(one), effectName(two)) })
	}
	return efs
}

// sortCancels makes the order of the messages to several sidecars independent of the order of maps.
func sortCancels(efs []rgdispatch.Effect) {
	for i := 0; i < len(efs); i++ {
		end := i
		for end < len(efs) && isCancel(efs[end]) {
			end++
		}
		slices.SortStableFunc(efs[i:end], func(one, two rgdispatch.Effect) int {
			return cmp.Compare(one.(rgdispatch.CancelTasks).Conn, two.(rgdispatch.CancelTasks).Conn)
		})
		i = max(i, end)
	}
}

func isCancel(eff rgdispatch.Effect) bool {
	_, ok := eff.(rgdispatch.CancelTasks)
	return ok
}

func effectName(eff rgdispatch.Effect) string {
	if ans, ok := eff.(rgdispatch.SendAnswer); ok {
		return "answer " + ans.Job
	}
	return fmt.Sprintf("%T %v", eff, eff)
}

// perform carries out effects like the entry process.
func (ent *entry) perform(efs []rgdispatch.Effect) {
	sim := ent.sim
	sortCancels(efs)
	for _, eff := range efs {
		switch eff := eff.(type) {
		case rgdispatch.SendPlacement:
			per := ent.peers[eff.Conn]
			if per == nil {
				continue
			}
			per.lastSent = sim.now
			for _, tsk := range eff.Placement.Tasks {
				sim.checkPlacement(ent, tsk.Key)
				sim.note(taskName(tsk.Key), "%s places it on %s (connection %d ticket %d, %s)",
					ent.name, per.con.sc.name, eff.Conn, tsk.Ticket, eff.Placement.Spec)
			}
			sim.send(per.con, toSidecar, place{placement: eff.Placement})
		case rgdispatch.CancelTasks:
			if per := ent.peers[eff.Conn]; per != nil {
				per.lastSent = sim.now
				sim.send(per.con, toSidecar, cancel{issued: ent.sidecarTime(eff.Conn), tickets: eff.Tickets})
			}
		case rgdispatch.CloseConn:
			if per := ent.peers[eff.Conn]; per != nil {
				sim.note(ent.name, "closes connection %d to %s", eff.Conn, per.con.sc.name)
				sim.closeSide(per.con, toEntry)
			}
		case rgdispatch.SendAnswer:
			sim.note(eff.Job, "%s answers caller %d: %v %v", ent.name, eff.Caller, eff.Verdict, eff.Reason)
			if att := ent.callers[eff.Caller]; att != nil {
				delete(ent.callers, eff.Caller)
				sim.answer(att, eff.Verdict)
			}
		}
	}
}
