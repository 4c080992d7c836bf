package rgcli

import (
	"context"
	"os"

	"github.com/juju/errors"

	"ragwortgap/io/rgmetrics"
	"ragwortgap/platform"
)

type (
	// PlatformCommand runs a process on the platform. The environment of the process names its settings file.
	PlatformCommand struct {
		Entry   *PlatformEntryCommand   `arg:"subcommand:entry" help:"run an entry"`
		Sidecar *PlatformSidecarCommand `arg:"subcommand:sidecar" help:"run the sidecar of an executor"`
	}

	// PlatformEntryCommand runs an entry on the platform.
	PlatformEntryCommand struct{}

	// PlatformSidecarCommand runs the sidecar of an executor on the platform.
	PlatformSidecarCommand struct{}
)

func (cmd *PlatformEntryCommand) run(ctx context.Context) error {
	return runOnPlatform(ctx, platform.RunEntry)
}

func (cmd *PlatformSidecarCommand) run(ctx context.Context) error {
	return runOnPlatform(ctx, platform.RunSidecar)
}

func runOnPlatform(ctx context.Context, run platform.RunFunc) error {
	hup := handleServiceSignals()
	met := rgmetrics.New()
	defer func() { _ = met.Closer.Close() }()
	aw := rgmetrics.NewAsyncWriter(os.Stdout, met.Scope)
	defer aw.Close()
	return errors.Trace(run(ctx, hup, rgmetrics.NewRateLimitedLogger(aw), met))
}
