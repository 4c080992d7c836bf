package rgsidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgwire"
)

const (
	// callTimeout bounds calls to which a live entry replies immediately. It is shorter than rgmodel.IsolationLimit, so that an
	// unresponsive connection is replaced before the sidecar has to stop.
	callTimeout = 5 * time.Second
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect to an entry, which doubles each time.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// bootstrapDelay is the delay between rounds of requests for the ring to the configured addresses.
	bootstrapDelay = 500 * time.Millisecond
)

// startBootstrap starts a search for the ring if no entry is connected and none is in progress.
func (pro *Process) startBootstrap(workCtx context.Context, sta *State) {
	if sta.Bootstrapping {
		return
	}
	for _, ec := range sta.Conns {
		if ec.Peer != nil {
			return
		}
	}
	sta.Bootstrapping = true
	pro.connections.Go(func() { pro.bootstrap(workCtx) })
}

// bootstrap requests the ring from the configured addresses, in order, until one returns it.
func (pro *Process) bootstrap(workCtx context.Context) {
	var failure error
	for _, adr := range pro.settings.Entries {
		rep, err := pro.requestSnapshot(workCtx, adr)
		if err != nil {
			failure = err
		}
		if err == nil && len(rep.Ring.Entries) > 0 {
			pro.mailbox.Send(workCtx, ConfigureReceived{Ring: rep.Ring, Teams: rep.Teams})
			failure = nil
			break
		}
	}
	rgclock.Sleep(workCtx, bootstrapDelay)
	pro.mailbox.Send(workCtx, Bootstrapped{Err: failure})
}

// endBootstrap logs only the first of consecutive failures, because a wrong address or certificate causes one every round.
func (pro *Process) endBootstrap(sta *State, evt Bootstrapped) {
	sta.Bootstrapping = false
	if evt.Err != nil && !sta.EntriesUnreachable {
		pro.log.Warn("no entry answers", zap.Strings("addresses", pro.settings.Entries), zap.Error(evt.Err))
	}
	sta.EntriesUnreachable = evt.Err != nil
}

func (pro *Process) requestSnapshot(workCtx context.Context, adr string) (rgwire.SnapshotReply, error) {
	ctx, stop := context.WithTimeout(workCtx, callTimeout)
	defer stop()
	per, err := pro.dial(ctx, adr)
	if err != nil {
		return rgwire.SnapshotReply{}, err
	}
	defer per.Close()
	var rep rgwire.SnapshotReply
	err = per.CallIdempotent(ctx, rgwire.SnapshotRequest{}, &rep)
	return rep, err
}

func (pro *Process) dial(workCtx context.Context, adr string) (*rgwire.Peer, error) {
	con, err := rgwire.Dial(workCtx, adr, pro.identity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return rgwire.ServeRequests(workCtx, con, pro.serve), nil
}

// connectEntries starts a connection to each entry of the ring that has none. See disconnect for entries that have left
// the ring.
func (pro *Process) connectEntries(workCtx context.Context, sta *State) {
	for _, ent := range sta.Queue.Ring.Entries {
		if _, ok := sta.Conns[ent.Incarnation]; ok {
			continue
		}
		ctx, stop := context.WithCancel(workCtx)
		reps := make(chan rgmodel.LoadReport, 1)
		sta.Conns[ent.Incarnation] = EntryConn{Stop: stop, Reports: reps}
		pro.connections.Go(func() { pro.keepConnected(ctx, workCtx, ent, reps) })
	}
}

// disconnect records a lost connection, and stops reconnecting to an entry that has left the ring.
func (pro *Process) disconnect(sta *State, ent rgmodel.Entry) {
	ec, ok := sta.Conns[ent.Incarnation]
	if !ok {
		return
	}
	ec.Peer = nil
	sta.Conns[ent.Incarnation] = ec
	if !slices.Contains(sta.Queue.Ring.Entries, ent) {
		ec.Stop()
		delete(sta.Conns, ent.Incarnation)
	}
}

// keepConnected connects to an entry, and reconnects whenever the connection is lost, until ctx ends.
func (pro *Process) keepConnected(ctx, workCtx context.Context, ent rgmodel.Entry, reps <-chan rgmodel.LoadReport) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		per, err := pro.announce(workCtx, ent)
		if err != nil {
			if delay == minRedialDelay {
				pro.log.Warn("entry unreachable", zap.String("entry", ent.Name), zap.String("address", ent.Address), zap.Error(err))
			}
			pro.mailbox.Send(workCtx, Disconnected{Entry: ent})
			rgclock.Sleep(ctx, delay/2+rand.N(delay/2+1))
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		pro.sendReports(workCtx, per, ent, reps)
		pro.log.Info("entry disconnected", zap.String("entry", ent.Name))
		pro.mailbox.Send(workCtx, Disconnected{Entry: ent})
	}
}

