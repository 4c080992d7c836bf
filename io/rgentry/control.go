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
		// LastRepair is when a sidecar was last sent the configurations that its report lacked.
		LastRepair map[rgmodel.SidecarKey]time.Time
		Random     *rand.Rand
		Peers      map[rgmodel.SidecarKey]*rgwire.Peer
		// OutstandingParts is the number of parts that a sidecar has not answered.
		OutstandingParts map[rgmodel.SidecarKey]int
		// LeaveReplies holds the replies to draining sidecars that have outstanding parts.
		LeaveReplies map[rgmodel.SidecarKey]chan<- struct{}
		// SyncingSidecars is set while a goroutine requests the snapshots of other entries, since SyncingSince.
		SyncingSidecars bool
		SyncingSince    time.Time
		Callers         map[rgmodel.SubmissionID][]chan rgmodel.Answer
		PeerWaiters     map[rgmodel.SidecarKey][]chan<- PeerState
		Parked          []Submitted
		Runs            map[uint64]*JobRun
		RunCount        uint64
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

// control runs the control goroutine. After ctx ends, it returns once all jobs in flight have ended, or at the drain
// bound.
func (pro *Process) control(ctx, work context.Context) {
	sta := &State{
		Home:             rghome.State{Ring: rgring.State{Self: pro.self}, Teams: map[string]rgmodel.TeamConfig{}},
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Peers:            map[rgmodel.SidecarKey]*rgwire.Peer{},
		OutstandingParts: map[rgmodel.SidecarKey]int{},
		LeaveReplies:     map[rgmodel.SidecarKey]chan<- struct{}{},
		Callers:          map[rgmodel.SubmissionID][]chan rgmodel.Answer{},
		PeerWaiters:      map[rgmodel.SidecarKey][]chan<- PeerState{},
		Runs:             map[uint64]*JobRun{},
		PushTargets:      map[rgmodel.SidecarKey]bool{},
		LastRepair:       map[rgmodel.SidecarKey]time.Time{},
		PendingCancels:   map[rgmodel.SidecarKey][]rgmodel.SubmissionID{},
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
			if sta.Drained {
				return
			}
		case <-sta.CancelTimer:
			pro.flushCancels(work, sta)
		case <-stopping:
			stopping = nil
			bound = time.After(pro.settings.DrainTimeout.Duration)
			pro.handle(work, sta, DrainRequested{})
		case <-bound:
			pro.log.Warn("drain bound passed", zap.Int("jobs", len(sta.Runs)))
			return
		}
	}
}

func (pro *Process) handle(work context.Context, sta *State, evt Event) {
	now := time.Now()
	switch evt := evt.(type) {
	case Announced:
		pro.announce(work, sta, evt, now)
	case Disconnected:
		pro.disconnect(sta, evt, now)
	case Reported:
		pro.recordReport(sta, evt.Report, now)
		evt.Reply <- newerRing(sta, evt.Report.Generation)
		pro.repairConfig(work, sta, evt.Report, now)
	case SealAnswered:
		pro.recordSeal(work, sta, evt)
	case LeaveRequested:
		pro.leave(sta, evt)
	case Submitted:
		pro.submit(work, sta, evt, now)
	case ReplanRequested:
		evt.Reply <- pro.replan(sta, evt, now)
	case PartEnded:
		pro.endPart(sta, evt.Part.Sidecar)
	case JobEnded:
		pro.endJob(sta, evt)
	case PeerRequested:
		pro.awaitPeer(sta, evt)
	case RingRead:
		pro.adoptRing(work, sta, evt.Ring, now)
	case TeamsRead:
		pro.adoptTeams(work, sta, evt.Teams, now)
	case Configured:
		pro.adoptTeams(work, sta, evt.Teams, now)
		pro.adoptRing(work, sta, evt.Ring, now)
		evt.Reply <- rgwire.ConfigureReply{Generation: sta.Home.Ring.Ring.Generation}
	case RingLeaseRenewed:
		pro.adoptRing(work, sta, evt.Ring, now)
		rgring.RenewLease(&sta.Home.Ring, evt.Ring.Generation, evt.Sent)
	case RingConfirmed:
		pro.confirmRing(work, sta, evt)
	case SnapshotsReceived:
		pro.mergeSnapshots(work, sta, evt, now)
	case UsageReceived:
		rgadmission.MergeUsage(&sta.Home.Admission, evt.Usage.Incarnation, evt.Usage.Teams, now)
	case ConfigsRequested:
		evt.Reply <- rgfleet.ConfigVersions(&sta.Home.Fleet)
	case MembersRequested:
		pro.adoptRing(work, sta, evt.Ring, now)
		evt.Reply <- rgwire.SnapshotReply{Snapshot: rghome.TakeSnapshot(&sta.Home)}
	case StateRequested:
		evt.Reply <- jobState(sta, evt.ID)
	case CancelRequested:
		evt.Reply <- rgwire.CancelJobReply{Found: cancelJob(sta, evt.ID)}
	case JobIncomplete:
		cancelRun(sta, sta.Runs[evt.Run])
	case DrainRequested:
		sta.Home.Draining, sta.Home.DrainBegan = true, now
		pro.publish(sta)
		pro.log.Info("draining", zap.Int("jobs", len(sta.Runs)))
	}
}

func (pro *Process) tick(work context.Context, sta *State, now time.Time) {
	for _, key := range rghome.RemoveLostSidecars(&sta.Home, now) {
		pro.removeSidecar(work, sta, key)
	}
	pro.unpark(work, sta)
	pro.expireParked(sta, now)
	pro.sendUsage(work, sta, now)
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
