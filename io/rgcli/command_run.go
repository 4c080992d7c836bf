package rgcli

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"ragwortgap/core/rghome"
	"ragwortgap/io/rgcommandapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgmetrics"
	"ragwortgap/io/rgqueryapi"
	"ragwortgap/io/rgserver"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
	"ragwortgap/io/rgtls"
)

// headerTimeout is the time limit for a caller or an operator to send the headers of a request.
const headerTimeout = 5 * time.Second

type (
	// EntryCommand runs an entry.
	EntryCommand struct {
		Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
	}

	// SidecarCommand runs a sidecar.
	SidecarCommand struct {
		Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
	}
)

func (cmd *EntryCommand) run(ctx context.Context) error {
	hup := handleServiceSignals()
	set, err := rgsettings.ReadEntry(cmd.Settings)
	if err != nil {
		return err
	}
	log, met, err := newLoggerAndMetrics()
	if err != nil {
		return err
	}
	defer func() { _ = met.Closer.Close() }()
	if set.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(set.MemoryLimit())
	}
	// Keys and listener are opened before the start, so an entry that cannot serve callers does not join the ring.
	entryLog := log.With(zap.String("entry", set.Name))
	keys, err := openKeys(ctx, set.TeamKeys, entryLog)
	if err != nil {
		return err
	}
	lis, err := listenForCallers(ctx, set, entryLog)
	if err != nil {
		return err
	}
	pro, err := rgentry.Start(ctx, set, log, met.Scope)
	if err != nil {
		return err
	}
	go logHangups(pro.Done, hup, entryLog)
	lim := set.Intake(rgserver.Descriptors())
	bds := rgserver.StartBodies(context.WithoutCancel(ctx), lim, met.Scope)
	rtr := httprouter.New()
	rgcommandapi.Routes{Entry: pro, Keys: keys, Bodies: bds}.Register(rtr)
	rgqueryapi.Routes{Entry: pro, Keys: keys, Metrics: met.Handler}.Register(rtr)
	cns := &rgserver.Connections{Limits: lim, Scope: met.Scope.Tagged(map[string]string{"listener": "callers"})}
	return serve(ctx, lis, rgserver.HTTPServer(rtr, headerTimeout, cns.TrackState), set.DrainTimeout.Duration, pro.Done)
}

func newLoggerAndMetrics() (*zap.Logger, rgmetrics.Metrics, error) {
	log, err := rgmetrics.NewLogger()
	if err != nil {
		return nil, rgmetrics.Metrics{}, err
	}
	return log, rgmetrics.New(), nil
}

// openKeys reads the team keys and reloads them when the file changes. It returns nil if no file is set.
func openKeys(ctx context.Context, file string, log *zap.Logger) (*rgtls.TeamKeys, error) {
	if file == "" {
		return nil, nil
	}
	keys, err := rgtls.OpenKeys(file, nil)
	if err != nil {
		return nil, errors.Annotate(err, "setting teamKeys")
	}
	go rgtls.Watch(ctx, keys, file, log)
	return keys, nil
}

func listenForCallers(ctx context.Context, set rgsettings.Entry, log *zap.Logger) (net.Listener, error) {
	lis, err := rgserver.Listen(set.CallerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "setting callerAddress")
	}
	lis = rgserver.MeasureListener(lis)
	if set.CallerTLS == nil {
		return lis, nil
	}
	ide, err := rgtls.Open(*set.CallerTLS, nil)
	if err != nil {
		return nil, errors.Annotate(err, "setting callerTLS")
	}
	go rgtls.Watch(ctx, ide, ide.Files.Certificate, log)
	return tls.NewListener(lis, ide.ServerConfig()), nil
}

// serve serves requests until ctx ends, and then for the time in which the load balancer may still send requests. Finally
// it waits until the requests in flight are answered and the process is done. Closing the listener at once would reset
// connections that have not been accepted yet.
func serve(ctx context.Context, lis net.Listener, srv *http.Server, timeout time.Duration, done <-chan struct{}) error {
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(lis) }()
	select {
	case err := <-failed:
		return errors.Annotatef(err, "serve HTTP on %s", lis.Addr())
	case <-ctx.Done():
	}
	handover := time.NewTimer(min(rghome.HandoverTime, timeout))
	defer handover.Stop()
	select {
	case <-handover.C:
	case <-done:
	}
	drainCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer stop()
	err := srv.Shutdown(drainCtx)
	<-done
	return errors.Annotate(err, "drain callers")
}

func (cmd *SidecarCommand) run(ctx context.Context) error {
	hup := handleServiceSignals()
	set, err := rgsettings.ReadSidecar(cmd.Settings)
	if err != nil {
		return err
	}
	log, met, err := newLoggerAndMetrics()
	if err != nil {
		return err
	}
	defer func() { _ = met.Closer.Close() }()
	var lis net.Listener
	if set.StatusAddress != "" {
		if lis, err = rgserver.Listen(set.StatusAddress); err != nil {
			return errors.Annotate(err, "setting statusAddress")
		}
		lis = rgserver.MeasureListener(lis)
	}
	pro, err := rgsidecar.Start(ctx, set, log, met.Scope)
	if err != nil {
		return err
	}
	go logHangups(pro.Done, hup, log.With(zap.String("sidecar", set.Name)))
	if lis == nil {
		<-pro.Done
		return nil
	}
	rtr := httprouter.New()
	rgqueryapi.SidecarRoutes{Sidecar: pro, Metrics: met.Handler}.Register(rtr)
	return serveStatus(lis, rtr, pro.Done)
}

// serveStatus serves the status routes until the sidecar is done, so operators can observe its drain.
func serveStatus(lis net.Listener, hdl http.Handler, done <-chan struct{}) error {
	srv := rgserver.HTTPServer(hdl, headerTimeout, rgserver.NewSideConnections().TrackState)
	go func() {
		<-done
		// The routes only read, so a request in flight may be cut off.
		_ = srv.Close()
	}()
	err := srv.Serve(lis)
	<-done
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotatef(err, "serve HTTP on %s", lis.Addr())
}
