package rgdispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
)

// simStep is the time step of the simulation. All messages arrive with the next step.
const simStep = 5 * time.Millisecond

type (
	simEntry struct {
		name, zone string
		sta        State
		sidecars   map[SidecarConnID]*simSidecar
		// weight is the entry's part of the jobs, relative to the others.
		weight float64
	}

	// simulation runs jobs on entries and sidecars in virtual time.
	simulation struct {
		rnd      *rand.Rand
		now      time.Time
		entries  []*simEntry
		sidecars []*simSidecar
		lastConn SidecarConnID
		jobs     int
		// times holds the times of the completed jobs relative to the estimate of their tasks.
		times    []float64
		onTime   int
		refused  int
		messages int
		tasks    int
		// usedTime is the core time of all tasks, and coreTime that of all executors that are not lost.
		usedTime, coreTime time.Duration
		rack               simRack
		rackTasks          []*simRackTask
		rackJobs           int
		rackJobsOnTime     int
		rackReturned       int
		rackPaidOff        int
	}

	// simLoad describes a simulated fleet and its jobs.
	simLoad struct {
		entries, sidecars, zones int
		limits                   rgmembership.Limits
		// load is the demand of the jobs as a fraction of the capacity of all executors that are not lost.
		load float64
		// weight returns the part of the jobs of an entry, relative to the others. Nil means that all are equal.
		weight func(entry int) float64
		// lostZone is a zone whose executors are lost, if it is not empty.
		lostZone string
		// added is the number of sidecars that are added empty after half of the time.
		added int
		// rack adds a rack that many jobs prefer, if it is not zero.
		rack     simRack
		duration time.Duration
	}
)

func zoneName(num int) string { return string(rune('a' + num)) }

// runSimulation runs jobs of a few tasks of 60 to 900 ms, as many of each kind of work as of the others.
func runSimulation(lod simLoad) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewPCG(1+lod.rack.seed, 2)), now: time.Unix(1000, 0), rack: lod.rack}
	for i := range lod.entries {
		ent := &simEntry{
			name: fmt.Sprintf("entry-%d", i), zone: zoneName(i % lod.zones), sidecars: map[SidecarConnID]*simSidecar{}, weight: 1,
		}
		if lod.weight != nil {
			ent.weight = lod.weight(i)
		}
		ent.sta.Name, ent.sta.AvailabilityZone = ent.name, ent.zone
		ent.sta.Limits = Limits{MaxRunTimeAfterLoss: 1500 * time.Millisecond, Cores: 0.5}
		ent.sta.RemoteFactor = lod.rack.remoteFactor
		ent.sta.StartedAt = sim.now.Add(-time.Hour)
		DetectSuspension(&ent.sta, sim.now)
		sim.entries = append(sim.entries, ent)
	}
	for i := range lod.sidecars {
		sim.addSidecar(i, lod)
	}
	capacity := 0.0
	for _, sc := range sim.sidecars {
		if !sc.lost {
			capacity += float64(sc.cores) / sc.slowdown
		}
	}
	begin := sim.now
	pending := 0.0
	for sim.now.Sub(begin) < lod.duration {
		if lod.added > 0 && sim.now.Sub(begin) >= lod.duration/2 {
			for i := range lod.added {
				sim.addSidecar(lod.sidecars+i, lod)
			}
			lod.added = 0
		}
		sim.step()
		// The mean job takes 0.56 s of core time.
		pending += lod.load * sim.rack.burst(sim.now.Sub(begin)) * capacity * simStep.Seconds() / 0.56
		for ; pending >= 1; pending-- {
			sim.submit()
		}
	}
	return sim
}

// step ends and starts tasks, sends the reports that are due and advances the time.
func (sim *simulation) step() {
	sim.now = sim.now.Add(simStep)
	for _, sc := range sim.sidecars {
		if !sc.lost {
			sim.runTasks(sc)
		}
	}
	for _, ent := range sim.entries {
		DetectSuspension(&ent.sta, sim.now)
		if sim.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
			sim.perform(ent, Tick(&ent.sta, sim.now))
		}
	}
}

// submit submits a job to an entry that is drawn by the weights.
func (sim *simulation) submit() {
	kinds := []struct {
		count    int
		estimate time.Duration
	}{
		{count: 8, estimate: 60 * time.Millisecond},
		{count: 1, estimate: 800 * time.Millisecond},
		{count: 2, estimate: 200 * time.Millisecond},
		{count: 4, estimate: 900 * time.Millisecond},
	}
	knd := kinds[sim.rack.kind(sim)]
	sum := 0.0
	for _, ent := range sim.entries {
		sum += ent.weight
	}
	at := sim.rnd.Float64() * sum
	ent := sim.entries[len(sim.entries)-1]
	for _, cur := range sim.entries {
		if at -= cur.weight; at < 0 {
			ent = cur
			break
		}
	}
	sim.jobs++
	sim.tasks += knd.count
	req := newRequest(fmt.Sprintf("job-%d", sim.jobs), knd.count, knd.estimate)
	sim.rack.prefer(sim, &req)
	sim.perform(ent, Submit(&ent.sta, sim.now, CallerID(sim.jobs), req))
}

func (sim *simulation) perform(ent *simEntry, efs []Effect) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case SendPlacement:
			sim.messages++
			sim.accept(ent, ent.sidecars[eff.Conn], eff.Placement)
		case CountPlaceWait:
			sim.rack.recordWait(sim, eff)
		case CancelTasks:
			sim.messages++
			sim.cancel(ent, ent.sidecars[eff.Conn], eff.Tickets)
		case SendAnswer:
			if eff.Verdict == rgmodel.RanOK {
				if eff.Detail.Overdue <= 0 {
					sim.onTime++
					if eff.Detail.Route == hotRoute {
						sim.rackJobsOnTime++
					}
				}
				sim.times = append(sim.times, eff.Took.Seconds()/eff.Detail.Estimate.Seconds())
			} else {
				sim.refused++
			}
		}
	}
}

// quantile returns a quantile of the times of the completed jobs, relative to the estimate of their tasks.
func (sim *simulation) quantile(part float64) float64 {
	if len(sim.times) == 0 {
		return 0
	}
	slices.Sort(sim.times)
	return sim.times[int(part*float64(len(sim.times)-1))]
}

func (sim *simulation) utilization() float64 {
	return sim.usedTime.Seconds() / sim.coreTime.Seconds()
}
