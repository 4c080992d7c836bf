package rgcli

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// handleServiceSignals takes the default action from the signals that would end a process at once and cut the requests in progress. A
// process that serves calls it before it reads its settings, so that no change of them is missed, and nothing restores the default
// actions until the process exits.
//
// The channel receives the SIGHUPs. Several that arrive before one is received count as one. SIGPIPE, which a write to the log raises
// when the reader of the log has gone, is ignored.
func handleServiceSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
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
