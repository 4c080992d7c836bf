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

// release is when a run is expected to free its cores.
type release struct {
	at    time.Duration
	cores float64
}

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
	return slices.ContainsFunc(sta.Queue, func(wrk Work) bool { return wrk.Link == id })
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
	return true
}

// waits plays the queue forward by the expected ends of runs.
func waits(sta *State, now time.Time) []time.Duration {
	var rels []release
	typical, count := 0.0, 0
	for _, run := range sta.Runs {
		exp := expected(sta, run.Work)
		// A run that is over its expected time ends soon, but nobody knows when.
		left := max(exp-now.Sub(run.Started), exp/8)
		rels = append(rels, release{at: left, cores: run.Work.Needs.Cores})
		typical, count = typical+run.Work.Needs.Cores, count+1
	}
	slices.SortFunc(rels, func(one, two release) int { return int(one.at - two.at) })
	free := room(sta).Cores - Used(sta).Cores
	at := time.Duration(0)
	take := func(cores float64) {
		for free < cores && len(rels) > 0 {
			at = max(at, rels[0].at)
			free += rels[0].cores
			rels = rels[1:]
		}
	}
	mean := float64(defaultTypicalCores)
	if count > 0 {
		mean = typical / float64(count)
	}
	slacks := rgmodel.WaitSlacks
	wts := make([]time.Duration, 0, len(slacks)+1)
	for _, wrk := range sta.Queue {
		slack := latestStart(sta, wrk).Sub(now)
		for len(wts) < len(slacks) && (slack < 0 || slack > slacks[len(wts)]) {
			wts = append(wts, probe(rels, free, at, mean))
		}
		take(wrk.Needs.Cores)
		free -= wrk.Needs.Cores
		rel := release{at: at + expected(sta, wrk), cores: wrk.Needs.Cores}
		pos, _ := slices.BinarySearchFunc(rels, rel, func(one, two release) int { return int(one.at - two.at) })
		rels = slices.Insert(rels, pos, rel)
	}
	for len(wts) <= len(slacks) {
		wts = append(wts, probe(rels, free, at, mean))
	}
	return wts
}

// probe returns when the cores are free, without taking them.
func probe(rels []release, free float64, at time.Duration, cores float64) time.Duration {
	for i := 0; free < cores && i < len(rels); i++ {
		at = max(at, rels[i].at)
		free += rels[i].cores
	}
	return at.Round(time.Millisecond)
}
