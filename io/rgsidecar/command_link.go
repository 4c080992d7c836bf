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
	"ragwortgap/io/rgwire"
)

const (
	// callTimeout bounds calls that a live entry answers at once. It is shorter than rgmodel.IsolationLimit, so that a
	// connection that has gone silent is replaced before the sidecar has to stop.
	callTimeout = 5 * time.Second
	// redialShort and redialLong bound the pause between attempts to connect to an entry; each doubles the last one.
	redialShort = 50 * time.Millisecond
	redialLong  = time.Second
	// bootstrapWait is the pause between rounds of asking the configured addresses for the ring.
	bootstrapWait = 500 * time.Millisecond
)

// startBootstrap looks for the ring while no entry is connected.
func (pro *Process) startBootstrap(work context.Context, sta *State) {
	if sta.Bootstrapping {
		return
	}
	for _, lnk := range sta.Conns {
		if lnk.Peer != nil {
			return
		}
	}
	sta.Bootstrapping = true
	pro.links.Go(func() { pro.bootstrap(work) })
}

// bootstrap asks the configured addresses for the ring until one answers.
func (pro *Process) bootstrap(work context.Context) {
	var failure error
	for _, adr := range pro.settings.Entries {
		rep, err := pro.askMembers(work, adr)
		if err != nil {
			failure = err
		}
		if err == nil && len(rep.Ring.Entries) > 0 {
			pro.tell(work, Configured{Ring: rep.Ring, Teams: rep.Teams})
			failure = nil
			break
		}
	}
	rgclock.Pause(work, bootstrapWait)
	pro.tell(work, Bootstrapped{Err: failure})
}

// endBootstrap logs the first of a series of failures, which a wrong address or certificate makes endless.
func (pro *Process) endBootstrap(sta *State, evt Bootstrapped) {
	sta.Bootstrapping = false
	if evt.Err != nil && !sta.EntriesUnreachable {
		pro.log.Warn("no entry answers", zap.Strings("addresses", pro.settings.Entries), zap.Error(evt.Err))
	}
	sta.EntriesUnreachable = evt.Err != nil
}

func (pro *Process) askMembers(work context.Context, adr string) (rgwire.MembersReply, error) {
	ctx, stop := context.WithTimeout(work, callTimeout)
	defer stop()
	per, err := pro.dial(ctx, adr)
	if err != nil {
		return rgwire.MembersReply{}, err
	}
	defer per.Close()
	var rep rgwire.MembersReply
	err = per.Ask(ctx, rgwire.Members{}, &rep)
	return rep, err
}

