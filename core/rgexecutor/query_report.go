package rgexecutor

import (
	"math"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// busyFraction is the used fraction of the allocatable cores above which a task that arrives now may have to wait.
	busyFraction = 0.6
	// slowdownScale rounds a reported slowdown to three decimals. More digits would only make reports longer.
	slowdownScale = 1000
)

// newReport returns the load report that entries need to place tasks here.
func newReport(sta *State, now time.Time) *rgmodel.ExecutorReport {
	rep := &rgmodel.ExecutorReport{
		Used:        Used(sta),
		Allocatable: allocatable(sta),
		Usable:      Usable(sta, now),
		Slowdown:    math.Round(slowdownScale*sta.Slowdown) / slowdownScale,
		Evacuation:  evacuationProgress(sta),
	}
	if rep.Usable && (len(sta.Queue) > 0 || rep.Used.Cores > busyFraction*rep.Allocatable.Cores) {
		rep.ExpectedWaits = expectedWaits(sta, now)
	}
	return rep
}

// hasTasks reports whether a task that was placed on the connection is queued or may be running.
func hasTasks(sta *State, id EntryConnID) bool {
	match := func(act AcceptedTask) bool { return act.Conn == id }
	return mayRun(sta, match) || slices.ContainsFunc(sta.Queue, match)
}

// DrainedConns returns the drained connections over which no placement can arrive any more and that have no tasks.
func DrainedConns(sta *State, now time.Time) []EntryConnID {
	var ids []EntryConnID
	for id, con := range sta.Conns {
		if con.Draining && !con.DrainReported.IsZero() && now.Sub(con.DrainReported) >= connDrainTime && !hasTasks(sta, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// earlierRunsEnded reports whether all runs that were placed on connections closed by now have ended. A process that has not
// controlled an executor yet knows nothing of the runs that an earlier process has started.
func earlierRunsEnded(sta *State, now time.Time, id EntryConnID) bool {
	return sta.HadControl && sta.Phase != PhaseFencing && len(sta.UntrackedRuns) == 0 && !now.Before(sta.UntrackedUntil) &&
		!mayRun(sta, func(act AcceptedTask) bool { return act.Conn != id && sta.Conns[act.Conn] == nil })
}

// Description returns the description of the known incarnation, or the zero value if there is none.
func Description(sta *State) rgmodel.Executor {
	if sta.Phase == PhaseNoExecutor || sta.Undescribed {
		return rgmodel.Executor{}
	}
	return sta.Executor
}

// HasRuns reports whether a task of any entry may be running.
func HasRuns(sta *State) bool { return len(sta.Runs) > 0 || len(sta.Orphans) > 0 }

// mayRun reports whether a matching task runs or, as an orphan, may still run.
func mayRun(sta *State, match func(AcceptedTask) bool) bool {
	for _, run := range sta.Runs {
		if match(run.AcceptedTask) {
			return true
		}
	}
	return slices.ContainsFunc(sta.Orphans, func(orp OrphanedTask) bool { return match(orp.AcceptedTask) })
}
