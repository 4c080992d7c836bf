package rgcli

import (
	"context"
	"io"

	"ragwortgap/io/rgdemo"
)

type demoCommand struct {
	Keep bool `arg:"--keep" help:"go on serving after the report"`
}

func (cmd *demoCommand) run(ctx context.Context, out io.Writer) error {
	return rgdemo.Run(ctx, rgdemo.Options{Keep: cmd.Keep}, out)
}
