package rgcli

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// receiveHangups returns a channel that receives the SIGHUPs of the process until it exits. Several that arrive before one is received
// count as one. The default action is never restored, because it ends the process at once and cuts the requests in progress. A
// process calls it before it reads its settings, so that no change of them is missed.
func receiveHangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// logHangups logs each SIGHUP until done is closed. A process of the product's own interface has nothing else to do: its settings are
// in force until it exits, and the files that may change are read periodically.
func logHangups(done <-chan struct{}, hup <-chan os.Signal, log *zap.Logger) {
	for {
		select {
		case <-hup:
			log.Info("SIGHUP received, settings stay in force, certificates and keys are read periodically")
		case <-done:
			return
		}
	}
}
