package rgsidecar

import (
	"context"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

// queueReport passes the load to the goroutines of all connections, so an entry that does not read blocks no other.
func (pro *Process) queueReport(sta *State, now time.Time) {
	sta.Sequence++
	sta.ChangedSinceReport, sta.LastReport = false, now
	rep := rgqueue.NewReport(&sta.Queue)
	rep.Sequence, rep.Config = sta.Sequence, sta.Config
	rep.Isolated = !rgqueue.InContact(&sta.Queue, now)
	for _, ec := range sta.Conns {
		replaceReport(ec.Reports, rep)
	}
	pro.updateMetrics(sta)
}

// replaceReport sends a report to a channel of capacity one, and replaces an older one that has not been received.
func replaceReport(reps chan rgmodel.LoadReport, rep rgmodel.LoadReport) {
	select {
	case <-reps:
	default:
	}
	reps <- rep
}

// leaveEntries completes a drain: once no task and no waiter is left, it tells all connected entries that the sidecar
// leaves, and waits until they have confirmed that they have all outcomes.
func (pro *Process) leaveEntries(workCtx context.Context, sta *State) {
	if !sta.Queue.Draining || sta.LeaveDone != nil || sta.Queue.Running > 0 || sta.Queue.Queued > 0 || len(sta.Waiters) > 0 ||
		len(sta.Parked) > 0 {
		return
	}
	sta.LeaveDone = make(chan struct{})
	var pers []*rgwire.Peer
	for _, ec := range sta.Conns {
		if ec.Peer != nil {
			pers = append(pers, ec.Peer)
		}
	}
	done := sta.LeaveDone
	pro.connections.Go(func() {
		defer close(done)
		for _, per := range pers {
			ctx, stop := context.WithTimeout(workCtx, pro.settings.DrainTimeout.Duration)
			// An entry that has ended needs no confirmation.
			_ = per.CallIdempotent(ctx, rgwire.Leave{Sidecar: pro.self.Key()}, nil)
			stop()
		}
	})
}
