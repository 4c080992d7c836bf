package rgcli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/juju/errors"
)

type versionQuery struct{}

func (qry *versionQuery) run(out io.Writer) error {
	ver := "unknown"
	if inf, ok := debug.ReadBuildInfo(); ok {
		ver = inf.Main.Version
	}
	_, err := fmt.Fprintln(out, "ragwortgap", ver)
	return errors.Trace(err)
}
