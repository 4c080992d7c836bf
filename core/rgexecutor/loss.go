package rgexecutor

type (
	// lossCause is the way in which the sidecar lost control of an incarnation of its executor.
	lossCause interface{ isLossCause() }

	// lossReplaced means that an executor with another id has reported or replied. That says nothing about the runs of the earlier one.
	lossReplaced struct{}

	// lossRestarted means that the executor has restarted with the same id. The new incarnation may carry out start orders that
	// were sent to the previous one.
	lossRestarted struct{}

	// lossStartTimeLearned means that a reply names a start time, and none was known before. It may be that of the same incarnation or of
	// the next one.
	lossStartTimeLearned struct{}

	// lossLeaseExpired means that every lease has expired, so that all runs have ended.
	lossLeaseExpired struct{}

	// lossFenced means that the executor has seen a higher fencing token, of this or another sidecar process, and that runs go on.
	lossFenced struct{}
)

func (lossReplaced) isLossCause()         {}
func (lossRestarted) isLossCause()        {}
func (lossStartTimeLearned) isLossCause() {}
func (lossLeaseExpired) isLossCause()     {}
func (lossFenced) isLossCause()           {}

// lossName returns the name of the cause for logs and metrics.
func lossName(los lossCause) string {
	switch los.(type) {
	case lossReplaced:
		return "replaced"
	case lossRestarted:
		return "restarted"
	case lossStartTimeLearned:
		return "identified"
	case lossLeaseExpired:
		return "leaseExpired"
	case lossFenced:
		return "fenced"
	default:
		return "unknown"
	}
}

// mayStillRun reports whether the run may go on after the loss.
func mayStillRun(los lossCause, run *Run) bool {
	switch los.(type) {
	case lossReplaced, lossStartTimeLearned, lossFenced:
		return true
	case lossRestarted:
		return mayStartLate(run)
	default:
		return false
	}
}

// mayStartLate reports whether a start order of the run is possibly on its way, so that the next incarnation with the same id may carry
// it out: the last one, if the known incarnation has not confirmed it, or an earlier one without a reply.
func mayStartLate(run *Run) bool {
	return !run.StartConfirmed || run.AcceptedTask.UnrefusedStarts > 1
}
