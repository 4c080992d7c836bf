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
	for _, run := range sta.Runs {
		if run.Work.Link == id {
			return true
		}
	}
	return slices.ContainsFunc(sta.Queue, func(wrk Work) bool { return wrk.Link == id }) ||
		slices.ContainsFunc(sta.Doubts, func(dbt Doubt) bool { return dbt.Work.Link == id })
}

// isCleared says whether no run is left that the entry has placed on an earlier connection.
func isCleared(sta *State, id LinkID) bool {
	if sta.Phase == PhaseFencing {
		return false
	}
	for _, run := range sta.Runs {
		if run.Work.Link != id && sta.Links[run.Work.Link] == nil {
			return false
		}
	}
	return !slices.ContainsFunc(sta.Doubts, func(dbt Doubt) bool { return dbt.Work.Link != id && sta.Links[dbt.Work.Link] == nil })
}
