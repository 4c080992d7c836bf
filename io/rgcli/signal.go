package rgcli

import (
	"os"
	"os/signal"
	"syscall"
)

// receiveHangups returns a channel that receives the SIGHUPs of the process until it exits. Several that arrive before one is received
// count as one. The default action is never restored, because it ends the process at once and cuts the requests in progress. A
// process calls it before it reads its settings, so that no change of them is missed.
func receiveHangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}
