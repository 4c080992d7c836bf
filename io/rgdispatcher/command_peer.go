package rgdispatcher

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

const (
	// heartbeatInterval is the longest time without a message to a sidecar with tasks. A sidecar stops the tasks of a silent
	// entry.
	heartbeatInterval = 90 * time.Millisecond
	// idleHeartbeatInterval is the longest time without a message to a sidecar without tasks. A sidecar replaces a silent
	// connection after a second.
	idleHeartbeatInterval = 400 * time.Millisecond
	// gossipInterval is how often entries exchange their configuration versions and the changes of their lists of entries.
	gossipInterval = 500 * time.Millisecond
	// peerSilenceTimeout is how long a connection to another entry, or to a peer that has not introduced itself, may be silent
	// before it is closed. A connection can become silent without an error.
	peerSilenceTimeout = 2 * time.Second
	// maxRunTimeMargin is added to the time after which the runs of a lost sidecar have ended. It covers the tick intervals of
	// both sides.
	maxRunTimeMargin = 250 * time.Millisecond
)

func (pro *Process) accept(workCtx context.Context, lis net.Listener) {
	for {
		con, err := lis.Accept()
		if err != nil {
			if workCtx.Err() == nil {
				pro.log.Error("failed to accept peer", zap.Error(err))
			}
			return
		}
		pro.peerConns.TrackState(con, http.StateNew)
		pro.peerConns.TrackState(con, http.StateActive)
		pro.traffic.Go(func() {
			defer pro.peerConns.TrackState(con, http.StateClosed)
			pro.serveConnection(workCtx, rgwire.NewConnection(con), "", nil)
		})
	}
}

// serveConnection passes the events of an open connection to the control goroutine until the connection is lost. adr is empty if
// the peer has dialed.
func (pro *Process) serveConnection(ctx context.Context, con *rgwire.Connection, adr string, first rgwire.Message) {
	defer pro.mailbox.Send(context.WithoutCancel(ctx), PeerDisconnected{ID: con.ID})
	con.ServeNotifications(ctx, first,
		func(msg rgwire.Message) {
			if gos, ok := msg.(rgwire.Gossip); ok && len(gos.Config) > 0 {
				pro.offerPeerConfig(ctx, gos.Config)
			}
			pro.mailbox.Send(ctx, MessageReceived{ID: con.ID, Message: msg})
		},
		func(nc *rgwire.NotificationConn) {
			pro.mailbox.Send(ctx, PeerConnected{ID: con.ID, Address: adr, Conn: nc})
		})
}

// disconnect removes a lost connection. It logs "sidecar lost" for each lost connection to a sidecar, whose process may still
// be running.
func (pro *Process) disconnect(sta *State, now time.Time, id uint64) {
	per := sta.Peers[id]
	if per == nil {
		return
	}
	delete(sta.Peers, id)
	rgmembership.RecordClosed(&sta.Members, now, rgmembership.ConnID(id))
	if per.Sidecar != "" {
		sc := sta.Dispatch.Sidecars[rgdispatch.SidecarConnID(id)]
		silent, placed := time.Duration(0), 0
		if sc != nil {
			silent, placed = now.Sub(sc.LastReceived), len(sc.Placed)
		}
		pro.log.Warn("sidecar lost", zap.String("sidecar", per.Sidecar), zap.Duration("silent", silent), zap.Int("placed", placed))
	}
	pro.perform(sta, now, rgdispatch.Disconnect(&sta.Dispatch, now, rgdispatch.SidecarConnID(id)))
}

