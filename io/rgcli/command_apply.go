package rgcli

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"ragwortgap/core/rgconfig"
	"ragwortgap/io/rganswers"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgstore"
)

// ApplyCommand writes a team's configuration to the store.
type ApplyCommand struct {
	File     string        `arg:"positional,required" help:"answers or configuration, JSON with comments"`
	Store    string        `arg:"--store,required" help:"URL of the store"`
	ChangeID string        `arg:"--change-id" help:"change id; repeat it to apply a change again whose outcome is unknown"`
	Base     uint64        `arg:"--base" help:"revision that the change builds on; refused if another one is in force"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"how long to try"`
}

func (cmd *ApplyCommand) run(ctx context.Context, out io.Writer) error {
	tc, err := rganswers.ReadConfig(cmd.File)
	if err != nil {
		return err
	}
	if cmd.ChangeID == "" {
		cmd.ChangeID = uuid.NewString()
	}
	ctx, stop := context.WithTimeout(ctx, cmd.Timeout)
	defer stop()
	chg := rgstore.Change{Key: rgentry.KeyConfig + tc.Team, Config: tc, ID: cmd.ChangeID, BaseRevision: cmd.Base}
	res, err := rgstore.Client{BaseURL: cmd.Store}.Apply(ctx, chg)
	if err != nil {
		return errors.Annotatef(err, "apply %s with --change-id %s", cmd.File, cmd.ChangeID)
	}
	switch res := res.(type) {
	case rgstore.Applied:
		printLine(out, "%s: revision %d accepted, change %s", tc.Team, res.Config.Revision, res.Config.ChangeID)
		return nil
	case rgstore.Unchanged:
		printLine(out, "%s: revision %d has the same settings; nothing written", tc.Team, res.Config.Revision)
		return nil
	case rgstore.Superseded:
		return printConflict(out, res)
	default:
		return errors.NotSupportedf("result %T", res)
	}
}

// printConflict prints both configurations and the differences between them, and returns an error.
func printConflict(out io.Writer, res rgstore.Superseded) error {
	printLine(out, "in force: revision %d, change %s", res.Theirs.Revision, res.Theirs.ChangeID)
	if err := printConfig(out, res.Theirs); err != nil {
		return err
	}
	printLine(out, "not applied: change %s", res.Mine.ChangeID)
	if err := printConfig(out, res.Mine); err != nil {
		return err
	}
	printChanges(out, rgconfig.Diff(res.Theirs, res.Mine))
	if res.Overwritten {
		return errors.Errorf("change %s was superseded by revision %d and may have been in force before it",
			res.Mine.ChangeID, res.Theirs.Revision)
	}
	return errors.Errorf("another change came first: revision %d is in force and nothing was written", res.Theirs.Revision)
}
