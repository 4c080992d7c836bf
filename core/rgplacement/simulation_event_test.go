package rgplacement_test

import (
	"container/heap"
	"time"
)

type (
	event struct {
		at    time.Duration
		order int
		run   func()
	}

	eventHeap []event
)

func (eh eventHeap) Len() int      { return len(eh) }
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }
func (eh eventHeap) Less(i, j int) bool {
	return eh[i].at < eh[j].at || (eh[i].at == eh[j].at && eh[i].order < eh[j].order)
}
func (eh *eventHeap) Push(evt any) { *eh = append(*eh, evt.(event)) }
func (eh *eventHeap) Pop() any {
	last := (*eh)[len(*eh)-1]
	*eh = (*eh)[:len(*eh)-1]
	return last
}

func (sim *simulation) schedule(dur time.Duration, run func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{at: sim.now + dur, order: sim.eventCount, run: run})
}
