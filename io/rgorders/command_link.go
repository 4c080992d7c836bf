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
	// silenceLimit is when a silent connection is replaced. Entries send a pulse at least every 400 ms.
	silenceLimit = time.Second
	// forgetAfter is how long an address is dialled that nobody names any more.
	forgetAfter = 10 * time.Second
)

// dial keeps a connection to the address from now on.
func (pro *Process) dial(work context.Context, sta *State, now time.Time, adr string, seed bool) {
	if dia := sta.Dials[adr]; dia != nil {
		dia.Named = now
		return
	}
	ctx, stop := context.WithCancel(work)
	sta.Dials[adr] = &Dial{Stop: stop, Named: now, Seed: seed}
	pro.traffic.Go(func() {
		rgwire.MaintainConnection(ctx, adr, func(ctx context.Context, con *rgwire.Connection) {
			pro.attend(ctx, adr, con)
		})
	})
}

// attend hands an open connection to the control goroutine until it is lost.
func (pro *Process) attend(ctx context.Context, adr string, con *rgwire.Connection) {
	id := rgexecutor.ConnID(con.ID)
	con.Serve(ctx, rgwire.SidecarHello{Name: pro.settings.Name, Clock: rgmodel.InstantOf(rgclock.Now())},
		func(msg rgwire.Message) { pro.mailbox.Send(ctx, Received{Link: id, Message: msg}) },
		func(obx *rgwire.Outbox) { pro.mailbox.Send(ctx, Linked{Address: adr, ID: id, Outbox: obx}) })
	pro.mailbox.Send(context.WithoutCancel(ctx), Unlinked{Address: adr, ID: id})
}

func (pro *Process) link(sta *State, now time.Time, evt Linked) {
	sta.Links[evt.ID] = &Link{Address: evt.Address, Outbox: evt.Outbox}
	if dia := sta.Dials[evt.Address]; dia != nil {
		dia.Linked = true
	}
	rgexecutor.Connect(&sta.Room, now, evt.ID)
	pro.log.Info("entry connected", zap.String("address", evt.Address))
}

func (pro *Process) unlink(work context.Context, sta *State, now time.Time, evt Unlinked) {
	delete(sta.Links, evt.ID)
	if dia := sta.Dials[evt.Address]; dia != nil {
		dia.Linked = false
	}
	pro.log.Warn("entry lost", zap.String("address", evt.Address))
	pro.act(work, sta, rgexecutor.Disconnect(&sta.Room, now, evt.ID))
}

// prune closes silent connections, forgets addresses that nobody names, and asks the store while no entry is connected.
func (pro *Process) prune(work context.Context, sta *State, now time.Time) {
	for id, lnk := range sta.Links {
		if fresh := sta.Room.Conns[id]; fresh != nil && now.Sub(fresh.LastAlive) > silenceLimit {
			lnk.Outbox.Close()
		}
	}
	for adr, dia := range sta.Dials {
		if !dia.Linked && !dia.Seed && now.Sub(dia.Named) > forgetAfter {
			dia.Stop()
			delete(sta.Dials, adr)
		}
	}
	if len(sta.Links) > 0 || now.Sub(sta.Listed) < listInterval {
		return
	}
	sta.Listed = now
	pro.traffic.Go(func() {
		ads, err := pro.list(work)
		if err != nil {
			pro.log.Warn("the store does not list the entries", zap.Error(err))
			return
		}
		pro.mailbox.Send(work, Listed{Addresses: ads})
	})
}

func (pro *Process) receive(work context.Context, sta *State, now time.Time, evt Received) {
	lnk := sta.Links[evt.Link]
	if lnk == nil {
		return
	}
	switch msg := evt.Message.(type) {
	case rgwire.EntryHeartbeat:
		rgexecutor.RecordHeartbeat(&sta.Room, evt.Link, msg.Issued.Time())
		rgexecutor.SetReportInterval(&sta.Room, evt.Link, msg.ReportInterval)
		for _, ent := range msg.Entries {
			pro.dial(work, sta, now, ent.Address, false)
		}
	case rgwire.Place:
		for _, tsk := range msg.Tasks {
			lnk.Received = max(lnk.Received, tsk.Ticket)
		}
		pro.act(work, sta, rgexecutor.Place(&sta.Room, now, evt.Link, msg.Placement))
	case rgwire.Recall:
		rgexecutor.RecordHeartbeat(&sta.Room, evt.Link, msg.Issued.Time())
		pro.act(work, sta, rgexecutor.Cancel(&sta.Room, now, evt.Link, msg.Tickets))
	default:
		pro.log.Warn("unexpected message", zap.String("address", lnk.Address))
	}
}
