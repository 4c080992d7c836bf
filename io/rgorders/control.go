package rgorders

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgwire"
)

// control runs the control goroutine. After ctx ends, it drains, and returns once no run is left or all of the drain timeout but
// drainMargin has passed. When stopMargin is left, it stops the runs that go on.
func (pro *Process) control(ctx, workCtx context.Context) {
	sta := &State{
		Conns: map[rgexecutor.EntryConnID]*EntryConn{}, StopDial: map[string]context.CancelFunc{}, Dropped: map[string]bool{},
	}
	pro.applySettings(sta, pro.settings)
	pro.updateConnections(workCtx, sta, rgclock.Now())
	tick := time.NewTicker(rgexecutor.TickInterval)
	defer tick.Stop()
	end := ctx.Done()
	for {
		select {
		case <-end:
			end = nil
			now := rgclock.Now()
			sta.DrainStarted = now
			pro.log.Info("drain begins", zap.Int("runs", len(sta.ExecutorState.Runs)), zap.Int("queued", len(sta.ExecutorState.Queue)))
			pro.perform(workCtx, sta, rgexecutor.Drain(&sta.ExecutorState))
			rgexecutor.MarkLoadChanged(&sta.ExecutorState)
		case evt := <-pro.mailbox.Events:
			pro.handle(workCtx, sta, rgclock.Now(), evt)
			// Events that have arrived in the meantime are included in the same updates.
			for empty := false; !empty; {
				select {
				case more := <-pro.mailbox.Events:
					pro.handle(workCtx, sta, rgclock.Now(), more)
				default:
					empty = true
				}
			}
		case <-tick.C:
			pro.tick(workCtx, sta, rgclock.Now())
		}
		now := rgclock.Now()
		if sta.Members.Changed {
			pro.updateConnections(workCtx, sta, now)
		}
		pro.endDrain(workCtx, sta, now)
		pro.sendUpdates(sta, now)
		if !sta.DrainStarted.IsZero() &&
			(!rgexecutor.HasRuns(&sta.ExecutorState) || now.Sub(sta.DrainStarted) > pro.settings.DrainTimeout.Duration-drainMargin) {
			pro.log.Info("drain ends", zap.Int("runs", len(sta.ExecutorState.Runs)), zap.Int("orphans", len(sta.ExecutorState.Orphans)))
			return
		}
	}
}

// endDrain stops the runs that go on when the drain has to end soon.
func (pro *Process) endDrain(workCtx context.Context, sta *State, now time.Time) {
	if sta.DrainStarted.IsZero() || sta.DrainEnding || now.Sub(sta.DrainStarted) <= pro.settings.DrainTimeout.Duration-stopMargin {
		return
	}
	sta.DrainEnding = true
	pro.log.Info("runs stopped at the end of the drain", zap.Int("runs", len(sta.ExecutorState.Runs)))
	pro.perform(workCtx, sta, rgexecutor.EndDrain(&sta.ExecutorState, now))
}

