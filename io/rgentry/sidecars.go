package rgentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgwire"
)

// callTimeout bounds calls that a live peer answers at once.
const callTimeout = 5 * time.Second

// announce takes in a sidecar's connection and seals it before it gets work.
func (pro *Process) announce(work context.Context, sta *state, evt announced, now time.Time) {
	key := evt.sidecar.Key()
	if old, ok := rgfleet.Announce(&sta.fleet, evt.sidecar, now); ok {
		pro.loseSidecar(work, sta, old, now)
	}
	sta.peers[key] = evt.peer
	rgring.Await(&sta.ring, key)
	evt.reply <- rgwire.AnnounceReply{Entry: pro.self, Ring: sta.ring.Ring, Teams: teamList(sta.teams)}
	pro.publish(sta)
	pro.log.Info("sidecar connected", zap.String("sidecar", key.Name))
	pro.seal(work, sta, key)
	pro.traffic.Go(func() {
		<-evt.peer.Done
		pro.tell(work, disconnected{key: key, peer: evt.peer})
	})
}

// seal asks one sidecar for its records under the current ring; the answer comes as an event.
func (pro *Process) seal(work context.Context, sta *state, key rgmodel.SidecarKey) {
	per := sta.peers[key]
	if per == nil || sta.ring.Ring.Generation == 0 {
		return
	}
	msg := rgwire.Seal{Ring: sta.ring.Ring, Home: pro.self}
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
	if sta.peers[evt.key] != evt.peer || evt.generation != sta.ring.Ring.Generation {
		return
	}
	rgring.Sealed(&sta.ring, evt.key, evt.generation, evt.records)
	rgfleet.Seal(&sta.fleet, evt.key)
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
	rgfleet.Disconnect(&sta.fleet, evt.key, now)
	pro.log.Info("sidecar disconnected", zap.String("sidecar", evt.key.Name))
}

// loseSidecar gives up on an incarnation for good.
func (pro *Process) loseSidecar(work context.Context, sta *state, key rgmodel.SidecarKey, now time.Time) {
	if per := sta.peers[key]; per != nil {
		per.Close()
		delete(sta.peers, key)
	}
	rgring.Lost(&sta.ring, key, now)
	for _, rep := range sta.awaiting[key] {
		rep <- peerState{lost: true}
	}
	delete(sta.awaiting, key)
	delete(sta.leaving, key)
	delete(sta.outstanding, key)
	pro.publish(sta)
	pro.unpark(work, sta)
	pro.log.Info("sidecar lost", zap.String("sidecar", key.Name))
}

// awaitPeer answers when the sidecar is connected and sealed, or lost.
func (pro *Process) awaitPeer(sta *state, evt peerAwaited) {
	mem := sta.fleet.Members[evt.key.Name]
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
	rgfleet.Leave(&sta.fleet, evt.key)
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

// push sends the ring and changed configurations to all sidecars.
func (pro *Process) push(work context.Context, sta *state, teams []rgmodel.TeamConfig) {
	msg := rgwire.Configure{Ring: sta.ring.Ring, Teams: teams}
	for _, per := range sta.peers {
		pro.traffic.Go(func() {
			if per.Notify(work, msg) != nil {
				// The sidecar gets everything with its next announcement.
				per.Close()
			}
		})
	}
}
