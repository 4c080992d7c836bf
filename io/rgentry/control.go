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
	// handoverMargin is for the requests that arrive at the end of the handover to be counted as callers.
	handoverMargin = 500 * time.Millisecond
	// expireInterval is how often submissions are checked against their window.
	expireInterval = 5 * time.Second
)

type (
	// state is owned by the control goroutine.
	state struct {
		home    rghome.State
		config  rgmodel.ConfigVersion
		history rgconfig.History
		// near caches which sidecars this entry pushes changes to at once.
		near map[rgmodel.SidecarKey]bool
		// repaired is when a sidecar that lagged behind was last sent what it lacks.
		repaired map[rgmodel.SidecarKey]time.Time
		random   *rand.Rand
		peers    map[rgmodel.SidecarKey]*rgwire.Peer
		// outstanding counts the parts for which a sidecar owes an answer.
		outstanding map[rgmodel.SidecarKey]int
		leaving     map[rgmodel.SidecarKey]chan<- struct{}
		// learning is set while a goroutine asks other entries for their sidecars, since learnBegan.
		learning   bool
		learnBegan time.Time
		callers    map[rgmodel.SubmissionID][]chan rgmodel.Answer
		awaiting   map[rgmodel.SidecarKey][]chan<- peerState
		parked     []submitted
		runs       map[uint64]*run
		runCount   uint64
		// cancels holds the cancellations that wait to be sent together.
		cancels map[rgmodel.SidecarKey][]rgmodel.SubmissionID
		flush   <-chan time.Time
		quiet   bool
		drained chan struct{}
		expired time.Time
		// told is when the other entries were last told the usage of quotas.
		told time.Time
		burn rgburn.State
		// burnReport was made at the time burned.
		burnReport []rgburn.FlowReport
		burned     time.Time
	}
)

// control is the control goroutine. It ends when the jobs in flight have ended after ctx, or at the drain bound.
func (pro *Process) control(ctx, work context.Context) {
	sta := &state{
		home:        rghome.State{Ring: rgring.State{Self: pro.self}, Teams: map[string]rgmodel.TeamConfig{}},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers:       map[rgmodel.SidecarKey]*rgwire.Peer{},
		outstanding: map[rgmodel.SidecarKey]int{},
		leaving:     map[rgmodel.SidecarKey]chan<- struct{}{},
		callers:     map[rgmodel.SubmissionID][]chan rgmodel.Answer{},
		awaiting:    map[rgmodel.SidecarKey][]chan<- peerState{},
		runs:        map[uint64]*run{},
		drained:     make(chan struct{}),
		near:        map[rgmodel.SidecarKey]bool{},
		repaired:    map[rgmodel.SidecarKey]time.Time{},
		cancels:     map[rgmodel.SidecarKey][]rgmodel.SubmissionID{},
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
		case <-sta.flush:
			pro.flushCancels(work, sta)
		case <-stopping:
			stopping = nil
			bound = time.After(pro.settings.DrainBound.Duration)
			pro.handle(work, sta, drainAsked{})
		case <-bound:
			pro.log.Warn("drain bound passed", zap.Int("jobs", len(sta.runs)))
			return
		case <-sta.drained:
			return
		}
	}
}

