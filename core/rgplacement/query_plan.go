package rgplacement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// finishTolerance is how much later than possible a job may be expected to finish, as a fraction, in order to save
// messages. Learned service times are means over tasks that differ by more than that.
const finishTolerance = 1.0 / 16

// SampleSize returns the largest number of candidates for a job. It bounds the cost of Distribute in a large fleet.
func SampleSize(tasks int) int {
	return max(minCandidates, tasks)
}

// Distribute distributes the tasks over the candidates according to the policy. No assignment in the result is empty.
// The result is empty if there are no candidates. Among equal candidates, earlier ones are preferred.
func Distribute(pol Policy, cans []Candidate, tasks int, rnd *rand.Rand) JobPlacement {
	if len(cans) == 0 || tasks <= 0 {
		return JobPlacement{}
	}
	switch pol := pol.(type) {
	case Random:
		return JobPlacement{Assignments: assignRandomly(cans, tasks, rnd)}
	case PowerOfChoices:
		cans = sampleCandidates(cans, tasks*effectiveChoices(pol.Choices), rnd)
		return JobPlacement{Assignments: earliestFinish(cans, tasks), Probes: len(cans)}
	case LateBinding:
		return JobPlacement{Assignments: spreadEvenly(cans, tasks*effectiveChoices(pol.Choices), rnd), Reservations: true}
	case EarliestFinish:
		return JobPlacement{Assignments: earliestFinish(cans, tasks)}
	default:
		return JobPlacement{}
	}
}

func effectiveChoices(num int) int {
	if num <= 0 {
		return DefaultChoices
	}
	return num
}

func assignRandomly(cans []Candidate, tasks int, rnd *rand.Rand) []Assignment {
	counts := make([]int, len(cans))
	for range tasks {
		counts[rnd.IntN(len(cans))]++
	}
	return assignments(cans, counts)
}

// spreadEvenly distributes the reservations evenly over the candidates, in random order.
func spreadEvenly(cans []Candidate, reservations int, rnd *rand.Rand) []Assignment {
	cans = sampleCandidates(cans, reservations, rnd)
	counts := make([]int, len(cans))
	for i := range counts {
		counts[i] = reservations / len(cans)
		if i < reservations%len(cans) {
			counts[i]++
		}
	}
	return assignments(cans, counts)
}

// sampleCandidates returns up to num distinct random candidates.
func sampleCandidates(cans []Candidate, num int, rnd *rand.Rand) []Candidate {
	sample := make([]Candidate, 0, min(num, len(cans)))
	for _, idx := range rnd.Perm(len(cans))[:min(num, len(cans))] {
		sample = append(sample, cans[idx])
	}
	return sample
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

// earliestFinish finds by bisection the earliest time by which the candidates together finish all tasks. It then assigns
// tasks to the candidates that finish the most tasks by that time. An answer needs all tasks of the job, so finishing some
// of them earlier has no advantage.
func earliestFinish(cans []Candidate, tasks int) []Assignment {
	low, high := finishBounds(cans, tasks)
	for high-low > max(1, time.Duration(finishTolerance*float64(low))) {
		mid := low + (high-low)/2
		if canFinish(cans, tasks, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	type finishable struct{ index, tasks int }
	var fins []finishable
	for i, can := range cans {
		if cnt := finishedTasks(can, tasks, high); cnt > 0 {
			fins = append(fins, finishable{index: i, tasks: cnt})
		}
	}
	slices.SortStableFunc(fins, func(fst, snd finishable) int { return cmp.Compare(snd.tasks, fst.tasks) })
	var asgs []Assignment
	for _, fin := range fins {
		if tasks == 0 {
			break
		}
		cnt := min(fin.tasks, tasks)
		tasks -= cnt
		asgs = append(asgs, Assignment{Sidecar: cans[fin.index].Sidecar, Tasks: cnt})
	}
	return asgs
}

// finishBounds returns the earliest expected finish of a single task, and a time by which one candidate alone finishes
// all tasks.
func finishBounds(cans []Candidate, tasks int) (time.Duration, time.Duration) {
	low, high := expectedFinish(cans[0], 1), expectedFinish(cans[0], tasks)
	for _, can := range cans[1:] {
		low = min(low, expectedFinish(can, 1))
		high = min(high, expectedFinish(can, tasks))
	}
	return low, high
}

func canFinish(cans []Candidate, tasks int, at time.Duration) bool {
	for _, can := range cans {
		tasks -= finishedTasks(can, tasks, at)
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// expectedFinish returns the time until the last of the tasks would finish if the candidate got them now.
// The tasks wait either for all tasks on the sidecar, or for the tasks of their own flow at its fair share of the slots,
// whichever takes less time. The running tasks of the flow count because fair queueing has already charged for them.
func expectedFinish(can Candidate, tasks int) time.Duration {
	slots := max(1, can.Slots)
	wait := float64(0)
	if can.Load+tasks > slots {
		more := float64(tasks-1) * float64(can.ServiceTime)
		wait = min(float64(can.RunningTime+can.QueuedTime)+more,
			nextFreeSlot(can)+(float64(can.FlowTime)+more)/fairShare(can)) / float64(slots)
	}
	// The added nanosecond compensates for rounding. Without it, finishedTasks could return one task too few.
	return can.RoundTrip + time.Duration((wait+float64(can.ServiceTime))/effectiveWeight(can)) + 1
}

// finishedTasks returns the largest number of tasks, up to the limit, whose expected finish is not after the given time.
func finishedTasks(can Candidate, limit int, at time.Duration) int {
	slots := max(1, can.Slots)
	wait := float64(at-can.RoundTrip)*effectiveWeight(can) - float64(can.ServiceTime)
	if wait < 0 {
		return 0
	}
	if can.ServiceTime <= 0 {
		return limit
	}
	cnt := max(0, slots-can.Load)
	spare := wait * float64(slots)
	if more := max(spare-float64(can.RunningTime+can.QueuedTime),
		(spare-nextFreeSlot(can))*fairShare(can)-float64(can.FlowTime)); more >= 0 {
		cnt = max(cnt, 1+int(more/float64(can.ServiceTime)))
	}
	return min(limit, cnt)
}

// nextFreeSlot returns the service time that all slots together provide until the first of them becomes free.
func nextFreeSlot(can Candidate) float64 {
	return float64(can.RunningTime) / float64(max(1, can.Slots))
}

func fairShare(can Candidate) float64 {
	if can.FairShare <= 0 {
		return 1
	}
	return can.FairShare
}

func effectiveWeight(can Candidate) float64 {
	if can.HealthWeight <= 0 {
		return 1
	}
	return can.HealthWeight
}
