package rgplacement_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgqueue"
)

const (
	defaultPeriod = 200 * time.Millisecond
	networkDelay  = 1500 * time.Microsecond
	deadline      = 10 * time.Second
	maxRetries    = 2
	slots         = 8
	failureTime   = 5 * time.Millisecond
)

type (
	// settings describes one run of the simulation. The load is a fraction of the fleet's capacity.
	settings struct {
		policy   rgplacement.Policy
		load     float64
		duration time.Duration
		// reportPeriod is the interval between reports, or zero for 200 ms. Entries receive each report after
		// reportDelay and networkDelay.
		reportPeriod, reportDelay time.Duration
		// entryCount is the number of entries that the candidates assume. The simulation always has three.
		entryCount int
		// declared is the declared run time in relation to the mean of the kind.
		declared float64
		// maxJobTasks is the largest number of tasks of a job; zero means 60.
		maxJobTasks int
		// failing and hung name the sidecars with these faults, if any.
		failing    string
		hung       string
		noEjection bool
	}

	simulation struct {
		settings
		random     *rand.Rand
		now        time.Duration
		events     eventHeap
		eventCount int
		sidecars   map[string]*simSidecar
		names      []string
		entries    []*simEntry
		jobs       map[rgmodel.SubmissionID]*simJob
		result     result
	}

	result struct {
		jobs, complete, tasks, lost, messages, wasted, reports, firstAttempts, retries, wantedRetries int
		// responseRatios holds the response times of complete jobs relative to the ideal, and arrivals their arrival times.
		responseRatios []float64
		arrivals       []time.Duration
	}
)

// simulate runs the decisions of entries and sidecars in virtual time. Runs with the same seed and load have the same
// arrivals for all policies.
func simulate(set settings, seed uint64) result {
	sim := &simulation{
		settings: set, random: rand.New(rand.NewPCG(seed, 1)), sidecars: map[string]*simSidecar{}, jobs: map[rgmodel.SubmissionID]*simJob{},
	}
	period := cmp.Or(sim.reportPeriod, defaultPeriod)
	ring := rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{{Incarnation: "entry"}}}
	for range 3 {
		sim.entries = append(sim.entries, &simEntry{})
	}
	for i, factor := range slowdowns {
		sc := &simSidecar{slowdown: factor}
		sc.queue.Self = rgmodel.Sidecar{Name: fmt.Sprint("s", i), Incarnation: "1", Capacity: rgmodel.Capacity{Slots: slots}}
		rgqueue.AdoptRing(&sc.queue, ring)
		// The entry stays in contact for the whole simulation.
		rgqueue.RecordContact(&sc.queue, ring.Entries[0], sim.clock().Add(24*time.Hour))
		sim.sidecars[sc.queue.Self.Name] = sc
		sim.names = append(sim.names, sc.queue.Self.Name)
		for _, ent := range sim.entries {
			rgfleet.Announce(&ent.fleet, sc.queue.Self, sim.clock())
			rgfleet.MarkSealed(&ent.fleet, sc.queue.Self.Key())
		}
		sim.schedule(time.Duration(i)*period/10, func() { sim.report(sc) })
	}
	sim.scheduleArrivals(seed)
	for len(sim.events) > 0 {
		evt := heap.Pop(&sim.events).(event)
		if evt.at > set.duration+2*deadline {
			break
		}
		sim.now = evt.at
		evt.run()
	}
	return sim.result
}

func (sim *simulation) clock() time.Time { return time.Unix(0, 0).Add(sim.now) }

// quantile returns the quantile of the values, of which there must be at least one.
func quantile(vals []float64, level float64) float64 {
	vals = slices.Sorted(slices.Values(vals))
	return vals[int(level*float64(len(vals)-1))]
}