func (pro *Process) handle(workCtx context.Context, sta *State, now time.Time, evt Event) {
	switch evt := evt.(type) {
	case ExecutorUpdated:
		pro.updateExecutor(workCtx, sta, now, evt.Executor)
		evt.Reply <- struct{}{}
	case ExecutorRestored:
		// A heartbeat that has arrived in the meantime is newer.
		if sta.ExecutorState.Phase == rgexecutor.PhaseNoExecutor {
			pro.log.Info("executor restored from the store", zap.String("id", evt.Executor.Incarnation.ID))
			efs := rgexecutor.RestoreExecutor(&sta.ExecutorState, now, evt.Executor)
			rgexecutor.MarkLoadChanged(&sta.ExecutorState)
			pro.perform(workCtx, sta, efs)
		}
	case ExecutorDeregistered:
		// The next process of this sidecar must not use an executor that has left, so its drain is saved.
		before := rgexecutor.Description(&sta.ExecutorState)
		efs := rgexecutor.DeregisterExecutor(&sta.ExecutorState, evt.ID)
		pro.log.Info("executor has deregistered", zap.String("id", evt.ID),
			zap.String("knownID", sta.ExecutorState.Executor.Incarnation.ID), zap.Int("runs", len(sta.ExecutorState.Runs)))
		pro.recordExecutor(sta, before)
		pro.perform(workCtx, sta, efs)
		evt.Reply <- struct{}{}
	case OrderReplied:
		pro.handleOrderReply(workCtx, sta, now, evt)
	case EntryConnected:
		pro.addConnection(sta, now, evt)
	case EntryDisconnected:
		pro.removeConnection(workCtx, sta, now, evt)
	case MessageReceived:
		// A panic while the state of the executor is changed ends the process, because its runs may be known only in part. The
		// next process stops them first. A message of an entry that cannot be handled costs only its connection.
		if !pro.traffic.Try("message", func() { pro.receive(workCtx, sta, now, evt) }) && sta.Conns[evt.Conn] != nil {
			sta.Conns[evt.Conn].Conn.Close()
		}
	case EntriesListed:
		rgmembership.RecordFound(&sta.Members, now, evt.Entries)
	case SettingsReloaded:
		pro.log.Info("settings read again")
		pro.applySettings(sta, evt.Settings)
	}
}

func (pro *Process) updateExecutor(workCtx context.Context, sta *State, now time.Time, exe rgmodel.Executor) {
	before := rgexecutor.Description(&sta.ExecutorState)
	pro.logHeartbeat(sta, now, exe)
	efs := rgexecutor.UpdateExecutor(&sta.ExecutorState, now, exe)
	pro.recordExecutor(sta, before)
	pro.perform(workCtx, sta, efs)
}

// recordExecutor logs and saves the description of the executor if it has changed.
func (pro *Process) recordExecutor(sta *State, before rgmodel.Executor) {
	exe := rgexecutor.Description(&sta.ExecutorState)
	if exe.Service == "" || sameExecutor(before, exe) {
		return
	}
	pro.log.Info("executor", zap.String("id", exe.Incarnation.ID), zap.Int64("born", exe.Incarnation.StartedMillis),
		zap.Bool("draining", exe.Draining), zap.Float64("cores", exe.Capacity.Cores))
	pro.queueSave(exe)
	rgexecutor.MarkLoadChanged(&sta.ExecutorState)
}

// logHeartbeat logs a heartbeat that contradicts what the executor's replies have shown, with the state before it takes effect.
func (pro *Process) logHeartbeat(sta *State, now time.Time, exe rgmodel.Executor) {
	if sta.ExecutorState.Phase == rgexecutor.PhaseNoExecutor {
		return
	}
	if cur := sta.ExecutorState.Executor.Incarnation; exe.Incarnation != cur {
		pro.log.Info("heartbeat of another incarnation", zap.String("id", exe.Incarnation.ID),
			zap.Int64("born", exe.Incarnation.StartedMillis), zap.String("knownID", cur.ID), zap.Int64("knownBorn", cur.StartedMillis),
			zap.Int("runs", len(sta.ExecutorState.Runs)), zap.Duration("leaseLeft", rgexecutor.LeaseLeft(&sta.ExecutorState, now)))
		return
	}
	if des := rgexecutor.Description(&sta.ExecutorState); des.Service != "" && exe.Service != des.Service {
		pro.log.Warn("heartbeat of another service", zap.String("id", exe.Incarnation.ID), zap.String("service", exe.Service),
			zap.Uint64("sequence", exe.Sequence))
		return
	}
	if ahead := rgexecutor.ClockLead(&sta.ExecutorState, now, exe.Clock); ahead > tolerableClockLead {
		pro.log.Warn("heartbeat with a clock that is ahead of the executor's replies", zap.String("id", exe.Incarnation.ID),
			zap.Duration("ahead", ahead), zap.Uint64("sequence", exe.Sequence))
	}
}

