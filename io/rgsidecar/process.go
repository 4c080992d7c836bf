// Package rgsidecar is the process beside an upstream: one control goroutine that owns the queue, and traffic
// goroutines for the connections to entries and for the requests to the upstream.
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
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgtls"
)

// eventBuffer lets traffic goroutines go on while the control goroutine handles a burst.
const eventBuffer = 256

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
	health   atomic.Pointer[Health]
	// named is set while the upstream names the task in its answers. Connections are used again only then, because
	// an answer that comes twice would be taken for the answer to the next request on the connection.
	named  atomic.Bool
	events chan Event
	// links counts the goroutines that keep connections to entries.
	links conc.WaitGroup
	// runners counts the goroutines that wait for the upstream.
	runners conc.WaitGroup
}

// Start runs a sidecar until ctx ends; then it drains within the bound of its settings and closes Done.
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
		events:   make(chan Event, eventBuffer),
		identity: ide,
	}
	pro.health.Store(&Health{Sidecar: pro.self})
	go pro.run(ctx)
	return pro, nil
}

func (pro *Process) run(ctx context.Context) {
	defer close(pro.Done)
	// The connections outlive ctx, because the drain needs them.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	if pro.identity != nil {
		pro.links.Go(func() { rgtls.Watch(work, pro.identity, pro.identity.Files.Certificate, pro.log) })
	}
	pro.control(ctx, work)
	stop()
	pro.links.Wait()
	pro.runners.Wait()
	pro.upstream.CloseIdleConnections()
}

// refuseRedirect hands a redirect back as the answer, because following it would be a second request.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// tell passes an event to the control goroutine unless the process has stopped.
func (pro *Process) tell(ctx context.Context, evt Event) bool {
	select {
	case pro.events <- evt:
		return true
	case <-ctx.Done():
		return false
	}
}
