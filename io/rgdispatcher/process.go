// Package rgdispatcher is the entry process for upstreams that are controlled by orders: the start, stop and poll requests that
// a sidecar sends to its executor. One control goroutine owns the jobs in progress and the state of the sidecars. Traffic
// goroutines serve callers, peers and the store.
package rgdispatcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgserver"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgstore"
	"ragwortgap/io/rgsupervisor"
	"ragwortgap/io/rgwire"
)

type (
	// Store is the key-value service of the platform.
	Store interface {
		Get(ctx context.Context, key string) (rgstore.Item, error)
		List(ctx context.Context, prefix string) (rgstore.Listing, error)
		Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (rgstore.Listing, error)
		Grant(ctx context.Context, ttl time.Duration) (rgstore.Lease, error)
		Renew(ctx context.Context, id string) error
		Revoke(ctx context.Context, id string) error
		Put(ctx context.Context, key string, wri rgstore.Write) rgstore.WriteResult
	}

	// Source locates and decodes the operator's configuration and evacuations. Its Store also holds the registrations of the entries.
	Source struct {
		Store     Store
		ConfigKey string
		Decode    func(raw []byte) (*rgroute.Config, error)
		// WatchPrefix is the prefix of ConfigKey and EvacuationPrefix, which are watched with one call. Empty means ConfigKey.
		WatchPrefix string
		// EvacuationPrefix is the prefix of the keys of evacuated zones. If it is empty, there are none.
		EvacuationPrefix string
		// DecodeZone returns the zone that an item with EvacuationPrefix names. It fails with errors.NotValid if the item is malformed.
		DecodeZone func(itm rgstore.Item) (string, error)
	}

	// PeerConn is a connection to a sidecar or to another entry.
	PeerConn struct {
		Conn *rgwire.NotificationConn
		// Sidecar and Entry are the name of the peer, depending on its kind. Both are empty until it introduces itself.
		Sidecar string
		Entry   string
		// LastSent is when the last message was sent, and LastReceived when the last one arrived.
		LastSent     time.Time
		LastReceived time.Time
		// ReportInterval is the interval that was last sent to a sidecar.
		ReportInterval time.Duration
		// EntriesSent is set once the list of entries was sent to the peer, and EntriesVersion is the version that the peer has.
		EntriesSent    bool
		EntriesVersion rgmembership.Version
		// EvacuationVersion is the version of the newest set of evacuated zones that the peer has from this connection.
		EvacuationVersion uint64
		// ConnectedTwice is set for the rest of the connection once the sidecar has had another one to this entry beside it. Its reports on
		// earlier connections do not cover the other one, which it may still have open when this entry has lost it.
		ConnectedTwice bool
		// RejectionLogged is set once the peer has sent an entry that is not valid.
		RejectionLogged bool
	}

	// Caller is a caller that waits for the answer to a job. Without the context of its request, it never counts as having left.
	Caller struct {
		Context context.Context
		Reply   chan<- rgdispatch.SendAnswer
	}

	// State is the state of the entry. Only the control goroutine accesses it.
	State struct {
		Dispatch rgdispatch.State
		Peers    map[uint64]*PeerConn
		Callers  map[rgdispatch.CallerID]Caller
		Members  rgmembership.State
		// StopDial maps addresses of entries to the functions that end the connection to them.
		StopDial   map[string]context.CancelFunc
		VersionLag rgroute.VersionLag
		// UnknownZones holds the evacuated zones in which no process was known and since when, and whether that was logged.
		UnknownZones map[rgevacuation.Zone]UnknownZone
	}

	// UnknownZone is an evacuated zone in which no process is known.
	UnknownZone struct {
		Since  time.Time
		Logged bool
	}

	// Process is a running entry.
	Process struct {
		// Done is closed when the process has stopped.
		Done chan struct{}

		settings    rgsettings.PlatformProcess
		self        rgmodel.Entry
		source      Source
		log         *zap.Logger
		scope       tally.Scope
		mailbox     rgmailbox.Mailbox[Event]
		config      atomic.Pointer[rgroute.Config]
		sidecarSeen atomic.Bool
		// evacuationKnown is set once the entry has a set of evacuated zones, from the store or another entry.
		evacuationKnown atomic.Bool
		lastCallerID    atomic.Uint64
		// resendDelay is that of the settings in force.
		resendDelay atomic.Int64
		// deadCallerBound is the silence after which the connection of a waiting caller is considered dead, or zero.
		deadCallerBound atomic.Int64
		// sleep waits like rgclock.Sleep.
		sleep   func(ctx context.Context, dur time.Duration) bool
		stop    context.CancelFunc
		traffic rgsupervisor.Supervisor
		// peerConns limits the connections that peers open. None is closed for another one.
		peerConns rgserver.Connections

		malformedConfigs     rgstore.MalformedLog
		malformedEntries     rgstore.MalformedLog
		malformedEvacuations rgstore.MalformedLog
	}
)

