package rgsidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

const (
	// tickInterval is how often queued tasks are checked against their deadlines.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the shortest time between reports of a changing load.
	reportInterval = 200 * time.Millisecond
	// contactWait is how long a batch waits for contact with all entries before it is refused.
	contactWait = 500 * time.Millisecond
	// recordInterval is how often records are checked against their window.
	recordInterval = 5 * time.Second
)

type (
	// state is owned by the control goroutine.
	state struct {
		queue    rgqueue.State
		teams    map[string]rgmodel.TeamConfig
		config   rgmodel.ConfigVersion
		links    map[string]link
		parked   []batchArrived
		waiters  map[rgmodel.SubmissionID][]waiter
		running  map[taskKey]context.CancelFunc
		sequence uint64
		changed  bool
		// bootstrapping is set while a goroutine asks the configured addresses for the ring.
		bootstrapping bool
		// unreachable is set while none of the configured addresses answers.
		unreachable bool
		reported    time.Time
		swept       time.Time
		left        chan struct{}
	}

	link struct {
		peer *rgwire.Peer
		stop context.CancelFunc
		// reports holds the newest report that has not been sent.
		reports chan rgmodel.Report
	}

	// waiter is a batch or collect call that is answered once its tasks are final.
	waiter struct {
		indexes []int
		reply   chan<- rgwire.BatchReply
	}

	taskKey struct {
		id    rgmodel.SubmissionID
		index int
	}
)

// control is the control goroutine. It ends when the process has drained after ctx, or at the drain bound.
func (pro *Process) control(ctx, work context.Context) {
	sta := &state{
		queue:   rgqueue.State{Self: pro.self},
		teams:   map[string]rgmodel.TeamConfig{},
		links:   map[string]link{},
		waiters: map[rgmodel.SubmissionID][]waiter{},
		running: map[taskKey]context.CancelFunc{},
	}
	tic := time.NewTicker(tickInterval)
	defer tic.Stop()
	stopping := ctx.Done()
	var bound <-chan time.Time
	for {
		select {
		case evt := <-pro.events:
			pro.handle(work, sta, evt)
		case now := <-tic.C:
			pro.tick(work, sta, now)
		case <-stopping:
			stopping = nil
			bound = time.After(pro.settings.DrainBound.Duration)
			pro.handle(work, sta, drainAsked{})
		case <-sta.left:
			return
		case <-bound:
			pro.log.Warn("drain bound passed", zap.Int("running", sta.queue.Running), zap.Int("queued", sta.queue.Queued))
			return
		}
		pro.startNext(work, sta)
		pro.leave(work, sta)
	}
}

func (pro *Process) handle(work context.Context, sta *state, evt event) {
	now := time.Now()
	switch evt := evt.(type) {
	case batchArrived:
		pro.acceptBatch(sta, evt, now)
	case collectArrived:
		pro.await(sta, evt.id, waiter{indexes: evt.indexes, reply: evt.reply})
	case sealArrived:
		rgqueue.AdoptRing(&sta.queue, evt.seal.Ring)
		evt.reply <- rgwire.SealReply{Records: rgqueue.Seal(&sta.queue, evt.seal.Ring, evt.seal.Home)}
		pro.relink(work, sta)
	case cancelArrived:
		pro.cancel(sta, evt.ids)
	case configured:
		pro.configure(work, sta, evt)
	case linked:
		pro.link(sta, evt)
	case unlinked:
		pro.unlink(sta, evt.entry)
	case contacted:
		rgqueue.Contact(&sta.queue, evt.entry, evt.sent)
		pro.unpark(sta, now)
	case bootstrapped:
		pro.endBootstrap(sta, evt)
	case finished:
		pro.finish(sta, evt)
	case drainAsked:
		ids := rgqueue.Drain(&sta.queue, pro.settings.DrainBound.Duration)
		pro.answer(sta, ids)
		pro.report(sta, now)
		pro.log.Info("draining", zap.Int("running", sta.queue.Running), zap.Int("queued", sta.queue.Queued))
	}
}

// acceptBatch keeps a batch for a moment if an entry that is new in the ring has not been in contact yet, which takes
// one dial after each change of the ring.
func (pro *Process) acceptBatch(sta *state, evt batchArrived, now time.Time) {
	if evt.arrived.IsZero() {
		evt.arrived = now
		pro.scope.Counter("batches").Inc(1)
	}
	if !rgqueue.InContact(&sta.queue, now) && now.Sub(evt.arrived) < contactWait {
		sta.parked = append(sta.parked, evt)
		return
	}
	bat := evt.batch
	bat.Remaining.Duration -= now.Sub(evt.arrived)
	if rsn := rgqueue.Accept(&sta.queue, bat, now); rsn != "" {
		pro.scope.Tagged(map[string]string{"reason": string(rsn)}).Counter("batchesRefused").Inc(1)
		evt.reply <- rgwire.BatchReply{Refused: rsn}
		return
	}
	idxs := make([]int, len(evt.batch.Tasks))
	for i, tsk := range evt.batch.Tasks {
		idxs[i] = tsk.Index
	}
	sta.changed = true
	pro.await(sta, evt.batch.ID, waiter{indexes: idxs, reply: evt.reply})
}

// unpark decides anew on the batches that waited for contact.
func (pro *Process) unpark(sta *state, now time.Time) {
	evts := sta.parked
	sta.parked = nil
	for _, evt := range evts {
		pro.acceptBatch(sta, evt, now)
	}
}

