// Package rgdispatcher is the entry process for upstreams that are driven by orders: one control goroutine that owns the
// jobs in progress and the view of the sidecars, and traffic goroutines for callers, peers and the store.
package rgdispatcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgstore"
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

	// Source says where the operator's configuration is, and how it is read.
	Source struct {
		Store     Store
		ConfigKey string
		Decode    func(raw []byte) (*rgroute.Config, error)
	}

	// Peer is a connection to a sidecar or to another entry.
	Peer struct {
		Outbox *rgwire.Outbox
		// Sidecar is its name; empty for an entry and for a peer that has not introduced itself.
		Sidecar string
		Entry   string
		// Told is when the last message was sent, Every the interval of reports that was asked for, Entries the number of
		// the list of entries that the peer knows.
		Told    time.Time
		Every   time.Duration
		Entries uint64
		// Listed is when an entry was sent the list last.
		Listed time.Time
	}

	// State is owned by the control goroutine.
	State struct {
		Dispatch rgdispatch.State
		Peers    map[uint64]*Peer
		Replies  map[rgdispatch.CallerID]chan<- rgdispatch.Answer
		// Entries holds the other entries that are known, by address.
		Entries map[string]Known
		// ListVersion grows with each change of the addresses.
		ListVersion uint64
		Dials       map[string]context.CancelFunc
		Behind      rgroute.VersionLag
	}

	// Known is an entry that somebody has named.
	Known struct {
		Entry rgmodel.Entry
		Named time.Time
		// Seen is when the entry itself or the store named it last. Only such entries are passed on, because two entries
		// that repeat each other's lists would never forget one that is gone.
		Seen time.Time
		Seed bool
	}

	// Process is a running entry.
	Process struct {
		// Done is closed when the process has stopped.
		Done chan struct{}

		settings rgsettings.Deployment
		self     rgmodel.Entry
		source   Source
		log      *zap.Logger
		scope    tally.Scope
		mailbox  rgmailbox.Mailbox[Event]
		config   atomic.Pointer[rgroute.Config]
		usable   atomic.Bool
		tokens   atomic.Uint64
		stop     context.CancelFunc
		traffic  conc.WaitGroup
	}
)

// Start runs an entry until Stop. It fails when it cannot listen for peers.
func Start(ctx context.Context, set rgsettings.Deployment, src Source, log *zap.Logger, sco tally.Scope) (*Process, error) {
	adr := rgwire.PeerAddress(set.Address, set.PeerPort)
	lis, err := net.Listen("tcp", adr)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %s", adr)
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	pro := &Process{
		Done: make(chan struct{}), mailbox: rgmailbox.New[Event](),
		settings: set, source: src, log: log, scope: sco, stop: stop,
		self: rgmodel.Entry{Name: set.Name, Incarnation: uuid.NewString(), Address: adr, AvailabilityZone: set.AvailabilityZone},
	}
	if set.AdvertisedAddress != "" {
		pro.self.Address = set.AdvertisedAddress
	}
	pro.traffic.Go(func() { pro.accept(work, lis) })
	pro.traffic.Go(func() { pro.followConfig(work) })
	pro.traffic.Go(func() { pro.keepLease(work) })
	pro.traffic.Go(func() { pro.followEntries(work) })
	go pro.run(work, lis)
	return pro, nil
}

func (pro *Process) run(work context.Context, lis net.Listener) {
	defer close(pro.Done)
	pro.control(work)
	close(pro.mailbox.Done)
	// Nothing is in flight that a closed listener could lose.
	_ = lis.Close()
	pro.traffic.Wait()
}

// Stop ends the process. Callers have to be answered before.
func (pro *Process) Stop() {
	pro.stop()
	<-pro.Done
}

// Config returns the configuration in force, or nil.
func (pro *Process) Config() *rgroute.Config { return pro.config.Load() }

// Ready says whether callers can be served.
func (pro *Process) Ready() bool { return pro.config.Load() != nil && pro.usable.Load() }

// Submit runs a job and returns its final answer. When ctx ends first, the job is stopped.
func (pro *Process) Submit(ctx context.Context, req rgdispatch.Request) rgdispatch.Answer {
	cid := rgdispatch.CallerID(pro.tokens.Add(1))
	rpl := make(chan rgdispatch.Answer, 1)
	if !pro.mailbox.Send(ctx, Submitted{Token: cid, Request: req, Reply: rpl}) {
		return rgdispatch.Answer{Caller: cid, Job: req.ID, Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonNotReady}
	}
	select {
	case ans := <-rpl:
		return ans
	case <-ctx.Done():
		pro.mailbox.Send(context.WithoutCancel(ctx), CallerLeft{Token: cid, Job: req.ID})
	case <-pro.mailbox.Done:
	}
	return rgdispatch.Answer{Caller: cid, Job: req.ID, Verdict: rgmodel.MayHaveRun, Reason: rgmodel.ReasonConnectionLost}
}

// Cancel ends a job, and reports whether it was in progress here. Like the queries below, it returns the zero value if the
// process ends first.
func (pro *Process) Cancel(ctx context.Context, id string) bool {
	rpl := make(chan bool, 1)
	val, _ := rgmailbox.Call[Event](ctx, pro.mailbox, CancelAsked{Job: id, Reply: rpl}, rpl)
	return val
}

// JobState returns how far a job is at this entry.
func (pro *Process) JobState(ctx context.Context, id string) JobState {
	rpl := make(chan JobState, 1)
	val, _ := rgmailbox.Call[Event](ctx, pro.mailbox, JobAsked{Job: id, Reply: rpl}, rpl)
	return val
}

// Pending returns how many jobs of the route have not begun.
func (pro *Process) Pending(ctx context.Context, route string) int {
	rpl := make(chan int, 1)
	val, _ := rgmailbox.Call[Event](ctx, pro.mailbox, CountAsked{Route: route, Reply: rpl}, rpl)
	return val
}

// Reload puts settings in force that were read again.
func (pro *Process) Reload(ctx context.Context, set rgsettings.Deployment) {
	pro.mailbox.Send(ctx, Reloaded{Settings: set})
}
