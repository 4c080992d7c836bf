// Command ragwortgap dispatches jobs, which consist of sub-second tasks, to upstreams.
package main

import (
	"os"

	"ragwortgap/io/rgcli"
)

func main() {
	os.Exit(rgcli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
