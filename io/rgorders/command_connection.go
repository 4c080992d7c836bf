package rgorders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

const (
	// connSilenceTimeout is how long a connection may be silent before it is replaced. Entries send a heartbeat at least every
	// 400 ms.
	connSilenceTimeout = time.Second
)

// updateConnections begins connections to entries, and drains and ends those that are not needed any more.
func (pro *Process) updateConnections(workCtx context.Context, sta *State, now time.Time) {
	for _, act := range rgmembership.Update(&sta.Members, now) {
		switch act := act.(type) {
		case rgmembership.Dial:
			pro.connect(workCtx, sta, act.Address)
		case rgmembership.Drop:
			pro.drop(sta, act.Address)
		}
	}
	for _, id := range rgexecutor.DrainedConns(&sta.ExecutorState, now) {
		if con := sta.Conns[id]; con != nil {
			pro.endConnection(sta, con.Address)
		}
	}
}

// connect maintains a connection to the address.
func (pro *Process) connect(workCtx context.Context, sta *State, adr string) {
	ctx, stop := context.WithCancel(workCtx)
	sta.StopDial[adr] = stop
	pro.traffic.Maintain(ctx, func() {
		rgwire.MaintainConnection(ctx, adr, func(ctx context.Context, con *rgwire.Connection) {
			pro.serveConnection(ctx, adr, con)
		})
	})
}

// drop ends the connection to the address once the entry has no more tasks here.
func (pro *Process) drop(sta *State, adr string) {
	for id, con := range sta.Conns {
		if con.Address == adr {
			sta.Dropped[adr] = true
			rgexecutor.DrainConn(&sta.ExecutorState, id)
		}
	}
	if !sta.Dropped[adr] {
		pro.endConnection(sta, adr)
	}
}

func (pro *Process) endConnection(sta *State, adr string) {
	if stop := sta.StopDial[adr]; stop != nil {
		pro.log.Info("connection to entry ended", zap.String("address", adr))
		stop()
	}
	delete(sta.StopDial, adr)
	delete(sta.Dropped, adr)
}

// serveConnection passes the events of an open connection to the control goroutine until the connection is lost.
func (pro *Process) serveConnection(ctx context.Context, adr string, con *rgwire.Connection) {
	id := rgexecutor.EntryConnID(con.ID)
	defer pro.mailbox.Send(context.WithoutCancel(ctx), EntryDisconnected{Address: adr, ID: id})
	con.ServeNotifications(ctx, rgwire.SidecarHello{Name: pro.settings.Name, Clock: rgmodel.SidecarTimeOf(rgclock.Now())},
		func(msg rgwire.Message) { pro.mailbox.Send(ctx, MessageReceived{Conn: id, Message: msg}) },
		func(nc *rgwire.NotificationConn) {
			pro.mailbox.Send(ctx, EntryConnected{Address: adr, ID: id, Conn: nc})
		})
}

func (pro *Process) addConnection(sta *State, now time.Time, evt EntryConnected) {
	sta.Conns[evt.ID] = &EntryConn{Address: evt.Address, Conn: evt.Conn}
	rgmembership.RecordOpened(&sta.Members, now, rgmembership.ConnID(evt.ID), evt.Address)
	rgexecutor.Connect(&sta.ExecutorState, now, evt.ID)
	pro.log.Info("entry connected", zap.String("address", evt.Address))
}

func (pro *Process) removeConnection(workCtx context.Context, sta *State, now time.Time, evt EntryDisconnected) {
	delete(sta.Conns, evt.ID)
	rgmembership.RecordClosed(&sta.Members, now, rgmembership.ConnID(evt.ID))
	if sta.Dropped[evt.Address] {
		pro.endConnection(sta, evt.Address)
	}
	pro.log.Warn("entry lost", zap.String("address", evt.Address))
	pro.perform(workCtx, sta, rgexecutor.Disconnect(&sta.ExecutorState, now, evt.ID))
}

// maintainConnections closes silent connections, updates the selection of entries and, while no entry is connected, lists the
// entries in the store.
func (pro *Process) maintainConnections(workCtx context.Context, sta *State, now time.Time) {
	for id, con := range sta.Conns {
		if cur := sta.ExecutorState.Conns[id]; cur != nil && now.Sub(cur.LastAlive) > connSilenceTimeout {
			con.Conn.Close()
		}
	}
	pro.updateConnections(workCtx, sta, now)
	if len(sta.Conns) > 0 || now.Sub(sta.LastListed) < listInterval {
		return
	}
	sta.LastListed = now
	pro.traffic.Go(func() {
		ents, err := pro.listEntries(workCtx)
		if err != nil {
			pro.log.Warn("failed to list entries in the store", zap.Error(err))
			return
		}
		pro.mailbox.Send(workCtx, EntriesListed{Entries: ents})
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
		ents, err := rgmodel.ValidEntries(msg.Entries)
		pro.logRejection(con, err)
		rgmembership.RecordMentions(&sta.Members, now, rgmembership.ConnID(evt.Conn), ents, msg.Left, msg.Full)
		pro.receiveEvacuation(workCtx, sta, now, con, msg.Evacuation)
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

// logRejection logs and counts the first entry of a connection that is not valid.
func (pro *Process) logRejection(con *EntryConn, err error) {
	if err == nil || con.RejectionLogged {
		return
	}
	con.RejectionLogged = true
	pro.scope.Counter("entriesRejected").Inc(1)
	pro.log.Warn("entry rejected", zap.String("address", con.Address), zap.Error(err))
}
