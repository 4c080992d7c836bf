package rgcli

import (
	"context"
	"io"

	"ragwortgap/io/rgdemo"
)

// DemoCommand runs the whole system with stand-ins in one process.
type DemoCommand struct {
	Keep bool `arg:"--keep" help:"go on serving after the report"`
}

func (cmd *DemoCommand) run(ctx context.Context, out io.Writer) error {
	return rgdemo.Run(ctx, rgdemo.Options{Keep: cmd.Keep}, out)
}
