package rgroom

import (
	"math"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// crowded is the used part of the room above which a task that arrives now may have to wait.
	crowded = 0.6
	// stretchDigits is the precision of a reported stretch. More digits only make reports longer.
	stretchDigits = 1000
)

// report returns what entries need to know to place tasks here.
func report(sta *State, now time.Time) *rgmodel.RoomReport {
	rep := &rgmodel.RoomReport{
		Used:    Used(sta),
		Room:    room(sta),
		Usable:  Usable(sta, now),
		Stretch: math.Round(stretchDigits*sta.Stretch) / stretchDigits,
	}
	if rep.Usable && (len(sta.Queue) > 0 || rep.Used.Cores > crowded*rep.Room.Cores) {
		rep.Waits = waits(sta, now)
	}
	return rep
}

// hasWork says whether a task of the entry runs or waits.
func hasWork(sta *State, id LinkID) bool {
	match := func(wrk Work) bool { return wrk.Link == id }
	return mayRun(sta, match) || slices.ContainsFunc(sta.Queue, match)
}

// isCleared says whether no run is left that the entry has placed on an earlier connection.
func isCleared(sta *State, id LinkID) bool {
	return sta.Phase != PhaseFencing &&
		!mayRun(sta, func(wrk Work) bool { return wrk.Link != id && sta.Links[wrk.Link] == nil })
}

// mayRun says whether a task that matches runs, or may be running out of control.
func mayRun(sta *State, match func(Work) bool) bool {
	for _, run := range sta.Runs {
		if match(run.Work) {
			return true
		}
	}
	return slices.ContainsFunc(sta.Doubts, func(dbt Doubt) bool { return match(dbt.Work) })
}
