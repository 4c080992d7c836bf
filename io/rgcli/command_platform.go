package rgcli

import (
	"context"
	"os"

	"github.com/juju/errors"

	"ragwortgap/io/rgmetrics"
	"ragwortgap/platform"
)

type (
	// PlatformCommand runs a process on the users' platform. The environment of the process names its settings file.
	PlatformCommand struct {
		Entry   *PlatformEntry   `arg:"subcommand:entry" help:"run an entry"`
		Sidecar *PlatformSidecar `arg:"subcommand:sidecar" help:"run the sidecar of an executor"`
	}

	// PlatformEntry runs an entry on the users' platform.
	PlatformEntry struct{}

	// PlatformSidecar runs the sidecar of an executor on the users' platform.
	PlatformSidecar struct{}
)

func (cmd *PlatformEntry) run(ctx context.Context) error {
	return runOnPlatform(ctx, platform.RunEntry)
}

func (cmd *PlatformSidecar) run(ctx context.Context) error {
	return runOnPlatform(ctx, platform.RunSidecar)
}

func runOnPlatform(ctx context.Context, run platform.RunFunc) error {
	met := rgmetrics.Open()
	defer func() { _ = met.Closer.Close() }()
	aw := rgmetrics.NewAsyncWriter(os.Stdout)
	defer aw.Close()
	return errors.Trace(run(ctx, rgmetrics.OpenRateLimitedLog(aw, met.Scope), met))
}
