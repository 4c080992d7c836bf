package rgplacement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// finishTolerance is the fraction of a job's expected finish time that is given up for fewer messages. Learned
// service times are means of tasks that differ by more than that.
const finishTolerance = 1.0 / 16

// SampleSize returns how many candidates a job needs at most, so that the cost of a plan does not grow with the fleet.
func SampleSize(tasks int) int {
	return max(minCandidates, tasks)
}

// Plan distributes the tasks over the candidates by the policy and returns no assignment without tasks.
// The result is empty when there are no candidates. Equal candidates are preferred in the given order.
func Plan(pol Policy, cans []Candidate, tasks int, rnd *rand.Rand) Placement {
	if len(cans) == 0 || tasks <= 0 {
		return Placement{}
	}
	switch pol := pol.(type) {
	case Random:
		return Placement{Assignments: scatter(cans, tasks, rnd)}
	case PowerOfChoices:
		cans = draw(cans, tasks*choices(pol.Choices), rnd)
		return Placement{Assignments: earliestFinish(cans, tasks), Probes: len(cans)}
	case LateBinding:
		return Placement{Assignments: spread(cans, tasks*choices(pol.Choices), rnd), Reservations: true}
	case EarliestFinish:
		return Placement{Assignments: earliestFinish(cans, tasks)}
	default:
		return Placement{}
	}
}

func choices(num int) int {
	if num <= 0 {
		return DefaultChoices
	}
	return num
}

func scatter(cans []Candidate, tasks int, rnd *rand.Rand) []Assignment {
	counts := make([]int, len(cans))
	for range tasks {
		counts[rnd.IntN(len(cans))]++
	}
	return assignments(cans, counts)
}

// spread gives out the places in equal numbers, in a random order.
func spread(cans []Candidate, places int, rnd *rand.Rand) []Assignment {
	cans = draw(cans, places, rnd)
	counts := make([]int, len(cans))
	for i := range counts {
		counts[i] = places / len(cans)
		if i < places%len(cans) {
			counts[i]++
		}
	}
	return assignments(cans, counts)
}

// draw returns up to num distinct candidates in random order.
func draw(cans []Candidate, num int, rnd *rand.Rand) []Candidate {
	drawn := make([]Candidate, 0, min(num, len(cans)))
	for _, idx := range rnd.Perm(len(cans))[:min(num, len(cans))] {
		drawn = append(drawn, cans[idx])
	}
	return drawn
}

func assignments(cans []Candidate, counts []int) []Assignment {
	var asgs []Assignment
	for i, cnt := range counts {
		if cnt > 0 {
			asgs = append(asgs, Assignment{Sidecar: cans[i].Sidecar, Tasks: cnt})
		}
	}
	return asgs
}

// earliestFinish finds by bisection the least time by which the candidates together finish all tasks, and fills those
// that finish the most tasks by then. A job's answer needs all tasks, so that finishing one of them earlier gains
// nothing.
func earliestFinish(cans []Candidate, tasks int) []Assignment {
	low, high := bounds(cans, tasks)
	for high-low > max(1, time.Duration(finishTolerance*float64(low))) {
		mid := low + (high-low)/2
		if enough(cans, tasks, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	type filled struct{ index, tasks int }
	var fils []filled
	for i, can := range cans {
		if cnt := finished(can, tasks, high); cnt > 0 {
			fils = append(fils, filled{index: i, tasks: cnt})
		}
	}
	slices.SortStableFunc(fils, func(fst, snd filled) int { return cmp.Compare(snd.tasks, fst.tasks) })
	var asgs []Assignment
	for _, fil := range fils {
		if tasks == 0 {
			break
		}
		cnt := min(fil.tasks, tasks)
		tasks -= cnt
		asgs = append(asgs, Assignment{Sidecar: cans[fil.index].Sidecar, Tasks: cnt})
	}
	return asgs
}

// bounds returns a time by which no task finishes, or only just, and one by which a single candidate finishes all.
func bounds(cans []Candidate, tasks int) (time.Duration, time.Duration) {
	low, high := expectedFinish(cans[0], 1), expectedFinish(cans[0], tasks)
	for _, can := range cans[1:] {
		low = min(low, expectedFinish(can, 1))
		high = min(high, expectedFinish(can, tasks))
	}
	return low, high
}

func enough(cans []Candidate, tasks int, at time.Duration) bool {
	for _, can := range cans {
		tasks -= finished(can, tasks, at)
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// expectedFinish is when the last of the tasks would finish if the candidate got them now.
// They wait for all tasks there, or for the flow's own ones at its fair share of the slots, whichever is less. The
// flow's running tasks count because fair queueing has charged for them.
func expectedFinish(can Candidate, tasks int) time.Duration {
	slots := max(1, can.Slots)
	wait := float64(0)
	if can.Load+tasks > slots {
		more := float64(tasks-1) * float64(can.ServiceTime)
		wait = min(float64(can.RunningTime+can.QueuedTime)+more, nextSlot(can)+(float64(can.OwnTime)+more)/share(can)) / float64(slots)
	}
	// The added nanosecond keeps finished from losing a task to rounding.
	return can.RoundTrip + time.Duration((wait+float64(can.ServiceTime))/weight(can)) + 1
}

// finished is the largest number of tasks, up to the limit, whose expected finish is not after the given time.
func finished(can Candidate, limit int, at time.Duration) int {
	slots := max(1, can.Slots)
	wait := float64(at-can.RoundTrip)*weight(can) - float64(can.ServiceTime)
	if wait < 0 {
		return 0
	}
	if can.ServiceTime <= 0 {
		return limit
	}
	cnt := max(0, slots-can.Load)
	spare := wait * float64(slots)
	if more := max(spare-float64(can.RunningTime+can.QueuedTime), (spare-nextSlot(can))*share(can)-float64(can.OwnTime)); more >= 0 {
		cnt = max(cnt, 1+int(more/float64(can.ServiceTime)))
	}
	return min(limit, cnt)
}

// nextSlot is the service time that all slots give until the first of them becomes free.
func nextSlot(can Candidate) float64 {
	return float64(can.RunningTime) / float64(max(1, can.Slots))
}

func share(can Candidate) float64 {
	if can.FairShare <= 0 {
		return 1
	}
	return can.FairShare
}

func weight(can Candidate) float64 {
	if can.Weight <= 0 {
		return 1
	}
	return can.Weight
}
