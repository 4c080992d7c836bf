// Package rgcli implements the command line: its subcommands, their output and the exit codes.
package rgcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"

	"ragwortgap/core/rgconfig"
	"ragwortgap/io/rgsettings"
)

const (
	exitOK      = 0
	exitFailure = 1
	// exitUsage reports invalid arguments or settings.
	exitUsage = 2
)

type (
	// Arguments holds the parsed command line; go-arg sets the field of the chosen subcommand.
	Arguments struct {
		Entry          *EntryCommand        `arg:"subcommand:entry" help:"run an entry"`
		Sidecar        *SidecarCommand      `arg:"subcommand:sidecar" help:"run the sidecar of an upstream"`
		Platform       *PlatformCommand     `arg:"subcommand:platform" help:"run a process on the users' platform"`
		Demo           *DemoCommand         `arg:"subcommand:demo" help:"run the whole system with stand-ins in one process"`
		ExplainRequest *ExplainRequestQuery `arg:"subcommand:explain-request" help:"print the log lines about a request, in order"`
		Burn           *BurnQuery           `arg:"subcommand:burn" help:"print the error budgets of the flows, summed over entries"`
		Version        *VersionQuery        `arg:"subcommand:version" help:"print the version"`

		Questionnaire *QuestionnaireCommand `arg:"subcommand:questionnaire" help:"ask a team's questions, or check its answers"`
		Generate      *GenerateQuery        `arg:"subcommand:generate" help:"print the configuration that answers ask for"`
		Explain       *ExplainQuery         `arg:"subcommand:explain" help:"print what a change of answers changes"`
		Apply         *ApplyCommand         `arg:"subcommand:apply" help:"write a team's configuration to the store"`
		Zones         *ZonesQuery           `arg:"subcommand:zones" help:"print the evacuated availability zones"`
		Status        *StatusQuery          `arg:"subcommand:status" help:"print the configuration in force at entries and sidecars"`
	}
)

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cmd Arguments
	prs, err := arg.NewParser(arg.Config{Program: "ragwortgap", Out: out}, &cmd)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	switch err := prs.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = prs.WriteHelpForSubcommand(out, prs.SubcommandNames()...)
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintln(errOut, "ragwortgap:", err)
		return exitUsage
	}
	return exitCode(runSubcommand(ctx, prs, out), errOut)
}

func runSubcommand(ctx context.Context, prs *arg.Parser, out io.Writer) error {
	switch cmd := prs.Subcommand().(type) {
	case *EntryCommand:
		return cmd.run(ctx)
	case *SidecarCommand:
		return cmd.run(ctx)
	case *PlatformEntryCommand:
		return cmd.run(ctx)
	case *PlatformSidecarCommand:
		return cmd.run(ctx)
	case *DemoCommand:
		return cmd.run(ctx, out)
	case *QuestionnaireCommand:
		return cmd.run(ctx, os.Stdin, out)
	case *GenerateQuery:
		return cmd.run(out)
	case *ExplainQuery:
		return cmd.run(out)
	case *ApplyCommand:
		return cmd.run(ctx, out)
	case *StatusQuery:
		return cmd.run(ctx, out)
	case *ZonesQuery:
		return cmd.run(ctx, out)
	case *BurnQuery:
		return cmd.run(ctx, out)
	case *ExplainRequestQuery:
		return cmd.run(out)
	case *VersionQuery:
		return cmd.run(out)
	default:
		prs.WriteHelp(out)
		return errors.BadRequestf("no subcommand")
	}
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "ragwortgap:", err)
	var fld rgsettings.FieldError
	var prs rgconfig.Problems
	if errors.As(err, &fld) || errors.As(err, &prs) || errors.Is(err, errors.BadRequest) || errors.Is(err, errors.NotValid) {
		return exitUsage
	}
	return exitFailure
}