func (pro *Process) receive(sta *State, now time.Time, evt MessageReceived) {
	per, con := sta.Peers[evt.ID], rgdispatch.SidecarConnID(evt.ID)
	if per == nil {
		return
	}
	per.LastReceived = now
	switch msg := evt.Message.(type) {
	case rgwire.SidecarHello:
		per.Sidecar = msg.Name
		pro.markConnectedTwice(sta, evt.ID, per)
		rgdispatch.Connect(&sta.Dispatch, now, con, msg.Name, msg.Clock)
		pro.log.Info("sidecar connected", zap.String("sidecar", msg.Name))
		pro.sendHeartbeat(sta, evt.ID, per, now)
	case rgwire.SidecarUpdate:
		if msg.Report != nil && per.ConnectedTwice {
			msg.Report.EarlierRunsEnded = false
		}
		// The ends are logged first, because they refer to placements that endLeftCallers removes.
		pro.logEnds(sta, evt.ID, msg.Ends)
		pro.endLeftCallers(sta, now, rgdispatch.JobsToPlace(&sta.Dispatch, now, con, msg.Report, msg.Ends))
		rgdispatch.RecordHeartbeat(&sta.Dispatch, now, con, msg.Clock, msg.NextWithin)
		if msg.Executor != nil {
			rgdispatch.UpdateExecutor(&sta.Dispatch, con, *msg.Executor)
		}
		if msg.Report != nil {
			pro.perform(sta, now, rgdispatch.UpdateReport(&sta.Dispatch, now, con, *msg.Report, msg.LastTicket))
			pro.sidecarSeen.Store(pro.sidecarSeen.Load() || msg.Report.Usable || msg.Report.Evacuation != nil)
		}
		pro.perform(sta, now, rgdispatch.RecordEnds(&sta.Dispatch, now, con, msg.Ends))
	case rgwire.EntryHello:
		pro.recordPeer(sta, now, evt.ID, msg.Entry)
		pro.sendGossip(sta, per, now)
	case rgwire.Gossip:
		pro.recordPeer(sta, now, evt.ID, msg.From)
		ents, err := rgmodel.ValidEntries(msg.Entries)
		pro.logRejection(per, err)
		rgmembership.RecordMentions(&sta.Members, now, rgmembership.ConnID(evt.ID), ents, msg.Left, msg.Full)
		pro.receiveEvacuation(sta, now, per, msg.Evacuation)
		if rgroute.ObserveVersion(&sta.VersionLag, now, pro.Config(), msg.Version) {
			pro.log.Info("configuration asked of an entry", zap.String("entry", msg.From.Name), zap.Uint64("version", msg.Version))
			per.Conn.Send(rgwire.ConfigRequest{})
		}
	case rgwire.ConfigRequest:
		if cfg := pro.config.Load(); cfg != nil {
			per.Conn.Send(rgwire.Gossip{From: pro.self, Version: cfg.Version, Config: cfg.Raw})
		}
	default:
		pro.log.Warn("unexpected message", peerName(per))
	}
}

// markConnectedTwice marks the connections of a sidecar that are open at the same time, which happens if it knows an entry by two
// addresses. Tasks of a lost one then wait for the longest run time.
func (pro *Process) markConnectedTwice(sta *State, id uint64, per *PeerConn) {
	for other, cur := range sta.Peers {
		if other != id && per.Sidecar != "" && cur.Sidecar == per.Sidecar {
			cur.ConnectedTwice, per.ConnectedTwice = true, true
		}
	}
	if per.ConnectedTwice {
		pro.scope.Counter("sidecarsConnectedTwice").Inc(1)
		pro.log.Warn("sidecar connected twice", zap.String("sidecar", per.Sidecar))
	}
}

// recordPeer records the description that an entry sends of itself. One that is not valid is not passed on.
func (pro *Process) recordPeer(sta *State, now time.Time, id uint64, ent rgmodel.Entry) {
	per := sta.Peers[id]
	per.Entry = ent.Name
	if err := rgmodel.CheckEntry(ent); err != nil {
		pro.logRejection(per, err)
		return
	}
	rgmembership.RecordSeen(&sta.Members, now, rgmembership.ConnID(id), ent)
}

// logRejection logs and counts the first entry of a connection that is not valid. Peers repeat their own description.
func (pro *Process) logRejection(per *PeerConn, err error) {
	if err == nil || per.RejectionLogged {
		return
	}
	per.RejectionLogged = true
	pro.scope.Counter("entriesRejected").Inc(1)
	pro.log.Warn("entry rejected", peerName(per), zap.Error(err))
}

// peerName returns the log attribute that names the peer. The name is empty until the peer has introduced itself.
func peerName(per *PeerConn) zap.Field {
	if per.Entry != "" {
		return zap.String("entry", per.Entry)
	}
	return zap.String("sidecar", per.Sidecar)
}

// offerPeerConfig passes a configuration of another entry to the control goroutine.
func (pro *Process) offerPeerConfig(ctx context.Context, raw []byte) {
	cfg, err := pro.source.Decode(raw)
	if err != nil {
		pro.log.Warn("failed to decode configuration from a peer", zap.Error(err))
		return
	}
	pro.mailbox.Send(ctx, ConfigReceived{Config: cfg, Origin: "peer"})
}

// updateConnections begins and ends connections to other entries.
func (pro *Process) updateConnections(workCtx context.Context, sta *State, now time.Time) {
	for _, act := range rgmembership.Update(&sta.Members, now) {
		switch act := act.(type) {
		case rgmembership.Dial:
			pro.connect(workCtx, sta, act.Address)
		case rgmembership.Drop:
			sta.StopDial[act.Address]()
			delete(sta.StopDial, act.Address)
		}
	}
}

