package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

type (
	// release is the expected release of the cores of a run.
	release struct {
		// delay is the time from now until the release.
		delay time.Duration
		cores float64
	}

	// forecast predicts the starts of queued tasks from the expected ends of runs.
	forecast struct {
		releases []release
		free     float64
		// delay is the time from now until the task that was scheduled last starts.
		delay time.Duration
	}
)

func newForecast(sta *State, now time.Time) *forecast {
	fct := &forecast{free: allocatable(sta).Cores - Used(sta).Cores}
	for _, run := range sta.Runs {
		exp := expectedRunTime(sta, run.AcceptedTask)
		// A run that exceeds its expected run time is assumed to end soon.
		left := max(exp-now.Sub(run.Started), exp/8)
		fct.releases = append(fct.releases, release{delay: left, cores: run.AcceptedTask.Requires.Cores})
	}
	slices.SortFunc(fct.releases, func(one, two release) int { return int(one.delay - two.delay) })
	return fct
}

// schedule starts a task in the forecast as soon as its cores are free.
func (fct *forecast) schedule(sta *State, act AcceptedTask) {
	for fct.free < act.Requires.Cores && len(fct.releases) > 0 {
		fct.delay = max(fct.delay, fct.releases[0].delay)
		fct.free += fct.releases[0].cores
		fct.releases = fct.releases[1:]
	}
	fct.free -= act.Requires.Cores
	rel := release{delay: fct.delay + expectedRunTime(sta, act), cores: act.Requires.Cores}
	pos, _ := slices.BinarySearchFunc(fct.releases, rel, func(one, two release) int { return int(one.delay - two.delay) })
	fct.releases = slices.Insert(fct.releases, pos, rel)
}

// waitFor returns the time until the cores are free, without allocating them.
func (fct *forecast) waitFor(cores float64) time.Duration {
	delay, free := fct.delay, fct.free
	for i := 0; free < cores && i < len(fct.releases); i++ {
		delay = max(delay, fct.releases[i].delay)
		free += fct.releases[i].cores
	}
	return delay.Round(time.Millisecond)
}

// expectedWaits returns the expected wait of a task that arrives now, for each of the slack buckets and, as the last element,
// for a task whose end has no value any more.
func expectedWaits(sta *State, now time.Time) []time.Duration {
	fct := newForecast(sta, now)
	mean := meanCores(sta)
	slacks := rgmodel.SlackBuckets
	wts := make([]time.Duration, 0, len(slacks)+1)
	for _, act := range sta.Queue {
		at, useful := latestUsefulStart(sta, now, act)
		for len(wts) < len(slacks) && (!useful || at.Sub(now) > slacks[len(wts)]) {
			wts = append(wts, fct.waitFor(mean))
		}
		fct.schedule(sta, act)
	}
	for len(wts) <= len(slacks) {
		wts = append(wts, fct.waitFor(mean))
	}
	return wts
}

func meanCores(sta *State) float64 {
	if len(sta.Runs) == 0 {
		return defaultMeanCores
	}
	return Used(sta).Cores / float64(len(sta.Runs))
}

// expectedWait returns how long the task would wait if it were queued now.
func expectedWait(sta *State, now time.Time, act AcceptedTask) time.Duration {
	fct := newForecast(sta, now)
	for _, oth := range sta.Queue {
		if startsAfter(sta, now, oth, act) {
			break
		}
		fct.schedule(sta, oth)
	}
	return fct.waitFor(act.Requires.Cores)
}
