// Package rgorders is the sidecar process of an upstream that is driven by orders: one control goroutine that owns the
// room of the executor, and traffic goroutines for the connections to entries and for the orders.
package rgorders

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgwire"
)

const (
	// drainMargin is what is left of the grace time when a planned stop no longer waits for runs.
	drainMargin = 1500 * time.Millisecond
	// listInterval is how often the store is asked for entries while none is connected.
	listInterval = time.Second
)

type (
	// Give sends an order to the executor and waits for its answer, within a bound of its own.
	Give func(ctx context.Context, ord rgmodel.Order) rgmodel.OrderReply

	// List returns the addresses of the entries that the store knows.
	List func(ctx context.Context) ([]string, error)

	// Link is a connection to an entry.
	Link struct {
		Address string
		Outbox  *rgwire.Outbox
		// Received is the last ticket that has arrived.
		Received rgmodel.Ticket
		// Described is the executor that the entry knows.
		Described rgmodel.Executor
		Ends      []rgmodel.TaskEnd
	}

	// State is owned by the control goroutine.
	State struct {
		Room  rgexecutor.State
		Links map[rgexecutor.ConnID]*Link
		// Dials holds the goroutines that connect to entries, by address.
		Dials  map[string]*Dial
		Listed time.Time
		// Draining is when a planned stop has begun.
		Draining time.Time
		Counted  rgexecutor.Counts
	}

	// Dial is a goroutine that keeps a connection to an address.
	Dial struct {
		Stop   context.CancelFunc
		Named  time.Time
		Seed   bool
		Linked bool
	}

	// Process is a running sidecar.
	Process struct {
		// Done is closed when the process has stopped.
		Done chan struct{}

		settings rgsettings.Deployment
		give     Give
		list     List
		store    Store
		// known holds the executor that is to be remembered next.
		known   chan rgmodel.Executor
		log     *zap.Logger
		scope   tally.Scope
		mailbox rgmailbox.Mailbox[Event]
		traffic conc.WaitGroup
	}
)

// Start runs a sidecar until ctx ends; then it drains within the grace time of its settings and closes Done.
func Start(ctx context.Context, set rgsettings.Deployment, giv Give, sto Store, lis List, log *zap.Logger, sco tally.Scope) *Process {
	pro := &Process{
		Done: make(chan struct{}), mailbox: rgmailbox.New[Event](),
		settings: set, give: giv, store: sto, list: lis, known: make(chan rgmodel.Executor, 1), log: log, scope: sco,
	}
	go pro.run(ctx)
	return pro
}

func (pro *Process) run(ctx context.Context) {
	defer close(pro.Done)
	// Orders and connections outlive ctx, because the drain needs them.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	pro.traffic.Go(func() { pro.recall(work) })
	pro.traffic.Go(func() { pro.remember(work) })
	pro.control(ctx, work)
	close(pro.mailbox.Done)
	stop()
	pro.traffic.Wait()
}

// Announce passes on what the executor says of itself, and returns once it has taken effect.
func (pro *Process) Announce(ctx context.Context, exe rgmodel.Executor) bool {
	rpl := make(chan struct{}, 1)
	_, ok := rgmailbox.Call[Event](ctx, pro.mailbox, Announced{Executor: exe, Reply: rpl}, rpl)
	return ok
}

// Depart passes on that a lifetime of the executor has ended as planned.
func (pro *Process) Depart(ctx context.Context, id string) bool {
	rpl := make(chan struct{}, 1)
	_, ok := rgmailbox.Call[Event](ctx, pro.mailbox, Departed{ID: id, Reply: rpl}, rpl)
	return ok
}

// Reload puts settings in force that were read again.
func (pro *Process) Reload(ctx context.Context, set rgsettings.Deployment) {
	pro.mailbox.Send(ctx, Reloaded{Settings: set})
}
