package rgplacement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// slowdowns holds the run times on each upstream relative to the fastest one.
var slowdowns = []float64{1, 1, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 5}

// runTimeRanges holds the shortest and the longest run time of each kind on the fastest upstream, in seconds.
var runTimeRanges = map[string][2]float64{"short": {0.05, 0.15}, "middle": {0.15, 0.4}, "long": {0.4, 1}}

// scheduleArrivals schedules Poisson arrivals of jobs. The number of tasks has a log-uniform distribution from 1 to
// maxJobTasks.
func (sim *simulation) scheduleArrivals(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(sim.load*100)))
	kinds := []string{"short", "middle", "long"}
	meanRunTime := (0.1 + 0.275 + 0.7) / 3
	maxTasks := cmp.Or(sim.maxJobTasks, 60)
	meanTasks, capacity := 0.0, 0.0
	for num := 1.0; num <= float64(maxTasks); num++ {
		meanTasks += num * math.Log((num+1)/num) / math.Log(float64(maxTasks+1))
	}
	for _, factor := range slowdowns {
		capacity += slots / factor
	}
	rate := sim.load * capacity / meanRunTime / meanTasks
	for at := time.Duration(0); at < sim.duration; at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		jb := &simJob{entry: sim.entries[rnd.IntN(3)], arrival: at, openTasks: map[string]int{}, excluded: map[rgmodel.SidecarKey]bool{}}
		kind := kinds[rnd.IntN(3)]
		bounds := runTimeRanges[kind]
		jb.batch = rgmodel.Batch{
			ID: rgmodel.SubmissionID(fmt.Sprint(len(sim.jobs))), Generation: 1, Flow: rgmodel.Flow{Team: "team", Kind: kind},
			RunTime: rgmodel.Duration{Duration: time.Duration(sim.declared * (bounds[0] + bounds[1]) / 2 * float64(time.Second))},
		}
		num := int(math.Exp(rnd.Float64() * math.Log(float64(maxTasks+1))))
		for i := range min(maxTasks, num) {
			jb.runTimes = append(jb.runTimes, time.Duration((bounds[0]+rnd.Float64()*(bounds[1]-bounds[0]))*float64(time.Second)))
			jb.batch.Tasks = append(jb.batch.Tasks, rgmodel.Task{Index: i})
		}
		jb.remaining, jb.ideal = len(jb.runTimes), ideal(jb.runTimes)
		sim.jobs[jb.batch.ID] = jb
		sim.schedule(at, func() { sim.place(jb, jb.batch.Tasks, 0) })
		sim.result.jobs++
		sim.result.tasks += len(jb.runTimes)
	}
}

// ideal returns the finish time of all tasks on an idle fleet if the longest tasks start first, each on the slot that
// finishes it first.
func ideal(tasks []time.Duration) time.Duration {
	tasks = slices.Sorted(slices.Values(tasks))
	slices.Reverse(tasks)
	var busy [80]time.Duration
	last := time.Duration(0)
	for _, tsk := range tasks {
		best, end := 0, time.Duration(math.MaxInt64)
		for i := range busy {
			if fin := busy[i] + time.Duration(float64(tsk)*slowdowns[i/slots]); fin < end {
				best, end = i, fin
			}
		}
		busy[best] = end
		last = max(last, end)
	}
	return last
}
