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
	// callTimeout bounds calls that a live peer answers at once.
	callTimeout = 5 * time.Second
	// pushCopies is the number of entries that push each change to a sidecar at once, so that the loss of one entry
	// delays nothing.
	pushCopies = 2
	// repairPause gives a sidecar the time to report what it was sent.
	repairPause = 2 * time.Second
)

// announce takes in a sidecar's connection and seals it before it gets work.
func (pro *Process) announce(work context.Context, sta *State, evt Announced, now time.Time) {
	key := evt.Sidecar.Key()
	if old, ok := rghome.Announce(&sta.Home, evt.Sidecar, now); ok {
		pro.loseSidecar(work, sta, old)
	}
	sta.Peers[key] = evt.Peer
	// The reply holds all configurations, and a report that was made before it came is no reason to repair.
	sta.LastRepair[key] = now
	evt.Reply <- rgwire.AnnounceReply{Entry: pro.self, Ring: sta.Home.Ring.Ring, Teams: teamList(sta.Home.Teams)}
	pro.publish(sta)
	pro.log.Info("sidecar connected", logSidecar(key))
	pro.seal(work, sta, key)
	pro.traffic.Go(func() {
		<-evt.Peer.Done
		pro.tell(work, Disconnected{Key: key, Peer: evt.Peer})
	})
}

func (pro *Process) takeReport(sta *State, rep rgmodel.Report, now time.Time) {
	if !rgfleet.Report(&sta.Home.Fleet, rep, now) {
		return
	}
	hea := sta.Home.Fleet.Members[rep.Sidecar].Health
	pro.scope.Counter("ejections").Inc(1)
	pro.log.Warn("sidecar ejected", zap.String("sidecar", rep.Sidecar), zap.Duration("duration", hea.EjectedUntil.Sub(now)))
}

// seal asks one sidecar for its records under the current ring; the answer comes as an event.
func (pro *Process) seal(work context.Context, sta *State, key rgmodel.SidecarKey) {
	per := sta.Peers[key]
	if per == nil || sta.Home.Ring.Ring.Generation == 0 {
		return
	}
	msg := rgwire.Seal{Ring: sta.Home.Ring.Ring, Home: pro.self}
	pro.traffic.Go(func() {
		ctx, stop := context.WithTimeout(work, callTimeout)
		defer stop()
		var rep rgwire.SealReply
		if per.Ask(ctx, msg, &rep) != nil {
			// A new connection is sealed again.
			per.Close()
			return
		}
		pro.tell(work, SealAnswered{Key: key, Peer: per, Generation: msg.Ring.Generation, Records: rep.Records})
	})
}

func (pro *Process) sealed(work context.Context, sta *State, evt SealAnswered) {
	if sta.Peers[evt.Key] != evt.Peer || !rghome.SealAnswered(&sta.Home, evt.Key, evt.Generation, evt.Records) {
		return
	}
	pro.publish(sta)
	for _, rep := range sta.PeerWaiters[evt.Key] {
		rep <- PeerState{Peer: evt.Peer}
	}
	delete(sta.PeerWaiters, evt.Key)
	pro.unpark(work, sta)
}

func (pro *Process) disconnect(sta *State, evt Disconnected, now time.Time) {
	if sta.Peers[evt.Key] != evt.Peer {
		return
	}
	delete(sta.Peers, evt.Key)
	delete(sta.PushTargets, evt.Key)
	delete(sta.LastRepair, evt.Key)
	rgfleet.Disconnect(&sta.Home.Fleet, evt.Key, now)
	pro.log.Info("sidecar disconnected", logSidecar(evt.Key))
}

// loseSidecar gives up on an incarnation for good.
func (pro *Process) loseSidecar(work context.Context, sta *State, key rgmodel.SidecarKey) {
	if per := sta.Peers[key]; per != nil {
		per.Close()
		delete(sta.Peers, key)
	}
	for _, rep := range sta.PeerWaiters[key] {
		rep <- PeerState{Lost: true}
	}
	delete(sta.PeerWaiters, key)
	delete(sta.PushTargets, key)
	delete(sta.LastRepair, key)
	delete(sta.LeaveReplies, key)
	delete(sta.OutstandingParts, key)
	pro.publish(sta)
	pro.unpark(work, sta)
	pro.log.Info("sidecar lost", logSidecar(key))
}

// awaitPeer answers when the sidecar is connected and sealed, or lost.
func (pro *Process) awaitPeer(sta *State, evt PeerRequested) {
	mem := sta.Home.Fleet.Members[evt.Key.Name]
	switch {
	case mem == nil || mem.Sidecar.Incarnation != evt.Key.Incarnation:
		evt.Reply <- PeerState{Lost: true}
	case mem.Connected && mem.Sealed:
		evt.Reply <- PeerState{Peer: sta.Peers[evt.Key]}
	default:
		sta.PeerWaiters[evt.Key] = append(sta.PeerWaiters[evt.Key], evt.Reply)
	}
}

// leave answers a draining sidecar once no answer of it is outstanding.
func (pro *Process) leave(sta *State, evt LeaveRequested) {
	rgfleet.MarkLeaving(&sta.Home.Fleet, evt.Key)
	if sta.OutstandingParts[evt.Key] == 0 {
		evt.Reply <- struct{}{}
		return
	}
	sta.LeaveReplies[evt.Key] = evt.Reply
}

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
func (pro *Process) pushRing(work context.Context, sta *State) {
	for _, per := range sta.Peers {
		pro.configure(work, per, rgwire.Configure{Ring: sta.Home.Ring.Ring})
	}
}

// pushTeams sends changed configurations to the sidecars that this entry is near to. If each entry pushed each change,
// a sidecar would get it as often as there are entries. The ring is left out, because it is larger than a change.
func (pro *Process) pushTeams(work context.Context, sta *State, teams []rgmodel.TeamConfig) {
	for key, per := range sta.Peers {
		near, ok := sta.PushTargets[key]
		if !ok {
			near = rgring.RanksWithin(sta.Home.Ring.Ring, pro.self, key.Name, pushCopies)
			sta.PushTargets[key] = near
		}
		if near {
			pro.configure(work, per, rgwire.Configure{Teams: teams})
		}
	}
}

// repair sends a sidecar what it lacks according to its report, whoever should have sent it.
func (pro *Process) repair(work context.Context, sta *State, rep rgmodel.Report, now time.Time) {
	key := rgmodel.SidecarKey{Name: rep.Sidecar, Incarnation: rep.Incarnation}
	per := sta.Peers[key]
	if per == nil || now.Sub(sta.LastRepair[key]) < repairPause {
		return
	}
	tcs := rgconfig.MissingTeams(&sta.History, sta.Home.Teams, sta.Config, rep.Config, now)
	if len(tcs) == 0 {
		return
	}
	sta.LastRepair[key] = now
	pro.scope.Counter("configRepairs").Inc(1)
	pro.configure(work, per, rgwire.Configure{Teams: tcs})
}

func (pro *Process) configure(work context.Context, per *rgwire.Peer, msg rgwire.Configure) {
	pro.traffic.Go(func() {
		if per.Notify(work, msg) != nil {
			// The sidecar gets everything with its next announcement.
			per.Close()
		}
	})
}