// sendReports sends reports until the connection is lost, a call fails or the process ends.
func (pro *Process) sendReports(workCtx context.Context, per *rgwire.Peer, ent rgmodel.Entry, reps <-chan rgmodel.LoadReport) {
	defer per.Close()
	for {
		select {
		case rep := <-reps:
			if pro.sendReport(workCtx, per, ent, rep) != nil {
				return
			}
		case <-per.Done:
			return
		case <-workCtx.Done():
			return
		}
	}
}

func (pro *Process) sendReport(workCtx context.Context, per *rgwire.Peer, ent rgmodel.Entry, rep rgmodel.LoadReport) error {
	ctx, stop := context.WithTimeout(workCtx, callTimeout)
	defer stop()
	sent := time.Now()
	var rpl rgwire.ReportReply
	if err := per.CallIdempotent(ctx, rgwire.Report{LoadReport: rep}, &rpl); err != nil {
		return err
	}
	// The ring comes before the contact: a contact under the older ring would let the batches of an old home start.
	if rpl.Ring.Generation > 0 {
		pro.mailbox.Send(workCtx, ConfigureReceived{Ring: rpl.Ring})
	}
	pro.mailbox.Send(workCtx, Contacted{Entry: ent, Sent: sent})
	return nil
}

// announce connects to an entry and announces this sidecar. It fails if another incarnation replies at the address.
func (pro *Process) announce(workCtx context.Context, ent rgmodel.Entry) (*rgwire.Peer, error) {
	sent := time.Now()
	per, err := pro.dial(workCtx, ent.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(workCtx, callTimeout)
	defer stop()
	var rep rgwire.AnnounceReply
	if err := per.CallIdempotent(ctx, rgwire.Announce{Sidecar: pro.self}, &rep); err != nil {
		per.Close()
		return nil, err
	}
	if rep.Entry.Incarnation != ent.Incarnation {
		per.Close()
		return nil, errors.NotValidf("incarnation %s of entry %s at %s", rep.Entry.Incarnation, ent.Name, ent.Address)
	}
	// The ring comes before the contact: see sendReport.
	pro.mailbox.Send(workCtx, ConfigureReceived{Ring: rep.Ring, Teams: rep.Teams})
	pro.mailbox.Send(workCtx, Connected{Entry: ent, Peer: per, Sent: sent})
	return per, nil
}

func (pro *Process) connect(sta *State, evt Connected) {
	ec, ok := sta.Conns[evt.Entry.Incarnation]
	if !ok {
		return
	}
	ec.Peer = evt.Peer
	sta.Conns[evt.Entry.Incarnation] = ec
	rgqueue.RecordContact(&sta.Queue, evt.Entry, evt.Sent)
	pro.unpark(sta, time.Now())
	pro.log.Info("entry connected", zap.String("entry", evt.Entry.Name))
	pro.queueReport(sta, time.Now())
}

// serve handles the messages of entries. It is called in a goroutine for each message.
func (pro *Process) serve(ctx context.Context, _ *rgwire.Peer, msg rgwire.Message) (any, error) {
	switch msg := msg.(type) {
	case rgwire.StartBatch:
		rep := make(chan rgwire.BatchReply, 1)
		return request(ctx, pro, BatchArrived{Batch: msg.Batch, Reply: rep}, rep)
	case rgwire.Collect:
		rep := make(chan rgwire.BatchReply, 1)
		return request(ctx, pro, CollectArrived{ID: msg.ID, Indexes: msg.Indexes, Reply: rep}, rep)
	case rgwire.Seal:
		rep := make(chan rgwire.SealReply, 1)
		return request(ctx, pro, SealArrived{Seal: msg, Reply: rep}, rep)
	case rgwire.CancelSubmissions:
		pro.mailbox.Send(ctx, CancelArrived{IDs: msg.IDs})
		return struct{}{}, nil
	case rgwire.Configure:
		pro.mailbox.Send(ctx, ConfigureReceived{Ring: msg.Ring, Teams: msg.Teams})
		return struct{}{}, nil
	default:
		return nil, errors.NotSupportedf("message %T at a sidecar", msg)
	}
}

// request sends an event to the control goroutine and waits for the reply.
func request[Rep any](ctx context.Context, pro *Process, evt Event, rep <-chan Rep) (any, error) {
	val, ok := rgmailbox.Call(ctx, pro.mailbox, evt, rep)
	if !ok {
		return nil, errors.Trace(ctx.Err())
	}
	return val, nil
}
