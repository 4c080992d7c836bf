package rgqueue

// waitingHeap orders the tasks of one flow by urgency, then deadline, then arrival.
type waitingHeap []QueuedTask

func (wh waitingHeap) Len() int { return len(wh) }

func (wh waitingHeap) Swap(i, j int) { wh[i], wh[j] = wh[j], wh[i] }

func (wh waitingHeap) Less(i, j int) bool {
	fst, snd := wh[i], wh[j]
	switch {
	case fst.Urgency != snd.Urgency:
		return fst.Urgency > snd.Urgency
	case !fst.Deadline.Equal(snd.Deadline):
		return fst.Deadline.Before(snd.Deadline)
	default:
		return fst.Arrival < snd.Arrival
	}
}

// Push is called by container/heap only.
func (wh *waitingHeap) Push(elm any) {
	*wh = append(*wh, elm.(QueuedTask))
}

// Pop is called by container/heap only.
func (wh *waitingHeap) Pop() any {
	old := *wh
	qt := old[len(old)-1]
	old[len(old)-1] = QueuedTask{}
	*wh = old[:len(old)-1]
	return qt
}
