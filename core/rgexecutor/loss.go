package rgexecutor

type (
	// loss is how the sidecar loses an incarnation of its executor.
	loss interface{ isLoss() }

	// lossEnded means that nothing of the incarnation goes on, and that no order to it is carried out any more.
	lossEnded struct{}

	// lossRestarted means that the executor may have started again under its id. It carries out starts then that were meant
	// for its last incarnation.
	lossRestarted struct{}

	// lossFenced means that another process is in control, and that runs go on.
	lossFenced struct{}
)

func (lossEnded) isLoss()     {}
func (lossRestarted) isLoss() {}
func (lossFenced) isLoss()    {}

// isDoubted says whether the run may go on after the loss.
func isDoubted(los loss, run *Run) bool {
	switch los.(type) {
	case lossFenced:
		return true
	case lossRestarted:
		return !run.StartConfirmed
	default:
		return false
	}
}
