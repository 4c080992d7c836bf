package rgdispatch

import (
	"math"
	"time"
)

const (
	// learnRate is the least weight of one task in the usual run time of its kind. The first ones weigh more.
	learnRate = 0.03
	// mostDeviation is the factor beyond which a run time counts no more: its end was seen late, or the executor hung.
	mostDeviation = 4
	// estimateShare is how far an estimate is believed against the usual run time. Both are about as far off.
	estimateShare = 0.5
)

// learn moves the usual run time towards that of a task that has succeeded. It is a geometric mean, because run times
// and estimates are as often half as twice the usual.
func learn(sta *State, wrk Work, mem *Member, took time.Duration) {
	if took <= 0 {
		return
	}
	if sta.Learned == nil {
		sta.Learned = map[Work]Usual{}
	}
	usl := sta.Learned[wrk]
	tim := float64(took) / stretch(mem)
	dev := 0.0
	if usl.Tasks > 0 {
		dev = math.Log(tim / float64(usl.Time))
		tim = float64(usl.Time)
	}
	usl.Tasks++
	rate := max(learnRate, 1/float64(usl.Tasks))
	most := math.Log(mostDeviation)
	usl.Time = time.Duration(tim * math.Exp(rate*min(max(dev, -most), most)))
	sta.Learned[wrk] = usl
}