func (pro *Process) applySettings(sta *State, set rgsettings.PlatformProcess) {
	sta.ExecutorState.Limits = rgexecutor.Limits{
		MaxLease: set.MaxLease.Duration, ResendDelay: set.ResendDelay.Duration, TaskStopTime: set.TaskStopTime.Duration,
	}
	sta.ExecutorState.AvailabilityZone = set.AvailabilityZone
	sta.Members.Name, sta.Members.AvailabilityZone = set.Name, set.AvailabilityZone
	sta.Members.Limits = rgmembership.Limits{SameZone: set.EntriesSameZone, OtherZones: set.EntriesOtherZones}
	for _, adr := range rgwire.PeerAddresses(set.Seeds, set.PeerPort) {
		rgmembership.AddSeed(&sta.Members, rgclock.Now(), adr)
	}
}

func (pro *Process) handleOrderReply(workCtx context.Context, sta *State, now time.Time, evt OrderReplied) {
	phase, before := sta.ExecutorState.Phase, rgexecutor.Description(&sta.ExecutorState)
	var efs []rgexecutor.Effect
	switch ord := evt.Order.(type) {
	case rgmodel.StartOrder:
		efs = rgexecutor.HandleStartReply(&sta.ExecutorState, now, ord, evt.Reply)
		if evt.Reply.ConnectionEnded {
			pro.scope.Counter("startsNotSent").Inc(1)
		}
		if !evt.Reply.Replied || evt.Reply.Refusal != rgmodel.RefusalNone {
			pro.scope.Counter("ordersRefused").Inc(1)
			pro.log.Info("start not carried out", zap.String("job", ord.Task.Job), zap.Int("task", ord.Task.Index),
				zap.Uint64("run", ord.Run), zap.Bool("answered", evt.Reply.Replied), zap.Bool("connectionEnded", evt.Reply.ConnectionEnded),
				zap.Stringer("refusal", evt.Reply.Refusal))
		}
	case rgmodel.StopOrder:
		efs = rgexecutor.HandleStopReply(&sta.ExecutorState, now, ord, evt.Reply)
	case rgmodel.PollOrder:
		efs = rgexecutor.HandlePollReply(&sta.ExecutorState, now, ord, evt.Reply)
		if ord.Conn != 0 && evt.Reply.Replied {
			pro.scope.Counter("startConnsOpened").Inc(1)
		}
	}
	if phase != sta.ExecutorState.Phase {
		pro.log.Info("control of the executor", zap.Uint8("from", uint8(phase)), zap.Uint8("to", uint8(sta.ExecutorState.Phase)),
			zap.Uint64("fence", sta.ExecutorState.FenceToken))
		rgexecutor.MarkLoadChanged(&sta.ExecutorState)
	}
	pro.recordExecutor(sta, before)
	pro.perform(workCtx, sta, efs)
}

func (pro *Process) tick(workCtx context.Context, sta *State, now time.Time) {
	phase := sta.ExecutorState.Phase
	pro.perform(workCtx, sta, rgexecutor.Tick(&sta.ExecutorState, now))
	if phase != sta.ExecutorState.Phase {
		pro.log.Warn("lease lapsed", zap.String("executor", sta.ExecutorState.Executor.Incarnation.ID))
	}
	pro.maintainConnections(workCtx, sta, now)
	pro.updateMetrics(sta)
}

