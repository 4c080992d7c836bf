package rgexecutor

type (
	// loss is the way in which the sidecar lost control of an incarnation of its executor.
	loss interface{ isLoss() }

	// lossEnded means that all runs of the incarnation have ended and that it carries out no further orders.
	lossEnded struct{}

	// lossRestarted means that the executor may have restarted with the same id. The new incarnation may carry out start
	// orders that were sent to the previous one.
	lossRestarted struct{}

	// lossFenced means that another sidecar process controls the executor and that runs go on.
	lossFenced struct{}
)

func (lossEnded) isLoss()     {}
func (lossRestarted) isLoss() {}
func (lossFenced) isLoss()    {}

// mayStillRun reports whether the run may go on after the loss.
func mayStillRun(los loss, run *Run) bool {
	switch los.(type) {
	case lossFenced:
		return true
	case lossRestarted:
		return !run.StartConfirmed
	default:
		return false
	}
}
