package rgexecutor

import "time"

const (
	// hungFactor and hungMargin determine when a run is considered hung: after hungFactor times its expected run time plus
	// hungMargin. Estimates are off by up to 40 % either way.
	hungFactor = 4
	hungMargin = 300 * time.Millisecond
	// slowFactor replaces hungFactor while other runs of the executor succeed. Three of a hundred tasks take seven times as long as
	// estimated, and would take as long again elsewhere.
	slowFactor = 10
)

// isHung reports whether a run takes so long that it is considered hung. If other runs have succeeded since it was started, the executor
// works, so that it is more likely that the task itself is slow.
func isHung(sta *State, now time.Time, run *Run) bool {
	if run.State != RunRunning {
		return false
	}
	fac := time.Duration(hungFactor)
	if sta.Health.LastSuccess.After(run.Started) {
		fac = slowFactor
	}
	return now.Sub(run.Started) > fac*expectedRunTime(sta, run.AcceptedTask)+hungMargin
}
