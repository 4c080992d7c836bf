package rgdispatcher

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

const (
	// pulseInterval is the longest time without a message to a sidecar with tasks, which stops those of a silent entry.
	pulseInterval = 90 * time.Millisecond
	// idlePulseInterval is the longest time without a message to a sidecar without tasks, which replaces a silent
	// connection after a second.
	idlePulseInterval = 400 * time.Millisecond
	// gossipInterval is how often entries compare what they know.
	gossipInterval = 500 * time.Millisecond
	// forgetAfter is how long an entry is passed on that nobody names any more.
	forgetAfter = 10 * time.Second
	// remoteMargin is added to the time after which runs of a lost sidecar have ended, for ticks on both sides.
	remoteMargin = 250 * time.Millisecond
)

func (pro *Process) accept(work context.Context, lis net.Listener) {
	for {
		con, err := lis.Accept()
		if err != nil {
			if work.Err() == nil {
				pro.log.Error("accept peers", zap.Error(err))
			}
			return
		}
		pro.traffic.Go(func() { pro.attend(work, rgwire.NewConnection(con), nil) })
	}
}

// attend hands an open connection to the control goroutine until it is lost.
func (pro *Process) attend(ctx context.Context, con *rgwire.Connection, first rgwire.Message) {
	con.Serve(ctx, first,
		func(msg rgwire.Message) {
			if gos, ok := msg.(rgwire.Gossip); ok && len(gos.Config) > 0 {
				pro.takeFromPeer(ctx, gos.Config)
			}
			pro.mailbox.Send(ctx, Received{ID: con.ID, Message: msg})
		},
		func(obx *rgwire.Outbox) { pro.mailbox.Send(ctx, Opened{ID: con.ID, Outbox: obx}) })
	pro.mailbox.Send(context.WithoutCancel(ctx), Closed{ID: con.ID})
}

func (pro *Process) closed(sta *State, now time.Time, id uint64) {
	per := sta.Peers[id]
	if per == nil {
		return
	}
	delete(sta.Peers, id)
	if per.Sidecar != "" {
		mem := sta.Dispatch.Members[rgdispatch.ConnID(id)]
		silent, placed := time.Duration(0), 0
		if mem != nil {
			silent, placed = now.Sub(mem.LastHeard), len(mem.Assigned)
		}
		pro.log.Warn("sidecar lost", zap.String("sidecar", per.Sidecar), zap.Duration("silent", silent), zap.Int("placed", placed))
	}
	pro.act(sta, now, rgdispatch.Disconnect(&sta.Dispatch, now, rgdispatch.ConnID(id)))
}

func (pro *Process) receive(work context.Context, sta *State, now time.Time, evt Received) {
	per, con := sta.Peers[evt.ID], rgdispatch.ConnID(evt.ID)
	if per == nil {
		return
	}
	switch msg := evt.Message.(type) {
	case rgwire.SidecarHello:
		per.Sidecar = msg.Name
		rgdispatch.Connect(&sta.Dispatch, now, con, msg.Name, msg.Clock)
		pro.log.Info("sidecar connected", zap.String("sidecar", msg.Name))
		pro.pulse(sta, evt.ID, per, now)
	case rgwire.SidecarUpdate:
		rgdispatch.RecordHeartbeat(&sta.Dispatch, now, con, msg.Clock, msg.NextWithin)
		if msg.Executor != nil {
			rgdispatch.UpdateExecutor(&sta.Dispatch, con, *msg.Executor)
		}
		if msg.Report != nil {
			pro.act(sta, now, rgdispatch.UpdateReport(&sta.Dispatch, now, con, *msg.Report, msg.LastTicket))
			pro.usable.Store(pro.usable.Load() || msg.Report.Usable)
		}
		pro.logEnds(sta, evt.ID, msg.Ends)
		pro.act(sta, now, rgdispatch.Finish(&sta.Dispatch, now, con, msg.Ends))
	case rgwire.EntryHello:
		per.Entry = msg.Entry.Name
		pro.learn(work, sta, now, []rgmodel.Entry{msg.Entry}, true)
		pro.gossip(sta, per, now)
	case rgwire.Gossip:
		per.Entry = msg.From.Name
		pro.learn(work, sta, now, []rgmodel.Entry{msg.From}, true)
		pro.learn(work, sta, now, msg.Entries, false)
		if rgroute.ObserveVersion(&sta.Behind, now, pro.Config(), msg.Version) {
			pro.log.Info("configuration asked of an entry", zap.String("entry", msg.From.Name), zap.Uint64("version", msg.Version))
			per.Outbox.Send(rgwire.ConfigRequest{})
		}
	case rgwire.ConfigRequest:
		if cfg := pro.config.Load(); cfg != nil {
			per.Outbox.Send(rgwire.Gossip{From: pro.self, Version: cfg.Version, Config: cfg.Raw})
		}
	default:
		pro.log.Warn("unexpected message", zap.String("sidecar", per.Sidecar))
	}
}

