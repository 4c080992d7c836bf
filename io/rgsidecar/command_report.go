package rgsidecar

import (
	"context"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

// report passes the load to the goroutines of all links, so that an entry that does not read blocks nobody else.
func (pro *Process) report(sta *State, now time.Time) {
	sta.Sequence++
	sta.ChangedSinceReport, sta.LastReport = false, now
	rep := rgqueue.Report(&sta.Queue)
	rep.Sequence, rep.Config = sta.Sequence, sta.Config
	rep.Isolated = !rgqueue.InContact(&sta.Queue, now)
	for _, lnk := range sta.Conns {
		replaceReport(lnk.Reports, rep)
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
func (pro *Process) leave(work context.Context, sta *State) {
	if !sta.Queue.Draining || sta.LeaveDone != nil || sta.Queue.Running > 0 || sta.Queue.Queued > 0 || len(sta.Waiters) > 0 ||
		len(sta.Parked) > 0 {
		return
	}
	sta.LeaveDone = make(chan struct{})
	var pers []*rgwire.Peer
	for _, lnk := range sta.Conns {
		if lnk.Peer != nil {
			pers = append(pers, lnk.Peer)
		}
	}
	left := sta.LeaveDone
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