// tick updates the connections to other entries, sends the heartbeats and the gossip that are due, and updates the gauges.
func (pro *Process) tick(workCtx context.Context, sta *State, now time.Time) {
	pro.updateConnections(workCtx, sta, now)
	for id, per := range sta.Peers {
		age := now.Sub(per.LastSent)
		switch {
		case per.Sidecar == "" && now.Sub(per.LastReceived) > peerSilenceTimeout:
			pro.log.Warn("peer is silent", peerName(per))
			per.Conn.Close()
		case per.Sidecar != "" && heartbeatDue(sta, id, per, age):
			pro.sendHeartbeat(sta, id, per, now)
		case per.Entry != "" && age >= gossipInterval:
			pro.sendGossip(sta, per, now)
		}
	}
	pro.scope.Gauge("jobs").Update(float64(len(sta.Dispatch.Jobs)))
	pro.scope.Gauge("sidecars").Update(float64(len(sta.Dispatch.Sidecars)))
	pro.observeZones(sta, now)
}

// heartbeatDue reports whether a sidecar is due a heartbeat, either by time or because its report interval has changed.
func heartbeatDue(sta *State, id uint64, per *PeerConn, age time.Duration) bool {
	sc := sta.Dispatch.Sidecars[rgdispatch.SidecarConnID(id)]
	if sc != nil && (len(sc.Placed) > 0 && age >= heartbeatInterval || sc.ReportInterval != per.ReportInterval) {
		return true
	}
	return age >= idleHeartbeatInterval
}

func (pro *Process) sendHeartbeat(sta *State, id uint64, per *PeerConn, now time.Time) {
	per.LastSent = now
	if sc := sta.Dispatch.Sidecars[rgdispatch.SidecarConnID(id)]; sc != nil {
		per.ReportInterval = sc.ReportInterval
	}
	msg := rgwire.EntryHeartbeat{Issued: pro.sidecarTime(sta, rgdispatch.SidecarConnID(id), now), ReportInterval: per.ReportInterval}
	msg.EntryChanges, msg.Evacuation = entryChanges(sta, per), evacuationToSend(sta, per)
	if msg.Full {
		msg.Entries = append(msg.Entries, pro.self)
	}
	per.Conn.Send(msg)
}

func (pro *Process) sendGossip(sta *State, per *PeerConn, now time.Time) {
	per.LastSent = now
	per.Conn.Send(rgwire.Gossip{
		From: pro.self, Version: versionOf(pro.Config()), Evacuation: evacuationToSend(sta, per), EntryChanges: entryChanges(sta, per),
	})
}

// entryChanges returns what has changed in the list of entries since it was last called for the peer.
func entryChanges(sta *State, per *PeerConn) rgwire.EntryChanges {
	if per.EntriesSent && per.EntriesVersion == sta.Members.Version {
		return rgwire.EntryChanges{}
	}
	ents, left, full := rgmembership.ChangesSince(&sta.Members, per.EntriesVersion)
	per.EntriesSent, per.EntriesVersion = true, sta.Members.Version
	return rgwire.EntryChanges{Entries: ents, Left: left, Full: full}
}

func (pro *Process) applySettings(sta *State) {
	set := pro.settings
	pro.resendDelay.Store(int64(set.ResendDelay.Duration))
	pro.deadCallerBound.Store(int64(rgdispatch.DeadCallerBound(set.ResendDelay.Duration, set.TaskStopTime.Duration)))
	sta.Dispatch.RemoteFactor = set.RemoteFactor
	sta.Dispatch.Name = set.Name
	sta.Dispatch.AvailabilityZone = set.AvailabilityZone
	sta.Dispatch.Limits.Cores = set.Cores
	// By the time a caller may resend its job, every sidecar that lost this entry has stopped its tasks, or the executor's
	// lease has expired.
	sta.Dispatch.Limits.MaxRunTimeAfterCancel = set.ResendDelay.Duration
	sta.Dispatch.Limits.MaxRunTimeAfterLoss = set.ResendDelay.Duration + maxRunTimeMargin
	sta.Members.Name, sta.Members.AvailabilityZone, sta.Members.Address = set.Name, set.AvailabilityZone, pro.self.Address
	sta.Members.Limits = rgmembership.Limits{SameZone: set.EntriesSameZone, OtherZones: set.EntriesOtherZones}
	for _, adr := range rgwire.PeerAddresses(set.Seeds, set.PeerPort) {
		rgmembership.AddSeed(&sta.Members, rgclock.Now(), adr)
	}
}

// connect maintains a connection to another entry.
func (pro *Process) connect(workCtx context.Context, sta *State, adr string) {
	ctx, stop := context.WithCancel(workCtx)
	sta.StopDial[adr] = stop
	pro.traffic.Maintain(ctx, func() {
		rgwire.MaintainConnection(ctx, adr, func(ctx context.Context, con *rgwire.Connection) {
			pro.serveConnection(ctx, con, adr, rgwire.EntryHello{Entry: pro.self})
		})
	})
}
