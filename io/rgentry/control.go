package rgentry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgburn"
	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgwire"
)

const (
	tickInterval = 200 * time.Millisecond
	// handoverMargin allows for requests that arrive at the end of the handover time and are not yet counted as callers.
	handoverMargin = 500 * time.Millisecond
	// expireInterval is how often expired submissions and records are removed.
	expireInterval = 5 * time.Second
)

type (
	// State is the control state. Only the control goroutine accesses it.
	State struct {
		Home    rghome.State
		Config  rgmodel.ConfigVersion
		History rgconfig.History
		// PushTargets caches whether this entry pushes changes to a sidecar immediately.
		PushTargets map[rgmodel.SidecarKey]bool
		// LastRepair is when a sidecar was last sent the configurations that its report lacked, or announced itself.
		LastRepair   map[rgmodel.SidecarKey]time.Time
		Random       *rand.Rand
		SidecarConns map[rgmodel.SidecarKey]*rgwire.Peer
		// OutstandingParts counts, for each sidecar, the parts of jobs whose outcomes the entry still waits for.
		OutstandingParts map[rgmodel.SidecarKey]int
		// LeaveReplies holds the replies to draining sidecars that have outstanding parts.
		LeaveReplies map[rgmodel.SidecarKey]chan<- struct{}
		// SyncingSidecars is set while a goroutine requests the snapshots of other entries, since SyncingSince.
		SyncingSidecars bool
		SyncingSince    time.Time
		Callers         map[rgmodel.SubmissionID][]chan rgmodel.Answer
		SidecarWaiters  map[rgmodel.SidecarKey][]chan<- SidecarConnState
		Parked          []Submitted
		Runs            map[uint64]*JobRun
		// LastRunID is the id of the run that started last.
		LastRunID uint64
		// PendingCancels holds the cancellations that are sent when CancelTimer fires.
		PendingCancels map[rgmodel.SidecarKey][]rgmodel.SubmissionID
		CancelTimer    <-chan time.Time
		// Idle is set if the last tick of a drain found no work.
		Idle       bool
		Drained    bool
		LastExpiry time.Time
		// LastUsageSent is when the usage of quotas was last sent to the other entries.
		LastUsageSent time.Time
		Burn          rgburn.State
		// BurnReport was computed at LastBurnReport.
		BurnReport     []rgburn.FlowReport
		LastBurnReport time.Time
	}
)

// control runs the control goroutine. After ctx ends, it returns once all jobs in flight have ended or the drain timeout
// has passed.
func (pro *Process) control(ctx, workCtx context.Context) {
	sta := &State{
		Home:             rghome.State{Ring: rgring.State{Self: pro.self}, Teams: map[string]rgmodel.TeamConfig{}},
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		SidecarConns:     map[rgmodel.SidecarKey]*rgwire.Peer{},
		OutstandingParts: map[rgmodel.SidecarKey]int{},
		LeaveReplies:     map[rgmodel.SidecarKey]chan<- struct{}{},
		Callers:          map[rgmodel.SubmissionID][]chan rgmodel.Answer{},
		SidecarWaiters:   map[rgmodel.SidecarKey][]chan<- SidecarConnState{},
		Runs:             map[uint64]*JobRun{},
		PushTargets:      map[rgmodel.SidecarKey]bool{},
		LastRepair:       map[rgmodel.SidecarKey]time.Time{},
		PendingCancels:   map[rgmodel.SidecarKey][]rgmodel.SubmissionID{},
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
			if sta.Drained {
				return
			}
		case <-sta.CancelTimer:
			pro.flushCancels(workCtx, sta)
		case <-stopping:
			stopping = nil
			timeout = time.After(pro.settings.DrainTimeout.Duration)
			pro.handle(workCtx, sta, DrainRequested{})
		case <-timeout:
			pro.log.Warn("drain bound passed", zap.Int("jobs", len(sta.Runs)))
			return
		}
	}
}

