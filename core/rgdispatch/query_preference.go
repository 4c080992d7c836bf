package rgdispatch

import (
	"slices"
	"time"
)

const (
	// waitSpread is the part of an expected wait by which the actual one may be longer. Waits are sums of estimates, which are off by up
	// to 40 %.
	waitSpread = 0.4
	// maxPlaceWaits is how often a task may wait for a preferred place and be returned. After that it runs at a preferred place only if
	// that is free.
	maxPlaceWaits = 3
)

type (
	// PlaceEstimate describes what is expected of a task at a place.
	PlaceEstimate struct {
		// Wait is the expected time until the task starts, and Spread how much longer that may take.
		Wait, Spread time.Duration
		Run          time.Duration
	}

	// PlaceChoice is the choice between a preferred place and one elsewhere. The zero value means that no place is preferred.
	PlaceChoice struct {
		Preferred, Elsewhere PlaceEstimate
		// Load is the used fraction of the cores of all places elsewhere.
		Load float64
		// TimeLeft is the time until the end at which the job is still on time, and LateLeft until the end at which it is still worth
		// running.
		TimeLeft, LateLeft time.Duration
	}

	// placeGroups holds the candidates of a step. Preferred is empty if no place is preferred or all are.
	placeGroups struct {
		all, preferred, elsewhere []*candidate
	}

	// chosenPlace is the place of a task.
	chosenPlace struct {
		*candidate
		// wait is the expected wait.
		wait time.Duration
		// worthwhileWait is how long a wait for the place pays; zero means that the task does not wait for a preferred place.
		worthwhileWait time.Duration
		// maxQueueTime is the time in the queue of the place after which the task is returned; zero means no bound, because elsewhere the
		// job would then be too late.
		maxQueueTime time.Duration
	}
)

// WorthwhileWait returns how long it pays to wait for the preferred place instead of running elsewhere; zero if no place is preferred.
// Up to the gain, the task ends earlier after the wait. Beyond that, the wait saves the additional core time of a run elsewhere, which
// costs the other tasks the more, the fewer cores are idle. A wait must leave enough time to run elsewhere, so that a wait that does not
// pay off costs the caller no more than the wait.
func WorthwhileWait(chc PlaceChoice) time.Duration {
	additional := chc.Elsewhere.Run - chc.Preferred.Run
	if chc.Preferred.Run <= 0 || additional <= 0 {
		return 0
	}
	longestElsewhere := chc.Elsewhere.Wait + chc.Elsewhere.Spread + chc.Elsewhere.Run
	pays := chc.Elsewhere.Wait + additional + time.Duration(min(max(chc.Load, 0), 1)*float64(additional))
	if latest := time.Duration(softDeadlineFraction*float64(chc.TimeLeft)) - longestElsewhere; latest >= 0 {
		return min(pays, latest)
	}
	// Elsewhere, the job would be late. Any start at the preferred place that is on time is better.
	onTime := chc.TimeLeft - chc.Preferred.Run
	return max(pays, onTime)
}

// maxQueueTime returns the bound of the time that the task may be queued at the preferred place, if it waits there for that long at most.
// It is zero if the job would end too late elsewhere after the wait, so that a return could only cost the task its place in the queue.
func maxQueueTime(chc PlaceChoice, wait time.Duration) time.Duration {
	if wait+chc.Elsewhere.Wait+chc.Elsewhere.Spread+chc.Elsewhere.Run > chc.LateLeft {
		return 0
	}
	return wait
}

// groupByPlace divides the candidates of a step by its preferred label.
func groupByPlace(sta *State, stp Step, cnds []*candidate) placeGroups {
	grp := placeGroups{all: cnds}
	if stp.PreferredLabel == "" || sta.RemoteFactor <= 1 {
		return grp
	}
	for _, cnd := range cnds {
		if slices.Contains(cnd.sidecar.Executor.Labels, stp.PreferredLabel) {
			grp.preferred = append(grp.preferred, cnd)
		} else {
			grp.elsewhere = append(grp.elsewhere, cnd)
		}
	}
	return grp
}

// choosePlace chooses the best preferred place if it is free or the wait for it pays, and otherwise the best one elsewhere.
func choosePlace(
	now time.Time, jb *Job, stp Step, grp placeGroups, tsk *Task, allocated map[SidecarConnID]float64,
) chosenPlace {
	if len(grp.preferred) == 0 || len(grp.elsewhere) == 0 {
		cnd, wait := bestCandidate(now, jb, stp, grp.all, tsk, allocated)
		return chosenPlace{candidate: cnd, wait: wait}
	}
	pfr, wait := bestCandidate(now, jb, stp, grp.preferred, tsk, allocated)
	els, elsWait := bestCandidate(now, jb, stp, grp.elsewhere, tsk, allocated)
	switch {
	case pfr == nil || els != nil && tsk.AvoidedSidecars[pfr.sidecar.Name]:
		return chosenPlace{candidate: els, wait: elsWait}
	case els == nil || tsk.AvoidedSidecars[els.sidecar.Name]:
		return chosenPlace{candidate: pfr, wait: wait}
	}
	chc := PlaceChoice{
		Preferred: newPlaceEstimate(pfr, wait), Elsewhere: newPlaceEstimate(els, elsWait), Load: usedFraction(grp.elsewhere),
		TimeLeft: min(jb.SoftDeadline.Sub(now), jb.Deadline.Sub(now)/deadlineMargin), LateLeft: latestEndOnceAdmitted(jb).Sub(now),
	}
	bound := WorthwhileWait(chc)
	switch {
	case pfr.suitable && placeReturns(tsk) >= maxPlaceWaits:
		return chosenPlace{candidate: pfr, wait: wait}
	case pfr.suitable, placeReturns(tsk) < maxPlaceWaits && wait+chc.Preferred.Spread <= bound:
		return chosenPlace{candidate: pfr, wait: wait, worthwhileWait: bound, maxQueueTime: maxQueueTime(chc, bound)}
	default:
		return chosenPlace{candidate: els, wait: elsWait}
	}
}

func newPlaceEstimate(cnd *candidate, wait time.Duration) PlaceEstimate {
	return PlaceEstimate{Wait: wait, Spread: time.Duration(waitSpread * float64(wait)), Run: cnd.runTime + networkOverhead}
}

// usedFraction returns the used fraction of the cores of the candidates, after bestCandidate has counted their free cores.
func usedFraction(cnds []*candidate) float64 {
	free, total := 0.0, 0.0
	for _, cnd := range cnds {
		free += max(0, cnd.freeCores)
		total += cnd.sidecar.Report.Allocatable.Cores
	}
	if total <= 0 {
		return 1
	}
	return 1 - free/total
}

// placeReturns returns how often the task was returned by a preferred place.
func placeReturns(tsk *Task) int {
	if tsk.PlaceWait == nil {
		return 0
	}
	return tsk.PlaceWait.Returns
}
