package rgcli

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/julienschmidt/httprouter"

	"ragwortgap/io/rgcommandapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgmetrics"
	"ragwortgap/io/rgqueryapi"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
)

// headerTimeout bounds how long a caller may take to send the header of a request.
const headerTimeout = 5 * time.Second

type (
	entryCommand struct {
		Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
	}

	sidecarCommand struct {
		Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
	}
)

func (cmd *entryCommand) run(ctx context.Context) error {
	set, err := rgsettings.ReadEntry(cmd.Settings)
	if err != nil {
		return err
	}
	log, err := rgmetrics.OpenLog()
	if err != nil {
		return err
	}
	met := rgmetrics.Open()
	defer func() { _ = met.Closer.Close() }()
	pro, err := rgentry.Start(ctx, set, log, met.Scope)
	if err != nil {
		return err
	}
	rtr := httprouter.New()
	rgcommandapi.Routes{Entry: pro}.Register(rtr)
	rgqueryapi.Routes{Entry: pro, Metrics: met.Handler}.Register(rtr)
	return serve(ctx, set, rtr, pro.Done)
}

// serve answers callers until ctx ends, then as long as the balancer may still send some, and then until the requests in
// flight are answered. A listener that closes at once resets the connections that wait to be accepted.
func serve(ctx context.Context, set rgsettings.Entry, hdl http.Handler, done <-chan struct{}) error {
	lis, err := net.Listen("tcp", set.CallerAddress)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", set.CallerAddress)
	}
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(lis) }()
	select {
	case err := <-failed:
		return errors.Annotate(err, "serve callers")
	case <-ctx.Done():
	}
	time.Sleep(min(rgentry.HandoverTime, set.DrainBound.Duration))
	bound, stop := context.WithTimeout(context.WithoutCancel(ctx), set.DrainBound.Duration)
	defer stop()
	err = srv.Shutdown(bound)
	<-done
	return errors.Annotate(err, "drain callers")
}

func (cmd *sidecarCommand) run(ctx context.Context) error {
	set, err := rgsettings.ReadSidecar(cmd.Settings)
	if err != nil {
		return err
	}
	log, err := rgmetrics.OpenLog()
	if err != nil {
		return err
	}
	met := rgmetrics.Open()
	defer func() { _ = met.Closer.Close() }()
	pro := rgsidecar.Start(ctx, set, log, met.Scope)
	<-pro.Done
	return nil
}
