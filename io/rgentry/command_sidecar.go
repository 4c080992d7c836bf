package rgentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgwire"
)

const (
	// callTimeout bounds calls to which a live peer replies immediately.
	callTimeout = 5 * time.Second
	// pushCopies is the number of entries that push each change to a sidecar immediately. With two, the loss of one entry
	// causes no delay.
	pushCopies = 2
	// repairInterval is the shortest time between repairs of a sidecar, so that it can report what it was sent.
	repairInterval = 2 * time.Second
)

// announce registers the connection of a sidecar and seals the sidecar before it gets work.
func (pro *Process) announce(workCtx context.Context, sta *State, evt SidecarAnnounced, now time.Time) {
	key := evt.Sidecar.Key()
	if old, ok := rghome.Announce(&sta.Home, evt.Sidecar, now); ok {
		pro.removeSidecar(workCtx, sta, old)
	}
	sta.SidecarConns[key] = evt.Peer
	// The reply holds all configurations, so a report from before it arrives must not cause a repair.
	sta.LastRepair[key] = now
	evt.Reply <- rgwire.AnnounceReply{Entry: pro.self, Ring: sta.Home.Ring.Ring, Teams: teamList(sta.Home.Teams)}
	pro.publish(sta)
	pro.log.Info("sidecar connected", logSidecar(key))
	pro.seal(workCtx, sta, key)
	pro.traffic.Go(func() {
		<-evt.Peer.Done
		pro.mailbox.Send(workCtx, SidecarDisconnected{Key: key, Peer: evt.Peer})
	})
}

// recordReport records a load report, and logs the sidecar's ejection if the report causes one.
func (pro *Process) recordReport(sta *State, rep rgmodel.LoadReport, now time.Time) {
	if !rgfleet.RecordReport(&sta.Home.Fleet, rep, now) {
		return
	}
	hea := sta.Home.Fleet.Members[rep.Sidecar].Health
	pro.scope.Counter("ejections").Inc(1)
	pro.log.Warn("sidecar ejected", zap.String("sidecar", rep.Sidecar), zap.Duration("duration", hea.EjectedUntil.Sub(now)))
}

// seal requests the records of one sidecar under the current ring; the reply is sent as an event.
func (pro *Process) seal(workCtx context.Context, sta *State, key rgmodel.SidecarKey) {
	per := sta.SidecarConns[key]
	if per == nil || sta.Home.Ring.Ring.Generation == 0 {
		return
	}
	msg := rgwire.Seal{Ring: sta.Home.Ring.Ring, Home: pro.self}
	pro.traffic.Go(func() {
		ctx, stop := context.WithTimeout(workCtx, callTimeout)
		defer stop()
		var rep rgwire.SealReply
		if per.CallIdempotent(ctx, msg, &rep) != nil {
			// The sidecar is sealed again when it reconnects.
			per.Close()
			return
		}
		pro.mailbox.Send(workCtx, SealReplied{Key: key, Peer: per, Generation: msg.Ring.Generation, Records: rep.Records})
	})
}

func (pro *Process) recordSeal(workCtx context.Context, sta *State, evt SealReplied) {
	if sta.SidecarConns[evt.Key] != evt.Peer || !rghome.RecordSeal(&sta.Home, evt.Key, evt.Generation, evt.Records) {
		return
	}
	pro.publish(sta)
	for _, rep := range sta.SidecarWaiters[evt.Key] {
		rep <- SidecarConnState{Peer: evt.Peer}
	}
	delete(sta.SidecarWaiters, evt.Key)
	pro.unpark(workCtx, sta)
}

func (pro *Process) disconnect(sta *State, evt SidecarDisconnected, now time.Time) {
	if sta.SidecarConns[evt.Key] != evt.Peer {
		return
	}
	delete(sta.SidecarConns, evt.Key)
	delete(sta.PushTargets, evt.Key)
	delete(sta.LastRepair, evt.Key)
	rgfleet.Disconnect(&sta.Home.Fleet, evt.Key, now)
	pro.log.Info("sidecar disconnected", logSidecar(evt.Key))
}

