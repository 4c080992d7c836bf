package rgqueue

// taskHeap orders the tasks of one flow by urgency, then deadline, then arrival.
type taskHeap []QueuedTask

func (th taskHeap) Len() int { return len(th) }

func (th taskHeap) Swap(i, j int) { th[i], th[j] = th[j], th[i] }

func (th taskHeap) Less(i, j int) bool {
	fst, snd := th[i], th[j]
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
func (th *taskHeap) Push(elm any) {
	*th = append(*th, elm.(QueuedTask))
}

// Pop is called by container/heap only.
func (th *taskHeap) Pop() any {
	old := *th
	qt := old[len(old)-1]
	old[len(old)-1] = QueuedTask{}
	*th = old[:len(old)-1]
	return qt
}