// takeFromPeer offers a configuration of another entry to the control goroutine.
func (pro *Process) takeFromPeer(ctx context.Context, raw []byte) {
	cfg, err := pro.source.Decode(raw)
	if err != nil {
		pro.log.Warn("configuration from a peer is unreadable", zap.Error(err))
		return
	}
	pro.mailbox.Send(ctx, Configured{Config: cfg, Source: "peer"})
}

// tick sends pulses to sidecars and compares notes with entries.
func (pro *Process) tick(sta *State, now time.Time) {
	for adr, kno := range sta.Entries {
		if !kno.Seed && now.Sub(kno.Named) > forgetAfter {
			delete(sta.Entries, adr)
			sta.Dials[adr]()
			delete(sta.Dials, adr)
			sta.ListVersion++
		}
	}
	for id, per := range sta.Peers {
		age := now.Sub(per.Told)
		switch {
		case per.Sidecar != "" && pulseDue(sta, id, per, age):
			pro.pulse(sta, id, per, now)
		case per.Entry != "" && age >= gossipInterval:
			pro.gossip(sta, per, now)
		}
	}
	pro.scope.Gauge("jobs").Update(float64(len(sta.Dispatch.Jobs)))
	pro.scope.Gauge("sidecars").Update(float64(len(sta.Dispatch.Members)))
}

// pulseDue says whether a sidecar has to be told that the entry is alive, or how often to report.
func pulseDue(sta *State, id uint64, per *Peer, age time.Duration) bool {
	mem := sta.Dispatch.Members[rgdispatch.ConnID(id)]
	if mem != nil && (len(mem.Assigned) > 0 && age >= pulseInterval || mem.ReportInterval != per.Every) {
		return true
	}
	return age >= idlePulseInterval
}

func (pro *Process) pulse(sta *State, id uint64, per *Peer, now time.Time) {
	per.Told = now
	if mem := sta.Dispatch.Members[rgdispatch.ConnID(id)]; mem != nil {
		per.Every = mem.ReportInterval
	}
	msg := rgwire.EntryHeartbeat{Issued: pro.issued(sta, rgdispatch.ConnID(id), now), ReportInterval: per.Every}
	if per.Entries != sta.ListVersion {
		per.Entries = sta.ListVersion
		msg.Entries = append(pro.known(sta, now), pro.self)
	}
	per.Outbox.Send(msg)
}

func (pro *Process) gossip(sta *State, per *Peer, now time.Time) {
	per.Told = now
	msg := rgwire.Gossip{From: pro.self, Version: version(pro.Config())}
	if per.Entries != sta.ListVersion || now.Sub(per.Listed) >= listInterval {
		per.Entries, per.Listed = sta.ListVersion, now
		msg.Entries = pro.known(sta, now)
	}
	per.Outbox.Send(msg)
}

// known returns the other entries that were seen lately.
func (pro *Process) known(sta *State, now time.Time) []rgmodel.Entry {
	var ents []rgmodel.Entry
	for _, kno := range sta.Entries {
		if kno.Entry.Name != "" && now.Sub(kno.Seen) < forgetAfter {
			ents = append(ents, kno.Entry)
		}
	}
	return ents
}

// learn takes note of named entries, and connects to new ones. They are seen if they or the store have named themselves.
func (pro *Process) learn(work context.Context, sta *State, now time.Time, ents []rgmodel.Entry, seen bool) {
	for _, ent := range ents {
		if ent.Address == pro.self.Address || ent.Address == "" {
			continue
		}
		kno := sta.Entries[ent.Address]
		if seen && now.Sub(kno.Seen) >= forgetAfter {
			sta.ListVersion++
		}
		kno.Entry, kno.Named = ent, now
		if seen {
			kno.Seen = now
		}
		sta.Entries[ent.Address] = kno
		pro.dial(work, sta, ent.Address)
	}
}

func (pro *Process) configure(work context.Context, sta *State) {
	set := pro.settings
	sta.Dispatch.RemoteFactor = set.RemoteFactor
	sta.Dispatch.Name = set.Name
	sta.Dispatch.Zone = set.AvailabilityZone
	sta.Dispatch.Limits.Cores = set.Cores
	// A sidecar stops the tasks of an entry that it has lost, or its executor's lease lapses, before a caller may send
	// its job again.
	sta.Dispatch.Limits.RunsEndAfter = set.Resend.Duration + remoteMargin
	for _, adr := range rgwire.PeerAddresses(set.Seeds, set.PeerPort) {
		if _, found := sta.Entries[adr]; !found && adr != pro.self.Address {
			sta.Entries[adr] = Known{Named: rgclock.Now(), Seed: true}
			pro.dial(work, sta, adr)
		}
	}
}

// dial keeps a connection to another entry from now on. Both sides dial, so that one working direction is enough.
func (pro *Process) dial(work context.Context, sta *State, adr string) {
	if sta.Dials[adr] != nil {
		return
	}
	ctx, stop := context.WithCancel(work)
	sta.Dials[adr] = stop
	pro.traffic.Go(func() {
		rgwire.MaintainConnection(ctx, adr, func(ctx context.Context, con *rgwire.Connection) {
			pro.attend(ctx, con, rgwire.EntryHello{Entry: pro.self})
		})
	})
}
