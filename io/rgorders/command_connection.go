package rgorders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

const (
	// connSilenceTimeout is how long a connection may be silent before it is replaced. Entries send a heartbeat at least every
	// 400 ms.
	connSilenceTimeout = time.Second
	// dialExpiry is how long an address that is not a seed is dialed after it was last mentioned.
	dialExpiry = 10 * time.Second
)

// connect maintains a connection to the address. If there is one already, it only records that the address was mentioned again.
func (pro *Process) connect(workCtx context.Context, sta *State, now time.Time, adr string, seed bool) {
	if cm := sta.Maintainers[adr]; cm != nil {
		cm.LastMentioned = now
		return
	}
	ctx, stop := context.WithCancel(workCtx)
	sta.Maintainers[adr] = &ConnMaintainer{Stop: stop, LastMentioned: now, Seed: seed}
	pro.traffic.Go(func() {
		rgwire.MaintainConnection(ctx, adr, func(ctx context.Context, con *rgwire.Connection) {
			pro.serveConnection(ctx, adr, con)
		})
	})
}

// serveConnection passes the events of an open connection to the control goroutine until the connection is lost.
func (pro *Process) serveConnection(ctx context.Context, adr string, con *rgwire.Connection) {
	id := rgexecutor.EntryConnID(con.ID)
	con.ServeNotifications(ctx, rgwire.SidecarHello{Name: pro.settings.Name, Clock: rgmodel.SidecarTimeOf(rgclock.Now())},
		func(msg rgwire.Message) { pro.mailbox.Send(ctx, MessageReceived{Conn: id, Message: msg}) },
		func(nc *rgwire.NotificationConn) {
			pro.mailbox.Send(ctx, EntryConnected{Address: adr, ID: id, Conn: nc})
		})
	pro.mailbox.Send(context.WithoutCancel(ctx), EntryDisconnected{Address: adr, ID: id})
}

func (pro *Process) addConnection(sta *State, now time.Time, evt EntryConnected) {
	sta.Conns[evt.ID] = &EntryConn{Address: evt.Address, Conn: evt.Conn}
	if cm := sta.Maintainers[evt.Address]; cm != nil {
		cm.Connected = true
	}
	rgexecutor.Connect(&sta.ExecutorState, now, evt.ID)
	pro.log.Info("entry connected", zap.String("address", evt.Address))
}

func (pro *Process) removeConnection(workCtx context.Context, sta *State, now time.Time, evt EntryDisconnected) {
	delete(sta.Conns, evt.ID)
	if cm := sta.Maintainers[evt.Address]; cm != nil {
		cm.Connected = false
	}
	pro.log.Warn("entry lost", zap.String("address", evt.Address))
	pro.perform(workCtx, sta, rgexecutor.Disconnect(&sta.ExecutorState, now, evt.ID))
}

// maintainConnections closes silent connections, drops expired addresses and, while no entry is connected, lists the entries
// in the store.
func (pro *Process) maintainConnections(workCtx context.Context, sta *State, now time.Time) {
	for id, con := range sta.Conns {
		if cur := sta.ExecutorState.Conns[id]; cur != nil && now.Sub(cur.LastAlive) > connSilenceTimeout {
			con.Conn.Close()
		}
	}
	for adr, cm := range sta.Maintainers {
		if !cm.Connected && !cm.Seed && now.Sub(cm.LastMentioned) > dialExpiry {
			cm.Stop()
			delete(sta.Maintainers, adr)
		}
	}
	if len(sta.Conns) > 0 || now.Sub(sta.LastListed) < listInterval {
		return
	}
	sta.LastListed = now
	pro.traffic.Go(func() {
		ads, err := pro.listEntries(workCtx)
		if err != nil {
			pro.log.Warn("failed to list entries in the store", zap.Error(err))
			return
		}
		pro.mailbox.Send(workCtx, EntriesListed{Addresses: ads})
	})
}

func (pro *Process) receive(workCtx context.Context, sta *State, now time.Time, evt MessageReceived) {
	con := sta.Conns[evt.Conn]
	if con == nil {
		return
	}
	switch msg := evt.Message.(type) {
	case rgwire.EntryHeartbeat:
		rgexecutor.RecordHeartbeat(&sta.ExecutorState, evt.Conn, msg.Issued.Time())
		rgexecutor.SetReportInterval(&sta.ExecutorState, evt.Conn, msg.ReportInterval)
		for _, ent := range msg.Entries {
			pro.connect(workCtx, sta, now, ent.Address, false)
		}
	case rgwire.Place:
		for _, tsk := range msg.Tasks {
			con.LastTicket = max(con.LastTicket, tsk.Ticket)
		}
		pro.perform(workCtx, sta, rgexecutor.Place(&sta.ExecutorState, now, evt.Conn, msg.Placement))
	case rgwire.CancelTasks:
		rgexecutor.RecordHeartbeat(&sta.ExecutorState, evt.Conn, msg.Issued.Time())
		pro.perform(workCtx, sta, rgexecutor.Cancel(&sta.ExecutorState, now, evt.Conn, msg.Tickets))
	default:
		pro.log.Warn("unexpected message", zap.String("address", con.Address))
	}
}
