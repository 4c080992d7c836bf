package rgexecutor

type (
	// lossCause is the way in which the sidecar lost control of an incarnation of its executor.
	lossCause interface{ isLossCause() }

	// lossEnded means that all runs have ended and that orders sent before the loss are not carried out.
	lossEnded struct{}

	// lossRestarted means that the executor may have restarted with the same id. The new incarnation may carry out start
	// orders that were sent to the previous one.
	lossRestarted struct{}

	// lossFenced means that the executor has seen a higher fencing token, of this or another sidecar process, and that runs go on.
	lossFenced struct{}
)

func (lossEnded) isLossCause()     {}
func (lossRestarted) isLossCause() {}
func (lossFenced) isLossCause()    {}

// mayStillRun reports whether the run may go on after the loss.
func mayStillRun(los lossCause, run *Run) bool {
	switch los.(type) {
	case lossFenced:
		return true
	case lossRestarted:
		return !run.StartConfirmed
	default:
		return false
	}
}
