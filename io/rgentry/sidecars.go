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
func (pro *Process) announce(work context.Context, sta *state, evt announced, now time.Time) {
	key := evt.sidecar.Key()
	if old, ok := rghome.Announce(&sta.home, evt.sidecar, now); ok {
		pro.loseSidecar(work, sta, old)
	}
	sta.peers[key] = evt.peer
	// The reply holds all configurations, and a report that was made before it came is no reason to repair.
	sta.repaired[key] = now
	evt.reply <- rgwire.AnnounceReply{Entry: pro.self, Ring: sta.home.Ring.Ring, Teams: teamList(sta.home.Teams)}
	pro.publish(sta)
	pro.log.Info("sidecar connected", logSidecar(key))
	pro.seal(work, sta, key)
	pro.traffic.Go(func() {
		<-evt.peer.Done
		pro.tell(work, disconnected{key: key, peer: evt.peer})
	})
}

func (pro *Process) takeReport(sta *state, rep rgmodel.Report, now time.Time) {
	if !rgfleet.Report(&sta.home.Fleet, rep, now) {
		return
	}
	hea := sta.home.Fleet.Members[rep.Sidecar].Health
	pro.scope.Counter("ejections").Inc(1)
	pro.log.Warn("sidecar ejected", zap.String("sidecar", rep.Sidecar), zap.Duration("duration", hea.EjectedUntil.Sub(now)))
}

// seal asks one sidecar for its records under the current ring; the answer comes as an event.
func (pro *Process) seal(work context.Context, sta *state, key rgmodel.SidecarKey) {
	per := sta.peers[key]
	if per == nil || sta.home.Ring.Ring.Generation == 0 {
		return
	}
	msg := rgwire.Seal{Ring: sta.home.Ring.Ring, Home: pro.self}
	pro.traffic.Go(func() {
		ctx, stop := context.WithTimeout(work, callTimeout)
		defer stop()
		var rep rgwire.SealReply
		if per.Ask(ctx, msg, &rep) != nil {
			// A new connection is sealed again.
			per.Close()
			return
		}
		pro.tell(work, sealAnswered{key: key, peer: per, generation: msg.Ring.Generation, records: rep.Records})
	})
}

func (pro *Process) sealed(work context.Context, sta *state, evt sealAnswered) {
	if sta.peers[evt.key] != evt.peer || !rghome.Sealed(&sta.home, evt.key, evt.generation, evt.records) {
		return
	}
	pro.publish(sta)
	for _, rep := range sta.awaiting[evt.key] {
		rep <- peerState{peer: evt.peer}
	}
	delete(sta.awaiting, evt.key)
	pro.unpark(work, sta)
}

func (pro *Process) disconnect(sta *state, evt disconnected, now time.Time) {
	if sta.peers[evt.key] != evt.peer {
		return
	}
	delete(sta.peers, evt.key)
	delete(sta.near, evt.key)
	delete(sta.repaired, evt.key)
	rgfleet.Disconnect(&sta.home.Fleet, evt.key, now)
	pro.log.Info("sidecar disconnected", logSidecar(evt.key))
}

// loseSidecar gives up on an incarnation for good.
func (pro *Process) loseSidecar(work context.Context, sta *state, key rgmodel.SidecarKey) {
	if per := sta.peers[key]; per != nil {
		per.Close()
		delete(sta.peers, key)
	}
	for _, rep := range sta.awaiting[key] {
		rep <- peerState{lost: true}
	}
	delete(sta.awaiting, key)
	delete(sta.near, key)
	delete(sta.repaired, key)
	delete(sta.leaving, key)
	delete(sta.outstanding, key)
	pro.publish(sta)
	pro.unpark(work, sta)
	pro.log.Info("sidecar lost", logSidecar(key))
}

// awaitPeer answers when the sidecar is connected and sealed, or lost.
func (pro *Process) awaitPeer(sta *state, evt peerAwaited) {
	mem := sta.home.Fleet.Members[evt.key.Name]
	switch {
	case mem == nil || mem.Sidecar.Incarnation != evt.key.Incarnation:
		evt.reply <- peerState{lost: true}
	case mem.Connected && mem.Sealed:
		evt.reply <- peerState{peer: sta.peers[evt.key]}
	default:
		sta.awaiting[evt.key] = append(sta.awaiting[evt.key], evt.reply)
	}
}

// leave answers a draining sidecar once no answer of it is outstanding.
func (pro *Process) leave(sta *state, evt leaveAsked) {
	rgfleet.Leave(&sta.home.Fleet, evt.key)
	if sta.outstanding[evt.key] == 0 {
		evt.reply <- struct{}{}
		return
	}
	sta.leaving[evt.key] = evt.reply
}

func (pro *Process) endPart(sta *state, key rgmodel.SidecarKey) {
	if sta.outstanding[key] > 0 {
		sta.outstanding[key]--
	}
	if sta.outstanding[key] == 0 {
		delete(sta.outstanding, key)
		if rep := sta.leaving[key]; rep != nil {
			rep <- struct{}{}
			delete(sta.leaving, key)
		}
	}
}

// pushRing sends the ring to all sidecars.
func (pro *Process) pushRing(work context.Context, sta *state) {
	for _, per := range sta.peers {
		pro.configure(work, per, rgwire.Configure{Ring: sta.home.Ring.Ring})
	}
}

// pushTeams sends changed configurations to the sidecars that this entry is near to. If each entry pushed each change,
// a sidecar would get it as often as there are entries. The ring is left out, because it is larger than a change.
func (pro *Process) pushTeams(work context.Context, sta *state, teams []rgmodel.TeamConfig) {
	for key, per := range sta.peers {
		near, ok := sta.near[key]
		if !ok {
			near = rgring.Near(sta.home.Ring.Ring, pro.self, key.Name, pushCopies)
			sta.near[key] = near
		}
		if near {
			pro.configure(work, per, rgwire.Configure{Teams: teams})
		}
	}
}

// repair sends a sidecar what it lacks according to its report, whoever should have sent it.
func (pro *Process) repair(work context.Context, sta *state, rep rgmodel.Report, now time.Time) {
	key := rgmodel.SidecarKey{Name: rep.Sidecar, Incarnation: rep.Incarnation}
	per := sta.peers[key]
	if per == nil || now.Sub(sta.repaired[key]) < repairPause {
		return
	}
	tcs := rgconfig.Missing(&sta.history, sta.home.Teams, sta.config, rep.Config, now)
	if len(tcs) == 0 {
		return
	}
	sta.repaired[key] = now
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
