// Package rgentry runs the process that accepts jobs from callers: one control goroutine owns the state of the fleet and
// the table of submissions, and traffic goroutines serve callers, sidecars, other entries and the store.
package rgentry

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ragwortgap/core/rgburn"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgstore"
	"ragwortgap/io/rgsupervisor"
	"ragwortgap/io/rgtls"
	"ragwortgap/io/rgwire"
)

// eventBuffer lets traffic goroutines continue while the control goroutine handles a burst of events.
const eventBuffer = 1024

// maxRefusalLines bounds the log lines per minute about refused peers, because every sidecar dials again each second.
const maxRefusalLines = 10

type (
	// Process is a running entry.
	Process struct {
		// Done is closed when the process has stopped.
		Done chan struct{}

		settings rgsettings.Entry
		self     rgmodel.Entry
		log      *zap.Logger
		scope    tally.Scope
		store    rgstore.Client
		listener net.Listener
		identity *rgtls.Identity
		mailbox  rgmailbox.Mailbox[Event]
		view     atomic.Pointer[View]
		// waitingCallers is the number of calls that wait for an answer.
		waitingCallers atomic.Int64
		// traffic waits for the goroutines of jobs, connections and the store.
		traffic rgsupervisor.Supervisor
		entries entryPeers
	}

	// View is the state that traffic goroutines may read. It is immutable once published.
	View struct {
		Ring  rgmodel.Ring
		Teams map[string]rgmodel.TeamConfig
		// Config is the version of Teams.
		Config   rgmodel.ConfigVersion
		Sidecars []rgmodel.Sidecar
		// UsableSidecars is the number of sidecars that may get work.
		UsableSidecars int
		Draining       bool
		// Burn is the report on the error budgets, which may be some seconds old.
		Burn []rgburn.FlowReport
	}
)

// Start runs an entry until ctx ends; then it drains within the drain timeout of its settings and closes Done.
// It fails when the peer address cannot be listened on, or when a file of peerTLS is not valid.
func Start(ctx context.Context, set rgsettings.Entry, log *zap.Logger, sco tally.Scope) (*Process, error) {
	ide, err := rgtls.OpenPeer(set.PeerTLS)
	if err != nil {
		return nil, errors.Annotate(err, "setting peerTLS")
	}
	lis, err := rgwire.Listen(set.PeerAddress, ide)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pro := &Process{
		Done:     make(chan struct{}),
		settings: set,
		self: rgmodel.Entry{
			Name:             set.Name,
			Incarnation:      uuid.NewString(),
			Address:          cmp.Or(set.AdvertisedAddress, lis.Addr().String()),
			AvailabilityZone: set.AvailabilityZone,
		},
		log:      log.With(zap.String("entry", set.Name)),
		scope:    sco,
		store:    rgstore.Client{BaseURL: set.Store},
		listener: lis,
		identity: ide,
		mailbox:  rgmailbox.Mailbox[Event]{Events: make(chan Event, eventBuffer), Done: make(chan struct{})},
	}
	pro.view.Store(&View{})
	pro.traffic.Log, pro.traffic.Scope = pro.log, sco
	go pro.run(ctx)
	return pro, nil
}

func (pro *Process) run(ctx context.Context) {
	defer close(pro.Done)
	// Connections outlive ctx, because jobs in flight still use them.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	pro.traffic.Maintain(workCtx, func() { pro.acceptPeers(workCtx) })
	pro.traffic.Go(func() { pro.watchStore(ctx, workCtx) })
	if pro.identity != nil {
		pro.traffic.Maintain(workCtx, func() { rgtls.Watch(workCtx, pro.identity, pro.identity.Files.Certificate, pro.log) })
	}
	pro.control(ctx, workCtx)
	close(pro.mailbox.Done)
	stop()
	// Closing a listener fails only if it is already closed.
	_ = pro.listener.Close()
	pro.entries.close()
	pro.traffic.Wait()
}

func (pro *Process) acceptPeers(workCtx context.Context) {
	refusals := pro.log.WithOptions(zap.WrapCore(func(cor zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(cor, time.Minute, maxRefusalLines, 0)
	}))
	for {
		con, err := pro.listener.Accept()
		if err != nil {
			if workCtx.Err() == nil {
				pro.log.Error("failed to accept connection", zap.Error(err))
			}
			return
		}
		pro.traffic.Go(func() {
			if err := rgwire.Handshake(workCtx, con); err != nil {
				pro.scope.Counter("peersRefused").Inc(1)
				refusals.Warn("peer refused", zap.Stringer("address", con.RemoteAddr()), zap.Error(err))
				return
			}
			per := rgwire.ServeRequests(workCtx, con, pro.serve)
			select {
			case <-per.Done:
			case <-workCtx.Done():
				per.Close()
			}
		})
	}
}

// request sends an event to the control goroutine and waits for the reply.
func request[Rep any](ctx context.Context, pro *Process, evt Event, rep <-chan Rep) (Rep, error) {
	val, ok := rgmailbox.Call(ctx, pro.mailbox, evt, rep)
	if ok {
		return val, nil
	}
	select {
	case <-pro.mailbox.Done:
		return val, errors.New("entry is stopping")
	default:
		return val, errors.Trace(ctx.Err())
	}
}