func (pro *Process) handle(workCtx context.Context, sta *State, evt Event) {
	now := time.Now()
	switch evt := evt.(type) {
	case SidecarAnnounced:
		pro.announce(workCtx, sta, evt, now)
	case SidecarDisconnected:
		pro.disconnect(sta, evt, now)
	case ReportReceived:
		pro.recordReport(sta, evt.Report, now)
		evt.Reply <- newerRing(sta, evt.Report.Generation)
		pro.repairConfig(workCtx, sta, evt.Report, now)
	case SealReplied:
		pro.recordSeal(workCtx, sta, evt)
	case LeaveRequested:
		pro.leave(sta, evt)
	case Submitted:
		pro.submit(workCtx, sta, evt, now)
	case ReplanRequested:
		evt.Reply <- pro.replan(sta, evt, now)
	case PartEnded:
		pro.endPart(sta, evt.Part.Sidecar)
	case JobEnded:
		pro.endJob(sta, evt)
	case SidecarConnRequested:
		pro.awaitSidecarConn(sta, evt)
	case RingReceived:
		pro.adoptRing(workCtx, sta, evt.Ring, now)
	case TeamConfigsReceived:
		pro.adoptTeamConfigs(workCtx, sta, evt.Teams, now)
	case ConfigureReceived:
		pro.adoptTeamConfigs(workCtx, sta, evt.Teams, now)
		pro.adoptRing(workCtx, sta, evt.Ring, now)
		evt.Reply <- rgwire.ConfigureReply{Generation: sta.Home.Ring.Ring.Generation}
	case RingLeaseRenewed:
		pro.adoptRing(workCtx, sta, evt.Ring, now)
		rgring.RenewRingLease(&sta.Home.Ring, evt.Ring.Generation, evt.Sent)
	case RingConfirmed:
		pro.confirmRing(workCtx, sta, evt)
	case SnapshotsReceived:
		pro.mergeSnapshots(workCtx, sta, evt, now)
	case UsageReceived:
		rgadmission.MergeUsage(&sta.Home.Admission, evt.Usage.Incarnation, evt.Usage.Teams, now)
	case SidecarConfigsRequested:
		evt.Reply <- rgfleet.ConfigVersions(&sta.Home.Fleet)
	case SnapshotRequested:
		pro.adoptRing(workCtx, sta, evt.Ring, now)
		evt.Reply <- rgwire.SnapshotReply{Snapshot: rghome.TakeSnapshot(&sta.Home)}
	case JobStateRequested:
		evt.Reply <- jobState(sta, evt.ID, now)
	case CancelRequested:
		evt.Reply <- rgwire.CancelJobReply{Found: cancelJob(sta, evt.ID)}
	case JobCannotSucceed:
		cancelRun(sta, sta.Runs[evt.RunID])
	case DrainRequested:
		sta.Home.Draining, sta.Home.DrainBegan = true, now
		pro.publish(sta)
		pro.log.Info("draining", zap.Int("jobs", len(sta.Runs)))
	}
}

// tick does the periodic work. It reads the time itself, because the ticker's value is in the past after the process stood still.
func (pro *Process) tick(workCtx context.Context, sta *State) {
	now := time.Now()
	for _, key := range rghome.RemoveLostSidecars(&sta.Home, now) {
		pro.removeSidecar(workCtx, sta, key)
	}
	pro.unpark(workCtx, sta)
	pro.expireParked(sta, now)
	pro.sendUsage(workCtx, sta, now)
	if now.Sub(sta.LastExpiry) >= expireInterval {
		sta.LastExpiry = now
		rghome.ExpireRecords(&sta.Home, now)
	}
	pro.updateMetrics(sta, now)
	if sta.Home.Draining {
		pro.checkDrained(sta)
	}
}

// checkDrained ends the drain at the second idle tick in a row, so that the replies of the last tick are written.
func (pro *Process) checkDrained(sta *State) {
	handingOver := time.Since(sta.Home.DrainBegan) < rghome.HandoverTime+handoverMargin
	if handingOver || len(sta.Runs) > 0 || len(sta.Parked) > 0 || pro.waitingCallers.Load() > 0 {
		sta.Idle = false
		return
	}
	sta.Drained, sta.Idle = sta.Idle, true
}

// publish publishes a new view for the traffic goroutines.
func (pro *Process) publish(sta *State) {
	teams := make(map[string]rgmodel.TeamConfig, len(sta.Home.Teams))
	for name, tc := range sta.Home.Teams {
		teams[name] = tc
	}
	pro.view.Store(&View{
		Ring:           sta.Home.Ring.Ring,
		Teams:          teams,
		Config:         sta.Config,
		Sidecars:       rgfleet.Sidecars(&sta.Home.Fleet),
		UsableSidecars: len(rgfleet.Usable(&sta.Home.Fleet, time.Now())),
		Draining:       sta.Home.Draining,
		Burn:           sta.BurnReport,
	})
}
