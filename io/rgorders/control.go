package rgorders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgwire"
)

func (pro *Process) control(ctx, work context.Context) {
	sta := &State{Links: map[rgexecutor.ConnID]*Link{}, Dials: map[string]*Dial{}}
	pro.configure(work, sta, pro.settings)
	tick := time.NewTicker(rgexecutor.TickInterval)
	defer tick.Stop()
	end := ctx.Done()
	for {
		select {
		case <-end:
			end = nil
			now := rgclock.Now()
			sta.Draining = now
			pro.log.Info("drain begins", zap.Int("runs", len(sta.Room.Runs)), zap.Int("queued", len(sta.Room.Queue)))
			pro.act(work, sta, rgexecutor.Drain(&sta.Room))
			rgexecutor.MarkLoadChanged(&sta.Room)
		case evt := <-pro.mailbox.Events:
			pro.handle(work, sta, rgclock.Now(), evt)
			// What has arrived meanwhile goes into the same reports.
			for drained := false; !drained; {
				select {
				case more := <-pro.mailbox.Events:
					pro.handle(work, sta, rgclock.Now(), more)
				default:
					drained = true
				}
			}
		case <-tick.C:
			pro.tick(work, sta, rgclock.Now())
		}
		now := rgclock.Now()
		pro.report(sta, now)
		if !sta.Draining.IsZero() && (len(sta.Room.Runs) == 0 || now.Sub(sta.Draining) > pro.settings.Grace.Duration-drainMargin) {
			pro.log.Info("drain ends", zap.Int("runs", len(sta.Room.Runs)))
			return
		}
	}
}

func (pro *Process) handle(work context.Context, sta *State, now time.Time, evt Event) {
	switch evt := evt.(type) {
	case Announced:
		pro.announce(work, sta, now, evt.Executor)
		evt.Reply <- struct{}{}
	case Recalled:
		// What the executor has said itself in the meantime is newer.
		if sta.Room.Phase == rgexecutor.PhaseNoExecutor {
			pro.log.Info("executor recalled", zap.String("id", evt.Executor.Incarnation.ID))
			pro.announce(work, sta, now, evt.Executor)
		}
	case Departed:
		pro.act(work, sta, rgexecutor.DeregisterExecutor(&sta.Room, now, evt.ID))
		pro.log.Info("executor has left", zap.String("id", evt.ID))
		rgexecutor.MarkLoadChanged(&sta.Room)
		evt.Reply <- struct{}{}
	case Replied:
		pro.answered(work, sta, now, evt)
	case Linked:
		pro.link(sta, now, evt)
	case Unlinked:
		pro.unlink(work, sta, now, evt)
	case Received:
		pro.receive(work, sta, now, evt)
	case Listed:
		for _, adr := range evt.Addresses {
			pro.dial(work, sta, now, adr, false)
		}
	case Reloaded:
		pro.log.Info("settings read again")
		pro.configure(work, sta, evt.Settings)
	}
}

func (pro *Process) announce(work context.Context, sta *State, now time.Time, exe rgmodel.Executor) {
	before, phase := sta.Room.Executor, sta.Room.Phase
	efs := rgexecutor.UpdateExecutor(&sta.Room, now, exe)
	if exe = sta.Room.Executor; phase == rgexecutor.PhaseNoExecutor || !sameExecutor(before, exe) {
		pro.log.Info("executor", zap.String("id", exe.Incarnation.ID), zap.Int64("born", exe.Incarnation.StartedMillis),
			zap.Bool("draining", exe.Draining), zap.Float64("cores", exe.Capacity.Cores))
		pro.offer(exe)
		rgexecutor.MarkLoadChanged(&sta.Room)
	}
	pro.act(work, sta, efs)
}

func (pro *Process) configure(work context.Context, sta *State, set rgsettings.Deployment) {
	sta.Room.Limits = rgexecutor.Limits{
		LongestLease: set.LongestLease.Duration, ResendDelay: set.Resend.Duration, TaskStopTime: set.TaskStop.Duration,
	}
	for _, adr := range rgwire.PeerAddresses(set.Seeds, set.PeerPort) {
		pro.dial(work, sta, rgclock.Now(), adr, true)
	}
}