// removeSidecar removes an incarnation that has been replaced, or disconnected for rgfleet.LostAfter. Both are logged as
// lost.
func (pro *Process) removeSidecar(workCtx context.Context, sta *State, key rgmodel.SidecarKey) {
	if per := sta.SidecarConns[key]; per != nil {
		per.Close()
		delete(sta.SidecarConns, key)
	}
	for _, rep := range sta.SidecarWaiters[key] {
		rep <- SidecarConnState{Lost: true}
	}
	delete(sta.SidecarWaiters, key)
	delete(sta.PushTargets, key)
	delete(sta.LastRepair, key)
	delete(sta.LeaveReplies, key)
	delete(sta.OutstandingParts, key)
	pro.publish(sta)
	pro.unpark(workCtx, sta)
	pro.log.Info("sidecar lost", logSidecar(key))
}

// awaitSidecarConn replies once the sidecar is connected and sealed, or lost.
func (pro *Process) awaitSidecarConn(sta *State, evt SidecarConnRequested) {
	mem := sta.Home.Fleet.Members[evt.Key.Name]
	switch {
	case mem == nil || mem.Sidecar.Incarnation != evt.Key.Incarnation:
		evt.Reply <- SidecarConnState{Lost: true}
	case mem.Connected && mem.Sealed:
		evt.Reply <- SidecarConnState{Peer: sta.SidecarConns[evt.Key]}
	default:
		sta.SidecarWaiters[evt.Key] = append(sta.SidecarWaiters[evt.Key], evt.Reply)
	}
}

// leave replies to a draining sidecar once none of its parts is outstanding.
func (pro *Process) leave(sta *State, evt LeaveRequested) {
	rgfleet.MarkLeaving(&sta.Home.Fleet, evt.Key)
	if sta.OutstandingParts[evt.Key] == 0 {
		evt.Reply <- struct{}{}
		return
	}
	sta.LeaveReplies[evt.Key] = evt.Reply
}

// endPart records that a part is no longer outstanding at a sidecar, and replies to Leave after the last one.
func (pro *Process) endPart(sta *State, key rgmodel.SidecarKey) {
	if sta.OutstandingParts[key] > 0 {
		sta.OutstandingParts[key]--
	}
	if sta.OutstandingParts[key] == 0 {
		delete(sta.OutstandingParts, key)
		if rep := sta.LeaveReplies[key]; rep != nil {
			rep <- struct{}{}
			delete(sta.LeaveReplies, key)
		}
	}
}

// pushRing sends the ring to all sidecars.
func (pro *Process) pushRing(workCtx context.Context, sta *State) {
	for _, per := range sta.SidecarConns {
		pro.configure(workCtx, per, rgwire.Configure{Ring: sta.Home.Ring.Ring})
	}
}

// pushTeamConfigs sends changed configurations to the sidecars for which this entry ranks within pushCopies. If every entry
// pushed every change, a sidecar would get it once per entry. The ring is left out, because it is larger than a change.
func (pro *Process) pushTeamConfigs(workCtx context.Context, sta *State, teams []rgmodel.TeamConfig) {
	for key, per := range sta.SidecarConns {
		target, ok := sta.PushTargets[key]
		if !ok {
			target = rgring.RanksWithin(sta.Home.Ring.Ring, pro.self, key.Name, pushCopies)
			sta.PushTargets[key] = target
		}
		if target {
			pro.configure(workCtx, per, rgwire.Configure{Teams: teams})
		}
	}
}

// repairConfig sends a sidecar the configurations that its report lacks, whichever entry should have sent them.
func (pro *Process) repairConfig(workCtx context.Context, sta *State, rep rgmodel.LoadReport, now time.Time) {
	key := rgmodel.SidecarKey{Name: rep.Sidecar, Incarnation: rep.Incarnation}
	per := sta.SidecarConns[key]
	if per == nil || now.Sub(sta.LastRepair[key]) < repairInterval {
		return
	}
	tcs := rgconfig.MissingConfigs(&sta.History, sta.Home.Teams, sta.Config, rep.Config, now)
	if len(tcs) == 0 {
		return
	}
	sta.LastRepair[key] = now
	pro.scope.Counter("configRepairs").Inc(1)
	pro.configure(workCtx, per, rgwire.Configure{Teams: tcs})
}

func (pro *Process) configure(workCtx context.Context, per *rgwire.Peer, msg rgwire.Configure) {
	pro.traffic.Go(func() {
		if per.Notify(workCtx, msg) != nil {
			// The sidecar gets all configurations in the reply to its next announcement.
			per.Close()
		}
	})
}
