package rgexecutor

import (
	"math"
	"time"
)

const (
	// learnRate is the weight of one run. Estimates are often off by a factor of two, which some ten runs even out.
	learnRate = 0.1
	// mostDeviation is the factor beyond which a run counts no more: its estimate was wrong, or its end was seen late.
	mostDeviation = 4
	// forgetRate is the part of a slowness that an idle executor loses each tick. Without it, entries would place
	// nothing on an executor that once looked slow, and nothing would correct that.
	forgetRate = 0.03
)

// learn moves the slowdown of this executor towards that of a run that has succeeded. It is a geometric mean, because
// estimates are as often half as twice the true time.
func learn(sta *State, asg Assignment, took time.Duration) {
	est := asg.Task.Estimate
	if est <= 0 || took <= 0 {
		return
	}
	if sta.Slowdown == 0 {
		sta.Slowdown = 1
	}
	dev := math.Log(float64(took) / float64(est) / sta.Slowdown)
	most := math.Log(mostDeviation)
	sta.Slowdown *= math.Exp(learnRate * min(max(dev, -most), most))
}

// decaySlowdown moves the slowdown of an idle executor back towards 1.
func decaySlowdown(sta *State) {
	if len(sta.Runs) == 0 && sta.Slowdown > 1 {
		sta.Slowdown = math.Pow(sta.Slowdown, 1-forgetRate)
	}
}
