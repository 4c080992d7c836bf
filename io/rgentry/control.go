package rgentry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
	"ragwortgap/io/rgwire"
)

const (
	tickInterval = 200 * time.Millisecond
	// HandoverTime is how long a stopping entry goes on accepting callers. Until then the balancer has seen its status,
	// and the ring without it has reached it; without a store there is none.
	HandoverTime = 2 * time.Second
	// handoverMargin is the time for the requests that arrive at the end of HandoverTime to be counted as callers.
	handoverMargin = 500 * time.Millisecond
	// expireInterval is how often submissions are checked against their window.
	expireInterval = 5 * time.Second
)

type (
	// state is owned by the control goroutine.
	state struct {
		ring        rgring.State
		fleet       rgfleet.State
		submissions rgsubmission.State
		admission   rgadmission.State
		teams       map[string]rgmodel.TeamConfig
		policy      rgplacement.Policy
		random      *rand.Rand
		peers       map[rgmodel.SidecarKey]*rgwire.Peer
		// outstanding counts the parts for which a sidecar owes an answer.
		outstanding map[rgmodel.SidecarKey]int
		leaving     map[rgmodel.SidecarKey]chan<- struct{}
		callers     map[rgmodel.SubmissionID][]chan rgmodel.Answer
		awaiting    map[rgmodel.SidecarKey][]chan<- peerState
		parked      []submitted
		runs        map[uint64]*run
		runCount    uint64
		// cancels holds the cancellations that wait to be sent together.
		cancels map[rgmodel.SidecarKey][]rgmodel.SubmissionID
		flush   <-chan time.Time
		// leaseUntil is when another entry may become the home of this one's ids without its knowledge.
		leaseUntil time.Time
		draining   bool
		// drainedSince is when the drain began.
		drainedSince time.Time
		quiet        bool
		drained      chan struct{}
		expired      time.Time
	}
)

// control is the control goroutine. It ends when the jobs in flight have ended after ctx, or at the drain bound.
func (pro *Process) control(ctx, work context.Context) {
	sta := &state{
		ring:        rgring.State{Self: pro.self},
		teams:       map[string]rgmodel.TeamConfig{},
		policy:      rgplacement.LeastFinish{},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers:       map[rgmodel.SidecarKey]*rgwire.Peer{},
		outstanding: map[rgmodel.SidecarKey]int{},
		leaving:     map[rgmodel.SidecarKey]chan<- struct{}{},
		callers:     map[rgmodel.SubmissionID][]chan rgmodel.Answer{},
		awaiting:    map[rgmodel.SidecarKey][]chan<- peerState{},
		runs:        map[uint64]*run{},
		drained:     make(chan struct{}),
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
		rgfleet.Report(&sta.fleet, evt.report, now)
	case sealAnswered:
		pro.sealed(work, sta, evt)
	case leaveAsked:
		pro.leave(sta, evt)
	case submitted:
		pro.submit(work, sta, evt, now)
	case replanned:
		evt.reply <- pro.replan(sta, evt, now)
	case partEnded:
		pro.endPart(sta, evt.part.sidecar)
	case jobEnded:
		pro.endJob(sta, evt)
	case peerAwaited:
		pro.awaitPeer(sta, evt)
	case ringRead:
		pro.adoptRing(work, sta, evt.ring)
	case teamsRead:
		pro.adoptTeams(work, sta, evt.teams)
	case membersLearned:
		pro.learn(work, sta, evt, now)
	case membersAsked:
		evt.reply <- members(sta)
	case stateAsked:
		evt.reply <- jobState(sta, evt.id)
	case cancelAsked:
		evt.reply <- rgwire.CancelJobReply{Found: cancelJob(sta, evt.id)}
	case jobFailed:
		cancelRun(sta, sta.runs[evt.run])
	case entryConfirmed:
		pro.confirm(work, sta, evt, now)
	case leaseHeld:
		sta.leaseUntil = evt.until
	case leaseEnded:
		sta.leaseUntil = time.Time{}
		evt.reply <- struct{}{}
	case drainAsked:
		sta.draining, sta.drainedSince = true, now
		pro.publish(sta)
		pro.log.Info("draining", zap.Int("jobs", len(sta.runs)))
	}
}

func (pro *Process) tick(work context.Context, sta *state, now time.Time) {
	lost := rgfleet.Sweep(&sta.fleet, rgmodel.DefaultResubmissionWindow, now)
	for _, key := range lost {
		pro.loseSidecar(work, sta, key, now)
	}
	pro.expireParked(sta, now)
	if now.Sub(sta.expired) >= expireInterval {
		sta.expired = now
		rgsubmission.Expire(&sta.submissions, now)
		rgring.Forget(&sta.ring, now.Add(-rgmodel.DefaultResubmissionWindow-rgmodel.ClockSkewLimit))
	}
	pro.scope.Gauge("sidecars").Update(float64(len(sta.fleet.Members)))
	pro.scope.Gauge("jobsRunning").Update(float64(len(sta.runs)))
	if sta.draining && now.Sub(sta.drainedSince) >= HandoverTime+handoverMargin {
		pro.checkDrained(sta)
	}
}

// checkDrained ends the process at the second tick without work, so that replies of the last tick are written.
func (pro *Process) checkDrained(sta *state) {
	if len(sta.runs) > 0 || len(sta.parked) > 0 || pro.callers.Load() > 0 {
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
	teams := make(map[string]rgmodel.TeamConfig, len(sta.teams))
	for name, tc := range sta.teams {
		teams[name] = tc
	}
	pro.view.Store(&View{
		Ring:     sta.ring.Ring,
		Teams:    teams,
		Sidecars: rgfleet.Sidecars(&sta.fleet),
		Ready:    len(rgfleet.Usable(&sta.fleet, time.Now())),
		Draining: sta.draining,
	})
}

func members(sta *state) rgwire.MembersReply {
	return rgwire.MembersReply{
		Ring:     sta.ring.Ring,
		Teams:    teamList(sta.teams),
		Sidecars: rgfleet.Sidecars(&sta.fleet),
		Departed: sta.fleet.Departed,
	}
}

func teamList(teams map[string]rgmodel.TeamConfig) []rgmodel.TeamConfig {
	lis := make([]rgmodel.TeamConfig, 0, len(teams))
	for _, tc := range teams {
		lis = append(lis, tc)
	}
	return lis
}
