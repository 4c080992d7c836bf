package rgexecutor

import (
	"math"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// crowded is the used fraction of the allocatable cores above which a task that arrives now may have to wait.
	crowded = 0.6
	// slowdownDigits is the precision of a reported slowdown. More digits only make reports longer.
	slowdownDigits = 1000
)

// report returns what entries need to know to place tasks here.
func report(sta *State, now time.Time) *rgmodel.ExecutorReport {
	rep := &rgmodel.ExecutorReport{
		Used:        Used(sta),
		Allocatable: allocatable(sta),
		Usable:      Usable(sta, now),
		Slowdown:    math.Round(slowdownDigits*sta.Slowdown) / slowdownDigits,
	}
	if rep.Usable && (len(sta.Queue) > 0 || rep.Used.Cores > crowded*rep.Allocatable.Cores) {
		rep.ExpectedWaits = waits(sta, now)
	}
	return rep
}

// hasWork says whether a task of the entry runs or waits.
func hasWork(sta *State, id ConnID) bool {
	match := func(asg Assignment) bool { return asg.Conn == id }
	return mayRun(sta, match) || slices.ContainsFunc(sta.Queue, match)
}

// isCleared says whether no run is left that the entry has placed on an earlier connection.
func isCleared(sta *State, id ConnID) bool {
	return sta.Phase != PhaseFencing &&
		!mayRun(sta, func(asg Assignment) bool { return asg.Conn != id && sta.Conns[asg.Conn] == nil })
}

// mayRun says whether a task that matches runs, or may be running out of control.
func mayRun(sta *State, match func(Assignment) bool) bool {
	for _, run := range sta.Runs {
		if match(run.Assignment) {
			return true
		}
	}
	return slices.ContainsFunc(sta.Orphans, func(orp OrphanedTask) bool { return match(orp.Assignment) })
}