func (pro *Process) dial(work context.Context, adr string) (*rgwire.Peer, error) {
	con, err := rgwire.Dial(work, adr, pro.identity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return rgwire.Serve(work, con, pro.serve), nil
}

// relink keeps one link to each entry of the ring and ends the links to entries that have left it.
func (pro *Process) relink(work context.Context, sta *State) {
	for _, ent := range sta.Queue.Ring.Entries {
		if _, ok := sta.Conns[ent.Incarnation]; ok {
			continue
		}
		ctx, stop := context.WithCancel(work)
		reps := make(chan rgmodel.Report, 1)
		sta.Conns[ent.Incarnation] = EntryConn{Stop: stop, Reports: reps}
		pro.links.Go(func() { pro.keepLink(ctx, work, ent, reps) })
	}
}

// unlink notes a lost connection, and gives up on an entry that has left the ring.
func (pro *Process) unlink(sta *State, ent rgmodel.Entry) {
	lnk, ok := sta.Conns[ent.Incarnation]
	if !ok {
		return
	}
	lnk.Peer = nil
	sta.Conns[ent.Incarnation] = lnk
	if !slices.Contains(sta.Queue.Ring.Entries, ent) {
		lnk.Stop()
		delete(sta.Conns, ent.Incarnation)
	}
}

// keepLink dials an entry again whenever the connection is lost, until ctx ends.
func (pro *Process) keepLink(ctx, work context.Context, ent rgmodel.Entry, reps <-chan rgmodel.Report) {
	wait := redialShort
	for ctx.Err() == nil {
		per, err := pro.announce(work, ent)
		if err != nil {
			if wait == redialShort {
				pro.log.Warn("entry unreachable", zap.String("entry", ent.Name), zap.String("address", ent.Address), zap.Error(err))
			}
			pro.tell(work, Disconnected{Entry: ent})
			rgclock.Pause(ctx, wait/2+rand.N(wait/2+1))
			wait = min(2*wait, redialLong)
			continue
		}
		wait = redialShort
		pro.sendReports(work, per, ent, reps)
		pro.log.Info("entry disconnected", zap.String("entry", ent.Name))
		pro.tell(work, Disconnected{Entry: ent})
	}
}

// sendReports passes reports on until the connection is lost, an answer is missing or the process ends.
func (pro *Process) sendReports(work context.Context, per *rgwire.Peer, ent rgmodel.Entry, reps <-chan rgmodel.Report) {
	defer per.Close()
	for {
		select {
		case rep := <-reps:
			if pro.sendReport(work, per, ent, rep) != nil {
				return
			}
		case <-per.Done:
			return
		case <-work.Done():
			return
		}
	}
}

func (pro *Process) sendReport(work context.Context, per *rgwire.Peer, ent rgmodel.Entry, rep rgmodel.Report) error {
	ctx, stop := context.WithTimeout(work, callTimeout)
	defer stop()
	sent := time.Now()
	var ans rgwire.ReportReply
	if err := per.Ask(ctx, rgwire.Report{Report: rep}, &ans); err != nil {
		return err
	}
	pro.tell(work, Contacted{Entry: ent, Sent: sent})
	if ans.Ring.Generation > 0 {
		pro.tell(work, Configured{Ring: ans.Ring})
	}
	return nil
}

func (pro *Process) announce(work context.Context, ent rgmodel.Entry) (*rgwire.Peer, error) {
	sent := time.Now()
	per, err := pro.dial(work, ent.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(work, callTimeout)
	defer stop()
	var rep rgwire.AnnounceReply
	if err := per.Ask(ctx, rgwire.Announce{Sidecar: pro.self}, &rep); err != nil {
		per.Close()
		return nil, err
	}
	if rep.Entry.Incarnation != ent.Incarnation {
		per.Close()
		return nil, errors.NotValidf("entry %s at %s: incarnation %s", ent.Name, ent.Address, rep.Entry.Incarnation)
	}
	pro.tell(work, Connected{Entry: ent, Peer: per, Sent: sent})
	pro.tell(work, Configured{Ring: rep.Ring, Teams: rep.Teams})
	return per, nil
}

func (pro *Process) link(sta *State, evt Connected) {
	lnk, ok := sta.Conns[evt.Entry.Incarnation]
	if !ok {
		return
	}
	lnk.Peer = evt.Peer
	sta.Conns[evt.Entry.Incarnation] = lnk
	rgqueue.RecordContact(&sta.Queue, evt.Entry, evt.Sent)
	pro.unpark(sta, time.Now())
	pro.log.Info("entry connected", zap.String("entry", evt.Entry.Name))
	pro.report(sta, time.Now())
}

// serve handles the messages of entries, in goroutines of the connection.
func (pro *Process) serve(ctx context.Context, _ *rgwire.Peer, msg rgwire.Message) (any, error) {
	switch msg := msg.(type) {
	case rgwire.StartBatch:
		rep := make(chan rgwire.BatchReply, 1)
		return await(ctx, pro, BatchArrived{Batch: msg.Batch, Reply: rep}, rep)
	case rgwire.Collect:
		rep := make(chan rgwire.BatchReply, 1)
		return await(ctx, pro, CollectArrived{ID: msg.ID, Indexes: msg.Indexes, Reply: rep}, rep)
	case rgwire.Seal:
		rep := make(chan rgwire.SealReply, 1)
		return await(ctx, pro, SealArrived{Seal: msg, Reply: rep}, rep)
	case rgwire.Cancel:
		pro.tell(ctx, CancelArrived{IDs: msg.IDs})
		return struct{}{}, nil
	case rgwire.Configure:
		pro.tell(ctx, Configured{Ring: msg.Ring, Teams: msg.Teams})
		return struct{}{}, nil
	default:
		return nil, errors.NotSupportedf("message %T at a sidecar", msg)
	}
}

func await[Rep any](ctx context.Context, pro *Process, evt Event, rep <-chan Rep) (any, error) {
	if !pro.tell(ctx, evt) {
		return nil, errors.Trace(ctx.Err())
	}
	select {
	case val := <-rep:
		return val, nil
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}
