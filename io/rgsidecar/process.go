// Package rgsidecar runs the process beside an upstream: one control goroutine owns the queue, and traffic goroutines
// serve the connections to entries and the requests to the upstream.
package rgsidecar

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgtls"
)

// Process is a running sidecar.
type Process struct {
	// Done is closed when the process has stopped.
	Done chan struct{}

	settings rgsettings.Sidecar
	self     rgmodel.Sidecar
	log      *zap.Logger
	scope    tally.Scope
	upstream *http.Client
	identity *rgtls.Identity
	status   atomic.Pointer[Status]
	// echoesTask is set while the upstream names the task in its responses. Connections are reused only then, because a
	// response that arrives twice would otherwise be taken for the response to the next request on the connection.
	echoesTask atomic.Bool
	mailbox    rgmailbox.Mailbox[Event]
	// connections waits for the goroutines of the connections to entries.
	connections conc.WaitGroup
	// taskRunners waits for the goroutines that forward tasks to the upstream.
	taskRunners conc.WaitGroup
}

// Start runs a sidecar until ctx ends; then it drains within the drain timeout of its settings and closes Done.
// It fails when a file of peerTLS is not valid.
func Start(ctx context.Context, set rgsettings.Sidecar, log *zap.Logger, sco tally.Scope) (*Process, error) {
	ide, err := rgtls.OpenPeer(set.PeerTLS)
	if err != nil {
		return nil, errors.Annotate(err, "setting peerTLS")
	}
	pro := &Process{
		Done:     make(chan struct{}),
		settings: set,
		self: rgmodel.Sidecar{
			Name:             set.Name,
			Incarnation:      uuid.NewString(),
			AvailabilityZone: set.AvailabilityZone,
			Rack:             set.Rack,
			Capacity: rgmodel.Capacity{
				Slots:       set.Slots,
				Connections: set.Connections,
				Resources:   set.Resources,
			},
		},
		log:   log.With(zap.String("sidecar", set.Name)),
		scope: sco,
		upstream: &http.Client{CheckRedirect: refuseRedirect, Transport: &http.Transport{
			MaxConnsPerHost:     set.Connections,
			MaxIdleConnsPerHost: set.Slots,
			DisableCompression:  true,
		}},
		mailbox:  rgmailbox.New[Event](),
		identity: ide,
	}
	pro.status.Store(&Status{Sidecar: pro.self})
	go pro.run(ctx)
	return pro, nil
}

func (pro *Process) run(ctx context.Context) {
	defer close(pro.Done)
	// Connections outlive ctx, because the drain needs them.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	if pro.identity != nil {
		pro.connections.Go(func() { rgtls.Watch(workCtx, pro.identity, pro.identity.Files.Certificate, pro.log) })
	}
	pro.control(ctx, workCtx)
	// workCtx ends first, so a request that gets no reply has its error.
	stop()
	close(pro.mailbox.Done)
	pro.connections.Wait()
	pro.taskRunners.Wait()
	pro.upstream.CloseIdleConnections()
}

// refuseRedirect returns a redirect as the response, because following it would be a second request.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
