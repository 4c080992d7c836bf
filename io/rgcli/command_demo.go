package rgcli

import (
	"context"
	"io"

	"ragwortgap/io/rgdemo"
)

// DemoCommand runs the demo.
type DemoCommand struct {
	Keep bool `arg:"--keep" help:"go on serving after the report"`
}

func (cmd *DemoCommand) run(ctx context.Context, out io.Writer) error {
	return rgdemo.Run(ctx, rgdemo.Options{Keep: cmd.Keep}, out)
}
