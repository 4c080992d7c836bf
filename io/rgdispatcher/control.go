package rgdispatcher

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

// control runs the control goroutine until workCtx ends.
func (pro *Process) control(workCtx context.Context) {
	sta := &State{
		Peers: map[uint64]*PeerConn{}, Callers: map[rgdispatch.CallerID]Caller{}, StopDial: map[string]context.CancelFunc{},
	}
	pro.applySettings(sta)
	pro.updateConnections(workCtx, sta, rgclock.Now())
	tick := time.NewTicker(rgdispatch.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-workCtx.Done():
			return
		case evt := <-pro.mailbox.Events:
			now := rgclock.Now()
			pro.detectSuspension(sta, now)
			pro.handleOrDrop(sta, now, evt)
			if sta.Members.Changed {
				pro.updateConnections(workCtx, sta, now)
			}
		case <-tick.C:
			now := rgclock.Now()
			pro.detectSuspension(sta, now)
			pro.checkJobs(sta, now)
			pro.tick(workCtx, sta, now)
		}
	}
}

// handleOrDrop handles an event. A panic costs only that event.
func (pro *Process) handleOrDrop(sta *State, now time.Time, evt Event) {
	if !pro.traffic.Try("event", func() { pro.handle(sta, now, evt) }) {
		pro.dropEvent(sta, now, evt)
	}
}

func (pro *Process) handle(sta *State, now time.Time, evt Event) {
	switch evt := evt.(type) {
	case JobSubmitted:
		sta.Callers[evt.ID] = evt.Caller
		evt.Request.CallerLeft = evt.Caller.hasLeft()
		pro.perform(sta, now, rgdispatch.Submit(&sta.Dispatch, now, evt.ID, evt.Request))
	case CallerDisconnected:
		pro.disconnectCaller(sta, now, evt.Caller, evt.Job)
	case CancelRequested:
		efs, known := rgdispatch.Cancel(&sta.Dispatch, now, evt.Job)
		pro.perform(sta, now, efs)
		evt.Reply <- known
	case JobStateRequested:
		mayHaveRun, known := rgdispatch.LookupJob(&sta.Dispatch, evt.Job)
		evt.Reply <- JobState{Known: known, MayHaveRun: mayHaveRun}
	case PendingRequested:
		evt.Reply <- rgdispatch.PendingJobs(&sta.Dispatch, evt.Route)
	case PeerConnected:
		sta.Peers[evt.ID] = &PeerConn{Conn: evt.Conn, LastReceived: now}
		if evt.Address != "" {
			rgmembership.RecordOpened(&sta.Members, now, rgmembership.ConnID(evt.ID), evt.Address)
		}
	case PeerDisconnected:
		pro.disconnect(sta, now, evt.ID)
	case MessageReceived:
		pro.receive(sta, now, evt)
	case ConfigReceived:
		pro.adoptConfig(sta, now, evt)
	case EvacuationReceived:
		pro.adoptEvacuation(sta, now, evt)
	case ZonesRequested:
		evt.Reply <- pro.zoneStates(sta)
	case EntriesListed:
		if evt.Incomplete {
			// The entries that are missing may be registered all the same.
			rgmembership.RecordFound(&sta.Members, now, evt.Entries)
		} else {
			rgmembership.RecordListed(&sta.Members, now, evt.Entries)
		}
	case DrainBegun:
		rgdispatch.BeginDrain(&sta.Dispatch, evt.EndsBy)
	case DrainEnded:
		left := len(sta.Dispatch.Jobs)
		pro.perform(sta, now, rgdispatch.EndDrain(&sta.Dispatch, now))
		evt.Reply <- left
	case SettingsReloaded:
		pro.log.Info("settings read again")
		pro.settings = evt.Settings
		pro.applySettings(sta)
	}
}

// dropEvent limits the effect of an event whose handling has panicked to its peer or its caller. A job whose state may be
// incomplete is given up as possibly run.
func (pro *Process) dropEvent(sta *State, now time.Time, evt Event) {
	switch evt := evt.(type) {
	case MessageReceived:
		if per := sta.Peers[evt.ID]; per != nil {
			per.Conn.Close()
		}
	case JobSubmitted:
		if _, waits := sta.Callers[evt.ID]; waits {
			delete(sta.Callers, evt.ID)
			evt.Caller.Reply <- rgdispatch.SendAnswer{
				Caller: evt.ID, Job: evt.Request.ID, Verdict: rgmodel.MayHaveRun, Reason: rgmodel.ReasonInternalError,
			}
		}
		pro.traffic.Try("cleanup", func() {
			pro.perform(sta, now, rgdispatch.HandleCallerDisconnect(&sta.Dispatch, evt.ID, evt.Request.ID))
		})
	case CancelRequested:
		evt.Reply <- false
	case JobStateRequested:
		evt.Reply <- JobState{}
	case PendingRequested:
		evt.Reply <- 0
	case DrainEnded:
		evt.Reply <- 0
	case ZonesRequested:
		evt.Reply <- ZoneStates{}
	}
}