// await answers the waiter now if its tasks are final, and else keeps it.
func (pro *Process) await(sta *state, id rgmodel.SubmissionID, wtr waiter) {
	if outs, final := rgqueue.Outcomes(&sta.queue, id, wtr.indexes); final {
		wtr.reply <- rgwire.BatchReply{Outcomes: outs}
		return
	}
	sta.waiters[id] = append(sta.waiters[id], wtr)
}

// answer replies to the waiters of the submissions whose tasks have become final.
func (pro *Process) answer(sta *state, ids []rgmodel.SubmissionID) {
	for _, id := range ids {
		wtrs := sta.waiters[id]
		delete(sta.waiters, id)
		for _, wtr := range wtrs {
			pro.await(sta, id, wtr)
		}
	}
}

func (pro *Process) cancel(sta *state, ids []rgmodel.SubmissionID) {
	rgqueue.Cancel(&sta.queue, ids, time.Now())
	for key, stop := range sta.running {
		for _, id := range ids {
			if key.id == id {
				stop()
			}
		}
	}
	sta.changed = true
	pro.answer(sta, ids)
}

func (pro *Process) finish(sta *state, evt finished) {
	key := taskKey{id: evt.start.ID, index: evt.start.Task.Index}
	if stop := sta.running[key]; stop != nil {
		stop()
	}
	delete(sta.running, key)
	rgqueue.Finish(&sta.queue, evt.start, evt.outcome, evt.took)
	pro.scope.Tagged(map[string]string{"verdict": evt.outcome.Verdict.String()}).Counter("tasks").Inc(1)
	pro.scope.Timer("taskTime").Record(evt.took)
	sta.changed = true
	pro.answer(sta, []rgmodel.SubmissionID{evt.start.ID})
}

// startNext gives the free slots to queued tasks.
func (pro *Process) startNext(work context.Context, sta *state) {
	prg := rgqueue.StartNext(&sta.queue, time.Now())
	pro.answer(sta, prg.Expired)
	for _, stt := range prg.Starts {
		ctx, stop := context.WithDeadline(work, stt.Deadline)
		sta.running[taskKey{id: stt.ID, index: stt.Task.Index}] = stop
		pro.runners.Go(func() { pro.runTask(ctx, work, stt) })
	}
}

func (pro *Process) configure(work context.Context, sta *state, evt configured) {
	if newer := rgconfig.Merge(sta.teams, evt.teams); len(newer) > 0 {
		rgqueue.Configure(&sta.queue, weights(sta.teams))
		sta.config = rgconfig.VersionOf(sta.teams)
		// The next report tells the entries what is in force.
		sta.changed = true
	}
	rgqueue.AdoptRing(&sta.queue, evt.ring)
	pro.relink(work, sta)
}

func weights(teams map[string]rgmodel.TeamConfig) map[rgmodel.Flow]int {
	wgts := map[rgmodel.Flow]int{}
	for _, tc := range teams {
		for _, kc := range tc.Kinds {
			wgts[rgmodel.Flow{Team: tc.Team, Kind: kc.Kind}] = tc.FlowWeight(kc.Kind)
		}
	}
	return wgts
}

func (pro *Process) tick(work context.Context, sta *state, now time.Time) {
	pro.answer(sta, rgqueue.ExpireQueued(&sta.queue, now))
	if now.Sub(sta.swept) >= recordInterval {
		sta.swept = now
		rgqueue.ExpireRecords(&sta.queue, now)
	}
	pro.unpark(sta, now)
	pro.startBootstrap(work, sta)
	since := now.Sub(sta.reported)
	if since >= rgfleet.ReportInterval || (sta.changed && since >= reportInterval) {
		pro.report(sta, now)
	}
}

// report passes the load to the goroutines of all links, so that an entry that does not read blocks nobody else.
func (pro *Process) report(sta *state, now time.Time) {
	sta.sequence++
	sta.changed, sta.reported = false, now
	rep := rgqueue.Report(&sta.queue)
	rep.Sequence, rep.Config = sta.sequence, sta.config
	for _, lnk := range sta.links {
		replaceReport(lnk.reports, rep)
	}
	pro.observe(sta)
}

// replaceReport puts a report into a channel of capacity one, in place of an older one that nobody has taken.
func replaceReport(reps chan rgmodel.Report, rep rgmodel.Report) {
	select {
	case <-reps:
	default:
	}
	reps <- rep
}

// leave ends a drain: when no task and no caller waits, it tells all entries and waits until they have all answers.
func (pro *Process) leave(work context.Context, sta *state) {
	if !sta.queue.Draining || sta.left != nil || sta.queue.Running > 0 || sta.queue.Queued > 0 || len(sta.waiters) > 0 ||
		len(sta.parked) > 0 {
		return
	}
	sta.left = make(chan struct{})
	var pers []*rgwire.Peer
	for _, lnk := range sta.links {
		if lnk.peer != nil {
			pers = append(pers, lnk.peer)
		}
	}
	left := sta.left
	pro.links.Go(func() {
		defer close(left)
		for _, per := range pers {
			ctx, stop := context.WithTimeout(work, pro.settings.DrainBound.Duration)
			// An entry that is gone has no answers to wait for.
			_ = per.Ask(ctx, rgwire.Leave{Sidecar: pro.self.Key()}, nil)
			stop()
		}
	})
}