// Start runs an entry until Stop is called. It fails if it cannot listen for peers.
func Start(ctx context.Context, set rgsettings.PlatformProcess, src Source, log *zap.Logger, sco tally.Scope) (*Process, error) {
	adr := rgwire.PeerAddress(set.Address, set.PeerPort)
	lis, err := rgserver.Listen(adr)
	if err != nil {
		return nil, errors.Annotate(err, "listen for peers")
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	pro := &Process{
		Done: make(chan struct{}), mailbox: rgmailbox.New[Event](),
		settings: set, source: src, log: log, scope: sco, stop: stop, sleep: rgclock.Sleep,
		self: rgmodel.Entry{Name: set.Name, Incarnation: uuid.NewString(), Address: adr, AvailabilityZone: set.AvailabilityZone},
	}
	if set.AdvertisedAddress != "" {
		pro.self.Address = set.AdvertisedAddress
	}
	pro.resendDelay.Store(int64(set.ResendDelay.Duration))
	pro.traffic.Log, pro.traffic.Scope = log, sco
	pro.peerConns.Limits = set.PeerIntake(rgserver.Descriptors())
	pro.peerConns.Scope = sco.Tagged(map[string]string{"listener": "peers"})
	pro.malformedConfigs.Log, pro.malformedConfigs.Scope = log, sco
	pro.malformedEntries.Log, pro.malformedEntries.Scope = log, sco
	pro.malformedEvacuations.Log, pro.malformedEvacuations.Scope = log, sco
	pro.traffic.Maintain(workCtx, func() { pro.accept(workCtx, lis) })
	pro.traffic.Maintain(workCtx, func() { pro.watchOperatorKeys(workCtx) })
	pro.traffic.Maintain(workCtx, func() { pro.maintainLease(workCtx) })
	pro.traffic.Maintain(workCtx, func() { pro.pollEntries(workCtx) })
	go pro.run(workCtx, lis)
	return pro, nil
}

func (pro *Process) run(workCtx context.Context, lis net.Listener) {
	defer close(pro.Done)
	pro.control(workCtx)
	close(pro.mailbox.Done)
	// All callers have been answered, so an error loses nothing.
	_ = lis.Close()
	pro.traffic.Wait()
}

// Stop ends the process. All callers must have been answered before.
func (pro *Process) Stop() {
	pro.stop()
	<-pro.Done
}

// Config returns the configuration in force, or nil.
func (pro *Process) Config() *rgroute.Config { return pro.config.Load() }

// Ready reports whether a configuration is in force, the evacuated zones are known, and a sidecar has been seen since the start that is
// usable, or would be if its zone were not evacuated.
func (pro *Process) Ready() bool {
	evacuationKnown := pro.evacuationKnown.Load() || pro.source.EvacuationPrefix == ""
	return pro.config.Load() != nil && evacuationKnown && pro.sidecarSeen.Load()
}

// Submit runs a job and returns its final answer. If ctx ends first, the job is stopped. The tasks of a job are placed only if its
// caller is still there when the control goroutine takes the job; rgserver.CallerLeft checks that.
func (pro *Process) Submit(ctx context.Context, req rgdispatch.Request) rgdispatch.SendAnswer {
	cid := rgdispatch.CallerID(pro.lastCallerID.Add(1))
	rpl := make(chan rgdispatch.SendAnswer, 1)
	req.Received, req.Silence = rgclock.Now(), rgserver.Silence(ctx)
	pro.hold(ctx, req)
	// If ctx has ended, Send may still succeed as long as the queue has room.
	if ctx.Err() != nil || !pro.mailbox.Send(ctx, JobSubmitted{ID: cid, Caller: Caller{Context: ctx, Reply: rpl}, Request: req}) {
		ans := rgdispatch.SendAnswer{Caller: cid, Job: req.ID, Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonNotReady}
		if ctx.Err() != nil {
			ans.Reason = rgmodel.ReasonCallerLeft
			pro.recordLeftCaller(req.ID, req.Silence)
		}
		return ans
	}
	return pro.awaitAnswer(ctx, cid, req.ID, rpl)
}

// awaitAnswer waits for the answer to a job that the control goroutine has. The job is stopped if its caller leaves, or if the connection
// turns out to be dead: the caller may have left without a sign of it, and may send the job elsewhere.
func (pro *Process) awaitAnswer(
	ctx context.Context, cid rgdispatch.CallerID, job string, rpl <-chan rgdispatch.SendAnswer,
) rgdispatch.SendAnswer {
	lost := rgdispatch.SendAnswer{Caller: cid, Job: job, Verdict: rgmodel.MayHaveRun, Reason: rgmodel.ReasonConnectionLost}
	wat := pro.watchContact()
	defer wat.end(ctx)
	for left := false; !left; {
		select {
		case ans := <-rpl:
			return ans
		case <-pro.mailbox.Done:
			return lost
		case <-ctx.Done():
			left = true
		case <-wat.timer.C:
			if left = wat.isDead(ctx); left {
				pro.recordDeadCaller(job, wat.silence)
			}
		}
	}
	pro.mailbox.Send(context.WithoutCancel(ctx), CallerDisconnected{Caller: cid, Job: job})
	return lost
}

// hold waits for the end of the caller's connection if the caller may have left before its request arrived.
func (pro *Process) hold(ctx context.Context, req rgdispatch.Request) {
	dur := rgdispatch.HoldTime(req, time.Duration(pro.resendDelay.Load()))
	if dur == 0 {
		return
	}
	pro.scope.Counter("requestsHeld").Inc(1)
	pro.sleep(ctx, dur)
}

// Cancel cancels a job and reports whether it was in progress here. Like the queries below, it returns the zero value if
// the process ends first.
func (pro *Process) Cancel(ctx context.Context, id string) bool {
	rpl := make(chan bool, 1)
	val, _ := rgmailbox.Call[Event](ctx, pro.mailbox, CancelRequested{Job: id, Reply: rpl}, rpl)
	return val
}

// JobState returns the state of a job at this entry.
func (pro *Process) JobState(ctx context.Context, id string) JobState {
	rpl := make(chan JobState, 1)
	val, _ := rgmailbox.Call[Event](ctx, pro.mailbox, JobStateRequested{Job: id, Reply: rpl}, rpl)
	return val
}

// Pending returns the number of jobs of the route without a task that is placed or may have run.
func (pro *Process) Pending(ctx context.Context, route string) int {
	rpl := make(chan int, 1)
	val, _ := rgmailbox.Call[Event](ctx, pro.mailbox, PendingRequested{Route: route, Reply: rpl}, rpl)
	return val
}

// BeginDrain announces that the entry shuts down and that its jobs must have ended after the duration. Jobs that cannot are refused.
func (pro *Process) BeginDrain(ctx context.Context, left time.Duration) {
	pro.mailbox.Send(ctx, DrainBegun{EndsBy: rgclock.Now().Add(left)})
}

// EndDrain gives up all jobs that are left, cancels their tasks and answers their callers. It returns the number of these jobs.
func (pro *Process) EndDrain(ctx context.Context) int {
	rpl := make(chan int, 1)
	left, _ := rgmailbox.Call[Event](ctx, pro.mailbox, DrainEnded{Reply: rpl}, rpl)
	return left
}

// Reload applies the remote factor, the name and the availability zone of the entry as rgdispatch uses them, the cores, the
// resend delay and additional seeds of settings that were read again. The other settings stay as they are.
func (pro *Process) Reload(ctx context.Context, set rgsettings.PlatformProcess) {
	pro.mailbox.Send(ctx, SettingsReloaded{Settings: set})
}
