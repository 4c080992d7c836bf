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
	// minReportInterval is the shortest time between reports of a changing load.
	minReportInterval = 200 * time.Millisecond
	// maxContactWait is how long a batch waits for contact with all entries before it is refused.
	maxContactWait = 500 * time.Millisecond
	// expireInterval is how often expired records are removed.
	expireInterval = 5 * time.Second
)

type (
	// State is the control state. Only the control goroutine accesses it.
	State struct {
		Queue              rgqueue.State
		Teams              map[string]rgmodel.TeamConfig
		Config             rgmodel.ConfigVersion
		Conns              map[string]EntryConn
		Parked             []BatchArrived
		Waiters            map[rgmodel.SubmissionID][]Waiter
		Running            map[TaskID]context.CancelFunc
		Sequence           uint64
		ChangedSinceReport bool
		// Bootstrapping is set while a goroutine requests the ring from the configured addresses.
		Bootstrapping bool
		// EntriesUnreachable is set if the last round of requests to the configured addresses failed.
		EntriesUnreachable bool
		LastReport         time.Time
		LastExpiry         time.Time
		LeaveDone          chan struct{}
	}

	// EntryConn is the connection to one entry. Peer is nil while it is disconnected.
	EntryConn struct {
		Peer *rgwire.Peer
		Stop context.CancelFunc
		// Reports holds the newest report that has not been sent.
		Reports chan rgmodel.LoadReport
	}

	// Waiter is a pending batch or collect call, which gets its reply once its tasks are final.
	Waiter struct {
		Indexes []int
		Reply   chan<- rgwire.BatchReply
	}

	// TaskID identifies a task by its submission and index.
	TaskID struct {
		ID    rgmodel.SubmissionID
		Index int
	}
)

// control runs the control goroutine. After ctx ends, it returns once the process has drained or the drain timeout has
// passed.
func (pro *Process) control(ctx, workCtx context.Context) {
	sta := &State{
		Queue:   rgqueue.State{Self: pro.self},
		Teams:   map[string]rgmodel.TeamConfig{},
		Conns:   map[string]EntryConn{},
		Waiters: map[rgmodel.SubmissionID][]Waiter{},
		Running: map[TaskID]context.CancelFunc{},
	}
	tic := time.NewTicker(tickInterval)
	defer tic.Stop()
	stopping := ctx.Done()
	var timeout <-chan time.Time
	for {
		select {
		case evt := <-pro.mailbox.Events:
			pro.handle(workCtx, sta, evt)
		case <-tic.C:
			pro.tick(workCtx, sta)
		case <-stopping:
			stopping = nil
			timeout = time.After(pro.settings.DrainTimeout.Duration)
			pro.handle(workCtx, sta, DrainRequested{})
		case <-sta.LeaveDone:
			return
		case <-timeout:
			pro.log.Warn("drain bound passed", zap.Int("running", sta.Queue.Running), zap.Int("queued", sta.Queue.Queued))
			return
		}
		pro.startNext(workCtx, sta)
		pro.leaveEntries(workCtx, sta)
	}
}

func (pro *Process) handle(workCtx context.Context, sta *State, evt Event) {
	now := time.Now()
	switch evt := evt.(type) {
	case BatchArrived:
		pro.acceptBatch(sta, evt, now)
	case CollectArrived:
		pro.replyWhenFinal(sta, evt.ID, Waiter{Indexes: evt.Indexes, Reply: evt.Reply})
	case SealArrived:
		rgqueue.AdoptRing(&sta.Queue, evt.Seal.Ring)
		evt.Reply <- rgwire.SealReply{Records: rgqueue.Seal(&sta.Queue, evt.Seal.Ring, evt.Seal.Home)}
		pro.connectEntries(workCtx, sta)
	case CancelArrived:
		pro.cancelSubmissions(sta, evt.IDs)
	case ConfigureReceived:
		pro.configure(workCtx, sta, evt)
	case Connected:
		pro.connect(sta, evt)
	case Disconnected:
		pro.disconnect(sta, evt.Entry)
	case Contacted:
		rgqueue.RecordContact(&sta.Queue, evt.Entry, evt.Sent)
		pro.unpark(sta, now)
	case Bootstrapped:
		pro.endBootstrap(sta, evt)
	case TaskFinished:
		pro.finishTask(sta, evt)
	case DrainRequested:
		ids := rgqueue.Drain(&sta.Queue, pro.settings.DrainTimeout.Duration)
		pro.replyToWaiters(sta, ids)
		pro.queueReport(sta, now)
		pro.log.Info("draining", zap.Int("running", sta.Queue.Running), zap.Int("queued", sta.Queue.Queued))
	}
}

func (pro *Process) configure(workCtx context.Context, sta *State, evt ConfigureReceived) {
	if newer := rgconfig.Merge(sta.Teams, evt.Teams); len(newer) > 0 {
		rgqueue.SetWeights(&sta.Queue, flowWeights(sta.Teams))
		sta.Config = rgconfig.VersionOf(sta.Teams)
		// The next report tells the entries which version is in force.
		sta.ChangedSinceReport = true
	}
	rgqueue.AdoptRing(&sta.Queue, evt.Ring)
	pro.connectEntries(workCtx, sta)
}

func flowWeights(teams map[string]rgmodel.TeamConfig) map[rgmodel.Flow]int {
	wgts := map[rgmodel.Flow]int{}
	for _, tc := range teams {
		for _, kc := range tc.Kinds {
			wgts[rgmodel.Flow{Team: tc.Team, Kind: kc.Kind}] = tc.FlowWeight(kc.Kind)
		}
	}
	return wgts
}

// tick does the periodic work. It reads the time itself, because the ticker's value is in the past after the process stood still.
func (pro *Process) tick(workCtx context.Context, sta *State) {
	now := time.Now()
	pro.replyToWaiters(sta, rgqueue.ExpireQueued(&sta.Queue, now))
	if now.Sub(sta.LastExpiry) >= expireInterval {
		sta.LastExpiry = now
		rgqueue.ExpireRecords(&sta.Queue, now)
	}
	pro.unpark(sta, now)
	pro.startBootstrap(workCtx, sta)
	since := now.Sub(sta.LastReport)
	if since >= rgfleet.IdleReportInterval || (sta.ChangedSinceReport && since >= minReportInterval) {
		pro.queueReport(sta, now)
	}
}