// perform carries out the effects that the core returned.
func (pro *Process) perform(workCtx context.Context, sta *State, efs []rgexecutor.Effect) {
	if slices.ContainsFunc(efs, mayChangeLoad) {
		rgexecutor.MarkLoadChanged(&sta.ExecutorState)
	}
	for _, eff := range efs {
		switch eff := eff.(type) {
		case rgexecutor.SendOrder:
			if ord, ok := eff.Order.(rgmodel.StopOrder); ok {
				pro.logStopOrder(sta, ord)
			}
			pro.traffic.Go(func() {
				if ord, ok := eff.Order.(rgmodel.PollOrder); ok && ord.Delay > 0 {
					rgclock.Sleep(workCtx, ord.Delay)
				}
				pro.mailbox.Send(workCtx, OrderReplied{Order: eff.Order, Reply: pro.executor.Send(workCtx, eff.Order)})
			})
		case rgexecutor.CloseConn:
			pro.executor.CloseConn(eff.Conn)
		case rgexecutor.ReportEnd:
			if con := sta.Conns[eff.Conn]; con != nil {
				con.UnsentEnds = append(con.UnsentEnds, eff.End)
			}
		case rgexecutor.LogRequeue:
			pro.log.Info("task queued again", zap.String("job", eff.Task.Job), zap.Int("step", eff.Task.Step),
				zap.Int("task", eff.Task.Index), zap.Uint64("run", eff.Run), zap.Int("unrefusedStarts", eff.UnrefusedStarts))
		case rgexecutor.LogUnreachable:
			pro.scope.Counter("executorUnreachable").Inc(1)
			pro.log.Warn("executor unreachable", zap.Int("runs", eff.Runs), zap.Int("queued", eff.Queued),
				zap.Duration("leaseLeft", eff.LeaseLeft))
		case rgexecutor.LogLoss:
			pro.scope.Tagged(map[string]string{"cause": eff.Cause}).Counter("executorsLost").Inc(1)
			pro.log.Info("control lost", zap.String("cause", eff.Cause), zap.String("executor", eff.Incarnation.ID),
				zap.Int64("born", eff.Incarnation.StartedMillis), zap.Int("running", eff.Confirmed),
				zap.Int("unconfirmed", eff.Unconfirmed), zap.Int("queued", eff.Queued), zap.Duration("leaseLeft", eff.LeaseLeft))
		}
	}
}

// mayChangeLoad reports whether the load may have changed with the effect. A delayed poll only repeats one that got no reply, many times a
// second.
func mayChangeLoad(eff rgexecutor.Effect) bool {
	snd, ok := eff.(rgexecutor.SendOrder)
	if !ok {
		return true
	}
	ord, ok := snd.Order.(rgmodel.PollOrder)
	return !ok || ord.Delay == 0
}

// logStopOrder logs each stop order, repeated ones too.
func (pro *Process) logStopOrder(sta *State, ord rgmodel.StopOrder) {
	rsn, age := rgmodel.Reason("foreign"), time.Duration(0)
	if run := sta.ExecutorState.Runs[ord.Task]; run != nil {
		rsn, age = run.Reason, run.StopSent.Sub(run.Started)
	}
	pro.log.Info("run is stopped", zap.String("job", ord.Task.Job), zap.Int("step", ord.Task.Step),
		zap.Int("task", ord.Task.Index), zap.Uint64("run", ord.Run), zap.String("reason", string(rsn)), zap.Duration("age", age))
}

func (pro *Process) updateMetrics(sta *State) {
	add := func(name string, now, before uint64) {
		if now > before {
			pro.scope.Counter(name).Inc(int64(now - before))
		}
	}
	cur, old := sta.ExecutorState.Counts, sta.ReportedCounts
	add("tasksStarted", cur.Started, old.Started)
	add("tasksDone", cur.Succeeded, old.Succeeded)
	add("tasksFailed", cur.Failed, old.Failed)
	add("tasksLost", cur.Lost, old.Lost)
	add("tasksReturned", cur.Returned, old.Returned)
	add("tasksRequeued", cur.Requeued, old.Requeued)
	add("leasesLapsed", cur.RunsExpired, old.RunsExpired)
	add("rowsUnreadable", cur.MalformedRuns, old.MalformedRuns)
	add("tasksReturnedEvacuated", cur.Evacuated, old.Evacuated)
	sta.ReportedCounts = cur
	pro.scope.Gauge("runs").Update(float64(len(sta.ExecutorState.Runs)))
	pro.scope.Gauge("queued").Update(float64(len(sta.ExecutorState.Queue)))
	pro.scope.Gauge("runsEvacuated").Update(float64(evacuatedRuns(sta)))
}
