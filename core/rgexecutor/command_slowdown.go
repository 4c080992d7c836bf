package rgexecutor

import (
	"math"
	"time"
)

const (
	// learningRate is the weight of one run. Estimates are often off by a factor of two, which averages out over about ten
	// runs.
	learningRate = 0.1
	// maxDeviation is the factor at which the deviation of a run is capped. A larger one means that the estimate was wrong or
	// the end was noticed with a delay.
	maxDeviation = 4
	// decayRate is the fraction by which the logarithm of an idle executor's slowdown decays on each tick. Without decay,
	// entries would place no tasks on an executor that once seemed slow, and no run would correct the value.
	decayRate = 0.03
)

// learnSlowdown updates the executor's slowdown with that of a successful run. The mean is geometric, because estimates
// are half the true run time as often as twice.
func learnSlowdown(sta *State, act AcceptedTask, took time.Duration) {
	est := act.Task.Estimate
	if est <= 0 || took <= 0 {
		return
	}
	if sta.Slowdown == 0 {
		sta.Slowdown = 1
	}
	dev := math.Log(float64(took) / float64(est) / sta.Slowdown)
	limit := math.Log(maxDeviation)
	sta.Slowdown *= math.Exp(learningRate * min(max(dev, -limit), limit))
}

// decaySlowdown moves the slowdown of an idle executor back towards 1.
func decaySlowdown(sta *State) {
	if len(sta.Runs) == 0 && sta.Slowdown > 1 {
		sta.Slowdown = math.Pow(sta.Slowdown, 1-decayRate)
	}
}
