package rgdispatch

import (
	"container/heap"
	"time"
)

type (
	// timedEvent is an action at a time; actions of the same time are performed in the order in which they were scheduled.
	timedEvent struct {
		at     time.Time
		number uint64
		action func()
	}

	eventHeap []timedEvent
)

func (evs eventHeap) Len() int { return len(evs) }
func (evs eventHeap) Less(i, j int) bool {
	return evs[i].at.Before(evs[j].at) || evs[i].at.Equal(evs[j].at) && evs[i].number < evs[j].number
}
func (evs eventHeap) Swap(i, j int) { evs[i], evs[j] = evs[j], evs[i] }
func (evs *eventHeap) Push(evt any) { *evs = append(*evs, evt.(timedEvent)) }
func (evs *eventHeap) Pop() any {
	old := *evs
	last := old[len(old)-1]
	*evs = old[:len(old)-1]
	return last
}

func (con *contention) after(dur time.Duration, action func()) {
	con.number++
	heap.Push(&con.events, timedEvent{at: con.now.Add(dur), number: con.number, action: action})
}

func (con *contention) run(until time.Time) {
	for len(con.events) > 0 && con.events[0].at.Before(until) {
		evt := heap.Pop(&con.events).(timedEvent)
		con.now = evt.at
		evt.action()
	}
	con.now = until
}
