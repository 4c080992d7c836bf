package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

type (
	// release is when a run is expected to free its cores.
	release struct {
		at    time.Duration
		cores float64
	}

	// forecast plays the queue forward by the expected ends of runs.
	forecast struct {
		releases []release
		free     float64
		at       time.Duration
	}
)

func newForecast(sta *State, now time.Time) *forecast {
	fct := &forecast{free: allocatable(sta).Cores - Used(sta).Cores}
	for _, run := range sta.Runs {
		exp := expected(sta, run.Assignment)
		// A run that is over its expected time ends soon, but nobody knows when.
		left := max(exp-now.Sub(run.Started), exp/8)
		fct.releases = append(fct.releases, release{at: left, cores: run.Assignment.Needs.Cores})
	}
	slices.SortFunc(fct.releases, func(one, two release) int { return int(one.at - two.at) })
	return fct
}

// start lets a task start as soon as its cores are free.
func (fct *forecast) start(sta *State, asg Assignment) {
	for fct.free < asg.Needs.Cores && len(fct.releases) > 0 {
		fct.at = max(fct.at, fct.releases[0].at)
		fct.free += fct.releases[0].cores
		fct.releases = fct.releases[1:]
	}
	fct.free -= asg.Needs.Cores
	rel := release{at: fct.at + expected(sta, asg), cores: asg.Needs.Cores}
	pos, _ := slices.BinarySearchFunc(fct.releases, rel, func(one, two release) int { return int(one.at - two.at) })
	fct.releases = slices.Insert(fct.releases, pos, rel)
}

// wait returns when the cores are free, without taking them.
func (fct *forecast) wait(cores float64) time.Duration {
	at, free := fct.at, fct.free
	for i := 0; free < cores && i < len(fct.releases); i++ {
		at = max(at, fct.releases[i].at)
		free += fct.releases[i].cores
	}
	return at.Round(time.Millisecond)
}

// waits returns for each of the slacks how long a task that arrives now would wait, and last how long one that is late in
// any case would.
func waits(sta *State, now time.Time) []time.Duration {
	fct := newForecast(sta, now)
	mean := typicalCores(sta)
	slacks := rgmodel.SlackBuckets
	wts := make([]time.Duration, 0, len(slacks)+1)
	for _, asg := range sta.Queue {
		slack := latestStart(sta, asg).Sub(now)
		for len(wts) < len(slacks) && (slack < 0 || slack > slacks[len(wts)]) {
			wts = append(wts, fct.wait(mean))
		}
		fct.start(sta, asg)
	}
	for len(wts) <= len(slacks) {
		wts = append(wts, fct.wait(mean))
	}
	return wts
}

func typicalCores(sta *State) float64 {
	if len(sta.Runs) == 0 {
		return defaultTypicalCores
	}
	return Used(sta).Cores / float64(len(sta.Runs))
}

// waitOf returns how long the task would wait if it were queued now.
func waitOf(sta *State, now time.Time, asg Assignment) time.Duration {
	fct := newForecast(sta, now)
	for _, oth := range sta.Queue {
		if behind(sta, now, oth, asg) {
			break
		}
		fct.start(sta, oth)
	}
	return fct.wait(asg.Needs.Cores)
}
