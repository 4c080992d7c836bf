package rgcli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/juju/errors"
)

// VersionQuery prints the module version from the build information.
type VersionQuery struct{}

func (qry *VersionQuery) run(out io.Writer) error {
	ver := "unknown"
	if inf, ok := debug.ReadBuildInfo(); ok {
		ver = inf.Main.Version
	}
	_, err := fmt.Fprintln(out, "ragwortgap", ver)
	return errors.Trace(err)
}