func (pro *Process) answered(work context.Context, sta *State, now time.Time, evt Replied) {
	phase := sta.Room.Phase
	var efs []rgexecutor.Effect
	switch ord := evt.Order.(type) {
	case rgmodel.StartOrder:
		efs = rgexecutor.StartAnswered(&sta.Room, now, ord, evt.Reply)
		if !evt.Reply.Answered || evt.Reply.Refusal != rgmodel.RefusalNone {
			pro.scope.Counter("ordersRefused").Inc(1)
			pro.log.Info("start not carried out", zap.String("job", ord.Task.Job), zap.Int("task", ord.Task.Index),
				zap.Uint64("run", ord.Run), zap.Bool("answered", evt.Reply.Answered), zap.Stringer("refusal", evt.Reply.Refusal))
		}
	case rgmodel.StopOrder:
		efs = rgexecutor.StopAnswered(&sta.Room, now, ord, evt.Reply)
	case rgmodel.PollOrder:
		efs = rgexecutor.PollAnswered(&sta.Room, now, ord, evt.Reply)
	}
	if phase != sta.Room.Phase {
		pro.log.Info("control of the executor", zap.Uint8("from", uint8(phase)), zap.Uint8("to", uint8(sta.Room.Phase)),
			zap.Uint64("fence", sta.Room.Fence))
		rgexecutor.MarkLoadChanged(&sta.Room)
	}
	pro.act(work, sta, efs)
}

func (pro *Process) tick(work context.Context, sta *State, now time.Time) {
	phase := sta.Room.Phase
	pro.act(work, sta, rgexecutor.Tick(&sta.Room, now))
	if phase != sta.Room.Phase {
		pro.log.Warn("lease lapsed", zap.String("executor", sta.Room.Executor.Incarnation.ID))
	}
	pro.prune(work, sta, now)
	pro.count(sta)
}

// act carries out what the decisions ask for.
func (pro *Process) act(work context.Context, sta *State, efs []rgexecutor.Effect) {
	if len(efs) > 0 {
		rgexecutor.MarkLoadChanged(&sta.Room)
	}
	for _, eff := range efs {
		switch eff := eff.(type) {
		case rgexecutor.SendOrder:
			if ord, ok := eff.Order.(rgmodel.StopOrder); ok {
				pro.logStop(sta, ord)
			}
			pro.traffic.Go(func() { pro.mailbox.Send(work, Replied{Order: eff.Order, Reply: pro.give(work, eff.Order)}) })
		case rgexecutor.ReportEnd:
			if lnk := sta.Links[eff.Conn]; lnk != nil {
				lnk.Ends = append(lnk.Ends, eff.End)
			}
		}
	}
}

func (pro *Process) logStop(sta *State, ord rgmodel.StopOrder) {
	rsn, age := rgmodel.Reason("foreign"), time.Duration(0)
	if run := sta.Room.Runs[ord.Task]; run != nil {
		rsn, age = run.Reason, run.StopSent.Sub(run.Started)
	}
	pro.log.Info("run is stopped", zap.String("job", ord.Task.Job), zap.Int("step", ord.Task.Step),
		zap.Int("task", ord.Task.Index), zap.Uint64("run", ord.Run), zap.String("reason", string(rsn)), zap.Duration("age", age))
}

func (pro *Process) count(sta *State) {
	add := func(name string, now, before uint64) {
		if now > before {
			pro.scope.Counter(name).Inc(int64(now - before))
		}
	}
	cur, old := sta.Room.Counts, sta.Counted
	add("tasksStarted", cur.Started, old.Started)
	add("tasksDone", cur.Done, old.Done)
	add("tasksFailed", cur.Failed, old.Failed)
	add("tasksLost", cur.Lost, old.Lost)
	add("tasksReturned", cur.Returned, old.Returned)
	add("leasesLapsed", cur.LeasesExpired, old.LeasesExpired)
	add("rowsUnreadable", cur.MalformedRows, old.MalformedRows)
	sta.Counted = cur
	pro.scope.Gauge("runs").Update(float64(len(sta.Room.Runs)))
	pro.scope.Gauge("queued").Update(float64(len(sta.Room.Queue)))
}
