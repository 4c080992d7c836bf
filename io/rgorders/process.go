// Package rgorders is the sidecar process of an upstream that is controlled by orders: start, stop and poll requests to the
// executor. One control goroutine owns the state of the executor. Traffic goroutines serve the connections to entries, the
// store and the orders.
package rgorders

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsupervisor"
	"ragwortgap/io/rgwire"
)

const (
	// stopMargin is the part of the drain timeout that is left when the runs that go on are stopped, and drainMargin the part that is
	// left when the drain no longer waits for their ends. The difference is more than a lease, by which they end even if the executor
	// does not reply.
	stopMargin  = 1500 * time.Millisecond
	drainMargin = 500 * time.Millisecond
	// tolerableClockLead is how far the clock of a heartbeat may be ahead of the one estimated from the replies without being logged. A
	// reply may take some tens of milliseconds, and an executor's clock does not gain on real time.
	tolerableClockLead = 250 * time.Millisecond
	// listInterval is how often the entries in the store are listed while none is connected.
	listInterval = time.Second
)

type (
	// ExecutorClient sends orders to the executor.
	ExecutorClient interface {
		// Send sends an order and waits for its reply, with a timeout of its own.
		Send(ctx context.Context, ord rgmodel.Order) rgmodel.OrderReply
		// CloseConn closes a connection that a poll has opened. No order is in flight over it.
		CloseConn(id rgmodel.ExecutorConnID)
	}

	// ListFunc returns the entries that are registered in the store.
	ListFunc func(ctx context.Context) ([]rgmodel.Entry, error)

	// EntryConn is a connection to an entry.
	EntryConn struct {
		Address string
		Conn    *rgwire.NotificationConn
		// LastTicket is the highest ticket that has arrived.
		LastTicket rgmodel.Ticket
		// SentExecutor is the description of the executor that was last sent to the entry.
		SentExecutor rgmodel.Executor
		// UnsentEnds are the ends of tasks that have not been sent yet.
		UnsentEnds []rgmodel.TaskEnd
		// RejectionLogged is set once the entry has sent an entry that is not valid.
		RejectionLogged bool
	}

	// State is the state of the sidecar. Only the control goroutine accesses it.
	State struct {
		// ExecutorState is the state of rgexecutor, which makes the decisions about the executor.
		ExecutorState rgexecutor.State
		Conns         map[rgexecutor.EntryConnID]*EntryConn
		Members       rgmembership.State
		// StopDial maps addresses of entries to the functions that end the connection to them.
		StopDial map[string]context.CancelFunc
		// Dropped holds the addresses of entries whose connections are drained before they are ended.
		Dropped    map[string]bool
		LastListed time.Time
		// DrainStarted is when the drain began, or zero. DrainEnding is set once the runs that go on are stopped.
		DrainStarted time.Time
		DrainEnding  bool
		// ReportedCounts are the counts that are already included in the metrics.
		ReportedCounts rgexecutor.Counts
	}

	// Process is a running sidecar.
	Process struct {
		// Done is closed when the process has stopped.
		Done chan struct{}

		settings    rgsettings.PlatformProcess
		executor    ExecutorClient
		listEntries ListFunc
		store       Store
		// toSave contains the executor to be saved next.
		toSave  chan rgmodel.Executor
		log     *zap.Logger
		scope   tally.Scope
		mailbox rgmailbox.Mailbox[Event]
		traffic rgsupervisor.Supervisor
	}
)

// Start runs a sidecar until ctx ends. The sidecar then drains within the drain timeout of its settings and closes Done.
func Start(
	ctx context.Context, set rgsettings.PlatformProcess, cli ExecutorClient, sto Store, lis ListFunc, log *zap.Logger, sco tally.Scope,
) *Process {
	pro := &Process{
		Done: make(chan struct{}), mailbox: rgmailbox.New[Event](),
		settings: set, executor: cli, store: sto, listEntries: lis, toSave: make(chan rgmodel.Executor, 1), log: log, scope: sco,
	}
	pro.traffic.Log, pro.traffic.Scope = log, sco
	go pro.run(ctx)
	return pro
}

func (pro *Process) run(ctx context.Context) {
	defer close(pro.Done)
	// Orders and connections outlive ctx, because the drain needs them.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	pro.traffic.Go(func() { pro.restoreExecutor(workCtx) })
	pro.traffic.Maintain(workCtx, func() { pro.saveExecutors(workCtx) })
	pro.control(ctx, workCtx)
	close(pro.mailbox.Done)
	stop()
	pro.traffic.Wait()
}

// UpdateExecutor passes a heartbeat of the executor to the control goroutine and returns once it has taken effect. It returns
// false if ctx or the process ends first.
func (pro *Process) UpdateExecutor(ctx context.Context, exe rgmodel.Executor) bool {
	rpl := make(chan struct{}, 1)
	_, ok := rgmailbox.Call[Event](ctx, pro.mailbox, ExecutorUpdated{Executor: exe, Reply: rpl}, rpl)
	return ok
}

// DeregisterExecutor tells the control goroutine that an incarnation of the executor has deregistered. It returns false if ctx
// or the process ends first.
func (pro *Process) DeregisterExecutor(ctx context.Context, id string) bool {
	rpl := make(chan struct{}, 1)
	_, ok := rgmailbox.Call[Event](ctx, pro.mailbox, ExecutorDeregistered{ID: id, Reply: rpl}, rpl)
	return ok
}

// Reload applies the longest lease, the resend delay, the time that a task takes to stop and additional seeds of settings that
// were read again. The other settings stay as they are.
func (pro *Process) Reload(ctx context.Context, set rgsettings.PlatformProcess) {
	pro.mailbox.Send(ctx, SettingsReloaded{Settings: set})
}