func (pro *Process) handle(work context.Context, sta *state, evt event) {
	now := time.Now()
	switch evt := evt.(type) {
	case announced:
		pro.announce(work, sta, evt, now)
	case disconnected:
		pro.disconnect(sta, evt, now)
	case reported:
		pro.takeReport(sta, evt.report, now)
		evt.reply <- newerRing(sta, evt.report.Generation)
		pro.repair(work, sta, evt.report, now)
	case sealAnswered:
		pro.sealed(work, sta, evt)
	case leaveAsked:
		pro.leave(sta, evt)
	case submitted:
		pro.submit(work, sta, evt, now)
	case replanned:
		evt.reply <- pro.replan(sta, evt, now)
	case partEnded:
		pro.endPart(sta, evt.part.Sidecar)
	case jobEnded:
		pro.endJob(sta, evt)
	case peerAwaited:
		pro.awaitPeer(sta, evt)
	case ringRead:
		pro.adoptRing(work, sta, evt.ring, now)
	case teamsRead:
		pro.adoptTeams(work, sta, evt.teams, now)
	case ringOffered:
		pro.adoptTeams(work, sta, evt.teams, now)
		pro.adoptRing(work, sta, evt.ring, now)
		evt.reply <- rgwire.ConfigureReply{Generation: sta.home.Ring.Ring.Generation}
	case ringChecked:
		pro.adoptRing(work, sta, evt.ring, now)
		rgring.Checked(&sta.home.Ring, evt.ring.Generation, evt.sent)
	case confirmed:
		pro.confirm(work, sta, evt)
	case learned:
		pro.learn(work, sta, evt, now)
	case usageHeard:
		rgadmission.LearnUsage(&sta.home.Admission, evt.usage.Incarnation, evt.usage.Teams, now)
	case configsAsked:
		evt.reply <- rgfleet.Configs(&sta.home.Fleet)
	case membersAsked:
		pro.adoptRing(work, sta, evt.ring, now)
		evt.reply <- rgwire.MembersReply{Knowledge: rghome.Tell(&sta.home)}
	case stateAsked:
		evt.reply <- jobState(sta, evt.id)
	case cancelAsked:
		evt.reply <- rgwire.CancelJobReply{Found: cancelJob(sta, evt.id)}
	case jobFailed:
		cancelRun(sta, sta.runs[evt.run])
	case drainAsked:
		sta.home.Draining, sta.home.DrainBegan = true, now
		pro.publish(sta)
		pro.log.Info("draining", zap.Int("jobs", len(sta.runs)))
	}
}

func (pro *Process) tick(work context.Context, sta *state, now time.Time) {
	for _, key := range rghome.Sweep(&sta.home, now) {
		pro.loseSidecar(work, sta, key)
	}
	pro.unpark(work, sta)
	pro.expireParked(sta, now)
	pro.tellUsage(work, sta, now)
	if now.Sub(sta.expired) >= expireInterval {
		sta.expired = now
		rghome.Expire(&sta.home, now)
	}
	pro.observe(sta, now)
	if sta.home.Draining {
		pro.checkDrained(sta)
	}
}

// checkDrained ends the process at the second tick without work, so that replies of the last tick are written.
func (pro *Process) checkDrained(sta *state) {
	handover := time.Since(sta.home.DrainBegan) < rghome.HandoverTime+handoverMargin
	if handover || len(sta.runs) > 0 || len(sta.parked) > 0 || pro.callers.Load() > 0 {
		sta.quiet = false
		return
	}
	if sta.quiet {
		close(sta.drained)
	}
	sta.quiet = true
}

// publish makes a new view for the traffic goroutines.
func (pro *Process) publish(sta *state) {
	teams := make(map[string]rgmodel.TeamConfig, len(sta.home.Teams))
	for name, tc := range sta.home.Teams {
		teams[name] = tc
	}
	pro.view.Store(&View{
		Ring:     sta.home.Ring.Ring,
		Teams:    teams,
		Config:   sta.config,
		Sidecars: rgfleet.Sidecars(&sta.home.Fleet),
		Ready:    len(rgfleet.Usable(&sta.home.Fleet, time.Now())),
		Draining: sta.home.Draining,
		Burn:     sta.burnReport,
	})
}

// newerRing makes sure that a sidecar in contact with this entry learns of a ring that this entry has adopted.
func newerRing(sta *state, known uint64) rgwire.ReportReply {
	if known >= sta.home.Ring.Ring.Generation {
		return rgwire.ReportReply{}
	}
	return rgwire.ReportReply{Ring: sta.home.Ring.Ring}
}

func teamList(teams map[string]rgmodel.TeamConfig) []rgmodel.TeamConfig {
	lis := make([]rgmodel.TeamConfig, 0, len(teams))
	for _, tc := range teams {
		lis = append(lis, tc)
	}
	return lis
}
