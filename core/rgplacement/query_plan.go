package rgplacement

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

type finish struct {
	index int
	at    time.Duration
}

// finishHeap orders candidates by expected finish time, then by position.
type finishHeap []finish

func (fh finishHeap) Len() int      { return len(fh) }
func (fh finishHeap) Swap(i, j int) { fh[i], fh[j] = fh[j], fh[i] }
func (fh finishHeap) Less(i, j int) bool {
	if fh[i].at != fh[j].at {
		return fh[i].at < fh[j].at
	}
	return fh[i].index < fh[j].index
}

// Push is called by container/heap only.
func (fh *finishHeap) Push(elm any) { *fh = append(*fh, elm.(finish)) }

// Pop is called by container/heap only.
func (fh *finishHeap) Pop() any {
	old := *fh
	lst := old[len(old)-1]
	*fh = old[:len(old)-1]
	return lst
}

// Plan distributes the tasks over the candidates by the policy and returns no share without tasks.
// The result is empty when there are no candidates.
func Plan(pol Policy, cans []Candidate, tasks int, rnd *rand.Rand) []Share {
	if len(cans) == 0 {
		return nil
	}
	counts := make([]int, len(cans))
	switch pol.(type) {
	case Random:
		for range tasks {
			counts[rnd.IntN(len(cans))]++
		}
	case LeastFinish:
		leastFinish(cans, counts, tasks, rnd)
	}
	var shas []Share
	for i, cnt := range counts {
		if cnt > 0 {
			shas = append(shas, Share{Sidecar: cans[i].Sidecar, Tasks: cnt})
		}
	}
	return shas
}

// leastFinish starts from a random order, so that entries with the same view do not all prefer the same sidecar.
func leastFinish(cans []Candidate, counts []int, tasks int, rnd *rand.Rand) {
	order := rnd.Perm(len(cans))
	fins := make(finishHeap, len(cans))
	for pos, idx := range order {
		fins[pos] = finish{index: pos, at: expectedFinish(cans[idx], 0)}
	}
	heap.Init(&fins)
	for range tasks {
		pos := fins[0].index
		idx := order[pos]
		counts[idx]++
		fins[0].at = expectedFinish(cans[idx], counts[idx])
		heap.Fix(&fins, 0)
	}
}

// expectedFinish is when one more task would finish if the candidate already had the extra tasks.
func expectedFinish(can Candidate, extra int) time.Duration {
	slots := max(1, can.Slots)
	ahead := can.Load + extra
	wait := float64(0)
	if ahead >= slots {
		wait = float64(ahead-slots+1) / float64(slots)
	}
	wgt := can.Weight
	if wgt <= 0 {
		wgt = 1
	}
	return can.Distance + time.Duration((1+wait)*float64(can.ServiceTime)/wgt)
}