// perform carries out the effects that the core returned.
func (pro *Process) perform(sta *State, now time.Time, efs []rgdispatch.Effect) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case rgdispatch.SendPlacement:
			if per := sta.Peers[uint64(eff.Conn)]; per != nil {
				per.LastSent = now
				per.Conn.Send(rgwire.Place{Placement: eff.Placement})
			}
		case rgdispatch.CancelTasks:
			if per := sta.Peers[uint64(eff.Conn)]; per != nil {
				per.LastSent = now
				per.Conn.Send(rgwire.CancelTasks{Issued: pro.sidecarTime(sta, eff.Conn, now), Tickets: eff.Tickets})
			}
		case rgdispatch.CloseConn:
			if per := sta.Peers[uint64(eff.Conn)]; per != nil {
				per.Conn.Close()
			}
		case rgdispatch.SendAnswer:
			pro.answer(sta, eff)
		case rgdispatch.LogPlacedAgain:
			pro.scope.Tagged(map[string]string{"proof": string(eff.Proof)}).Counter("tasksPlacedAgain").Inc(1)
			pro.log.Info("task placed again", zap.String("job", eff.Task.Job), zap.Int("step", eff.Task.Step),
				zap.Int("task", eff.Task.Index), zap.String("sidecar", eff.Sidecar), zap.String("lostBy", eff.LostBy),
				zap.String("proof", string(eff.Proof)))
		case rgdispatch.CountPlaceWait:
			tagged := pro.scope.Tagged(map[string]string{"paidOff": strconv.FormatBool(eff.PaidOff)})
			tagged.Counter("placeWaits").Inc(1)
			tagged.Timer("placeWaitTime").Record(eff.Waited)
		}
	}
}

func (pro *Process) sidecarTime(sta *State, con rgdispatch.SidecarConnID, now time.Time) rgmodel.SidecarTime {
	if sc := sta.Dispatch.Sidecars[con]; sc != nil {
		return rgdispatch.EstimateSidecarTime(sc, now)
	}
	return 0
}

func (pro *Process) answer(sta *State, ans rgdispatch.SendAnswer) {
	pro.recordAnswer(ans)
	if cal, waits := sta.Callers[ans.Caller]; waits {
		delete(sta.Callers, ans.Caller)
		cal.Reply <- ans
	}
}

// recordAnswer counts and logs an answer.
func (pro *Process) recordAnswer(ans rgdispatch.SendAnswer) {
	if ans.Reason == rgmodel.ReasonCallerLeft {
		pro.recordLeftCaller(ans.Job, ans.Detail.Silence)
		return
	}
	pro.scope.Tagged(map[string]string{"verdict": ans.Verdict.String()}).Counter("answers").Inc(1)
	pro.scope.Timer("answerTime").Record(ans.Took)
	switch {
	case ans.Verdict != rgmodel.RanOK:
		pro.logAnswer("job not done", ans)
	case ans.Detail.Overdue > 0:
		pro.scope.Counter("answersLate").Inc(1)
		pro.logAnswer("job late by its estimate", ans)
	}
}

// recordLeftCaller counts and logs a job that is not placed because its caller has left. Nobody reads the answer.
func (pro *Process) recordLeftCaller(job string, silence time.Duration) {
	pro.scope.Counter("jobsOfLeftCallers").Inc(1)
	pro.log.Info("job of a caller that has left", zap.String("job", job), zap.Duration("silence", silence))
}

// logAnswer logs the state on which an answer is based. Jobs that succeed on time are only counted.
func (pro *Process) logAnswer(msg string, ans rgdispatch.SendAnswer) {
	det := ans.Detail
	pro.log.Info(msg, zap.String("job", ans.Job), zap.Stringer("verdict", ans.Verdict),
		zap.String("reason", string(ans.Reason)), zap.Duration("took", ans.Took), zap.String("route", det.Route),
		zap.Uint64("version", versionOf(pro.Config())), zap.Int("tasks", det.Tasks), zap.Int("done", det.Done),
		zap.Int("placed", det.Placed), zap.Int("held", det.Unknown), zap.Int("failures", det.Failures),
		zap.Int("unrefusedStarts", det.UnrefusedStarts),
		zap.Duration("left", det.TimeLeft), zap.Duration("over", det.Overdue),
		zap.Duration("estimate", det.Estimate), zap.Strings("sidecars", det.Sidecars),
		zap.String("best", det.LateEstimate.Sidecar), zap.Duration("bestWait", det.LateEstimate.Wait),
		zap.Duration("bestRun", det.LateEstimate.Run),
		zap.Duration("reportAge", det.LateEstimate.ReportAge))
}

// logEnds logs the tasks that have not succeeded, each with its sidecar.
func (pro *Process) logEnds(sta *State, id uint64, ends []rgmodel.TaskEnd) {
	sc := sta.Dispatch.Sidecars[rgdispatch.SidecarConnID(id)]
	if sc == nil {
		return
	}
	for _, end := range ends {
		ref, found := sc.Placed[end.Ticket]
		if !found || end.Status == rgmodel.EndSucceeded {
			continue
		}
		pro.log.Info("task not done", zap.String("job", ref.Job), zap.Int("step", ref.Step), zap.Int("task", ref.Index),
			zap.String("sidecar", sc.Name), zap.Stringer("how", end.Status), zap.String("reason", string(end.Reason)),
			zap.Duration("took", end.Took), zap.Int("unrefusedStarts", end.UnrefusedStarts))
	}
}

func (pro *Process) adoptConfig(sta *State, now time.Time, evt ConfigReceived) {
	cfg, newer := rgroute.Adopt(pro.config.Load(), evt.Config)
	if !newer {
		return
	}
	pro.config.Store(cfg)
	rgroute.ResetLag(&sta.VersionLag)
	pro.log.Info("configuration in force", zap.Uint64("version", cfg.Version), zap.Int("routes", len(cfg.Routes)),
		zap.String("source", evt.Origin))
	for _, per := range sta.Peers {
		if per.Entry != "" {
			pro.sendGossip(sta, per, now)
		}
	}
}

func versionOf(cfg *rgroute.Config) uint64 {
	if cfg == nil {
		return 0
	}
	return cfg.Version
}
