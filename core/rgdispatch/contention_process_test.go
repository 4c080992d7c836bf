package rgdispatch

import (
	"fmt"
	"slices"
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
)

type (
	contentionEntry struct {
		name, zone string
		weight     float64
		sta        State
		peers      map[SidecarConnID]*contentionPeer
	}

	contentionSidecar struct {
		name, zone, label string
		cores, speed      float64
		sta               rgexecutor.State
		peers             map[rgexecutor.EntryConnID]*contentionPeer
		exe               contentionExecutor
	}

	// contentionPeer is a connection between an entry and a sidecar.
	contentionPeer struct {
		id         uint64
		ent        *contentionEntry
		sc         *contentionSidecar
		latency    time.Duration
		lastTicket rgmodel.Ticket
		ends       []rgmodel.TaskEnd
		described  bool
	}
)

func (con *contention) tickEntry(ent *contentionEntry) {
	con.after(TickInterval, func() {
		DetectSuspension(&ent.sta, con.now)
		con.perform(ent, Tick(&ent.sta, con.now))
		for _, per := range ent.peers {
			interval := ent.sta.Sidecars[SidecarConnID(per.id)].ReportInterval
			con.after(per.latency, func() {
				rgexecutor.RecordHeartbeat(&per.sc.sta, rgexecutor.EntryConnID(per.id), con.now)
				rgexecutor.SetReportInterval(&per.sc.sta, rgexecutor.EntryConnID(per.id), interval)
			})
		}
		con.tickEntry(ent)
	})
}

func (con *contention) perform(ent *contentionEntry, efs []Effect) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case SendPlacement:
			per := ent.peers[eff.Conn]
			con.counts["placements"] += len(eff.Placement.Tasks)
			con.after(per.latency, func() {
				for _, tsk := range eff.Placement.Tasks {
					per.lastTicket = max(per.lastTicket, tsk.Ticket)
				}
				con.handle(per.sc, rgexecutor.Place(&per.sc.sta, con.now, rgexecutor.EntryConnID(per.id), eff.Placement))
			})
		case CancelTasks:
			per := ent.peers[eff.Conn]
			con.after(per.latency, func() {
				con.handle(per.sc, rgexecutor.Cancel(&per.sc.sta, con.now, rgexecutor.EntryConnID(per.id), eff.Tickets))
			})
		case SendAnswer:
			con.answer(eff)
		}
	}
}

// answer records the outcome of a job. Its caller gets the answer 3 ms later.
func (con *contention) answer(ans SendAnswer) {
	jb := con.jobs[ans.Job]
	took := con.now.Add(3 * time.Millisecond).Sub(jb.arrived)
	jb.waited = took
	switch {
	case ans.Verdict == rgmodel.RanOK && took <= jb.limit:
		jb.outcome = "onTime"
	case ans.Verdict == rgmodel.RanOK && took <= 3*jb.limit:
		jb.outcome = "late"
	case ans.Verdict == rgmodel.RanOK:
		jb.outcome = "tooLate"
	case ans.Verdict == rgmodel.NotRun:
		jb.outcome = "refused"
	default:
		jb.outcome = "failed"
	}
	if ans.Verdict != rgmodel.RanOK {
		kind := "at once"
		if took > 10*time.Millisecond {
			kind = "after a wait"
		}
		con.counts[fmt.Sprintf("%s %s %s %s", ans.Detail.Route, jb.outcome, ans.Reason, kind)]++
	}
}

func (con *contention) addSidecar(num int) {
	lod := con.lod
	sc := &contentionSidecar{
		name: fmt.Sprintf("side-%d", num), zone: zoneName(num / lod.rack % lod.zones), label: fmt.Sprintf("rack-%d", num/lod.rack),
		cores: lod.cores, speed: 1 + 0.3*con.rnd.Float64(), peers: map[rgexecutor.EntryConnID]*contentionPeer{},
		exe: contentionExecutor{running: map[rgmodel.TaskKey]uint64{}},
	}
	if lod.unevenCores && num%3 == 0 {
		sc.cores *= 1.5
	}
	con.sidecars = append(con.sidecars, sc)
	sc.sta.Limits = rgexecutor.Limits{TaskStopTime: 50 * time.Millisecond}
	con.handle(sc, rgexecutor.UpdateExecutor(&sc.sta, con.now, rgmodel.Executor{
		Incarnation: rgmodel.ExecutorIncarnation{ID: sc.name, StartedMillis: 1}, Service: "desk", AvailabilityZone: sc.zone,
		Capacity: rgmodel.Resources{Cores: sc.cores}, Labels: []string{sc.label}, Sequence: 1,
	}))
	members := rgmembership.State{Name: sc.name, AvailabilityZone: sc.zone, Limits: boundedViews}
	var ents []rgmodel.Entry
	for _, ent := range con.entries {
		ents = append(ents, rgmodel.Entry{Name: ent.name, Address: ent.name, AvailabilityZone: ent.zone})
	}
	rgmembership.RecordListed(&members, con.now, ents)
	for i, act := range rgmembership.Update(&members, con.now) {
		dial, ok := act.(rgmembership.Dial)
		if !ok {
			continue
		}
		idx := slices.IndexFunc(con.entries, func(ent *contentionEntry) bool { return ent.name == dial.Address })
		per := &contentionPeer{id: uint64(1000*(num+1) + i), ent: con.entries[idx], sc: sc, latency: remoteLatency}
		if per.ent.zone == sc.zone {
			per.latency = localLatency
		}
		per.ent.peers[SidecarConnID(per.id)] = per
		sc.peers[rgexecutor.EntryConnID(per.id)] = per
		Connect(&per.ent.sta, con.now, SidecarConnID(per.id), sc.name, rgmodel.SidecarTimeOf(con.now))
		rgexecutor.Connect(&sc.sta, con.now, rgexecutor.EntryConnID(per.id))
	}
	con.tickSidecar(sc)
}

func (con *contention) tickSidecar(sc *contentionSidecar) {
	con.after(rgexecutor.TickInterval, func() {
		con.handle(sc, rgexecutor.Tick(&sc.sta, con.now))
		con.tickSidecar(sc)
	})
}

// handle carries out effects of a sidecar and sends the updates that are due, as its process does.
func (con *contention) handle(sc *contentionSidecar, efs []rgexecutor.Effect) {
	if len(efs) > 0 {
		rgexecutor.MarkLoadChanged(&sc.sta)
	}
	for _, eff := range efs {
		switch eff := eff.(type) {
		case rgexecutor.SendOrder:
			dly := localLatency
			if pol, ok := eff.Order.(rgmodel.PollOrder); ok {
				dly += pol.Delay
			}
			con.after(dly, func() { con.carryOut(sc, eff.Order) })
		case rgexecutor.ReportEnd:
			if per := sc.peers[eff.Conn]; per != nil {
				per.ends = append(per.ends, eff.End)
				con.counts[fmt.Sprintf("end %d %s", eff.End.Status, eff.End.Reason)]++
			}
		}
	}
	var ended []rgexecutor.EntryConnID
	for id, per := range sc.peers {
		if len(per.ends) > 0 {
			ended = append(ended, id)
		}
	}
	for _, upd := range rgexecutor.DueUpdates(&sc.sta, con.now, ended) {
		con.sendUpdate(sc.peers[upd.Conn], upd)
	}
}

func (con *contention) sendUpdate(per *contentionPeer, upd rgexecutor.Update) {
	ends, received, clock := per.ends, per.lastTicket, rgmodel.SidecarTimeOf(con.now)
	per.ends = nil
	con.after(per.latency, func() {
		sta, id := &per.ent.sta, SidecarConnID(per.id)
		RecordHeartbeat(sta, con.now, id, clock, upd.NextWithin)
		if !per.described {
			per.described = true
			UpdateExecutor(sta, id, per.sc.sta.Executor)
		}
		if upd.Report != nil {
			con.perform(per.ent, UpdateReport(sta, con.now, id, *upd.Report, received))
		}
		con.perform(per.ent, RecordEnds(sta, con.now, id, ends))
	})
}
