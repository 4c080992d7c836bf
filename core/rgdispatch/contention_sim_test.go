package rgdispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

const (
	// localLatency and remoteLatency are the times of a message within a zone and between zones.
	localLatency  = 200 * time.Microsecond
	remoteLatency = 700 * time.Microsecond
	// stragglerPercent of the tasks take stragglerFactor times as long, and all others up to maxEstimateError more or less than estimated.
	stragglerPercent = 3
	stragglerFactor  = 7
	maxEstimateError = 0.4
	// twoStepsPercent of the jobs with several tasks have two steps, one after the other.
	twoStepsPercent = 30
	// waveTime is the period of the demand of a zone.
	waveTime = 17 * time.Second
)

type (
	// contentionRoute describes the jobs of a route.
	contentionRoute struct {
		name            string
		rate            float64
		tasks, maxTasks float64
		meanRun, maxRun time.Duration
	}

	// contentionLoad describes a deployment whose callers compete for capacity.
	contentionLoad struct {
		zones, entries, sidecars, rack int
		cores, taskCores               float64
		// unevenCores means that a third of the executors are half again as large.
		unevenCores  bool
		remoteFactor float64
		// wave is the part of the demand by which that of each zone rises and falls, out of phase with the others.
		wave float64
		// scale multiplies the rates of all routes.
		scale    float64
		routes   []contentionRoute
		duration time.Duration
		seed     uint64
	}

	// contentionJob is a job with the true run times of its tasks on an executor of speed 1.
	contentionJob struct {
		route int
		// size is the estimated run time of all tasks together.
		size float64
		// straggler is set if a task of the job takes stragglerFactor times as long as estimated.
		straggler bool
		arrived   time.Time
		limit     time.Duration
		runs      [][]time.Duration
		label     string
		outcome   string
		waited    time.Duration
	}

	// contention plays entries, sidecars and executors in virtual time.
	contention struct {
		lod      contentionLoad
		rnd      *rand.Rand
		now      time.Time
		begin    time.Time
		events   eventHeap
		number   uint64
		entries  []*contentionEntry
		sidecars []*contentionSidecar
		jobs     map[string]*contentionJob
		order    []*contentionJob
		burst    float64
		used     float64
		counts   map[string]int
	}
)

func runContention(lod contentionLoad) *contention {
	con := &contention{
		lod: lod, rnd: rand.New(rand.NewPCG(lod.seed, 21)), now: time.Unix(1000, 0), jobs: map[string]*contentionJob{},
		counts: map[string]int{}, burst: 1,
	}
	for i := range lod.entries {
		ent := &contentionEntry{
			name: fmt.Sprintf("entry-%d", i), zone: zoneName(i % lod.zones), weight: 1, peers: map[SidecarConnID]*contentionPeer{},
		}
		ent.sta.Name, ent.sta.AvailabilityZone, ent.sta.RemoteFactor = ent.name, ent.zone, lod.remoteFactor
		ent.sta.Limits = Limits{MaxRunTimeAfterLoss: 1550 * time.Millisecond, Cores: 0.8}
		if i/lod.zones%2 == 1 {
			ent.sta.Limits.Cores = 0.192
		}
		ent.sta.StartedAt = con.now.Add(-time.Hour)
		con.entries = append(con.entries, ent)
		con.tickEntry(ent)
	}
	for i := range lod.sidecars {
		con.addSidecar(i)
	}
	con.run(con.now.Add(2 * time.Second))
	con.begin = con.now
	con.changeBurst()
	for z := range lod.zones {
		for r := range lod.routes {
			con.arrive(z, r)
		}
	}
	con.run(con.begin.Add(lod.duration))
	return con
}

// changeBurst begins or ends a burst of all demand.
func (con *contention) changeBurst() {
	next := time.Duration((4 + 8*con.rnd.Float64()) * float64(time.Second))
	con.after(next, func() {
		con.burst = 1.6 + 0.2*con.rnd.Float64()
		con.after(time.Duration((1+2*con.rnd.Float64())*float64(time.Second)), func() {
			con.burst = 1
			con.changeBurst()
		})
	})
}

// arrive submits the jobs of a route in a zone, one after the other.
func (con *contention) arrive(zone, route int) {
	lod := con.lod
	phase := con.now.Sub(con.begin).Seconds()/waveTime.Seconds() + float64(zone)/float64(lod.zones)
	rate := lod.scale * lod.routes[route].rate / float64(lod.zones) * con.burst * (1 + lod.wave*math.Sin(2*math.Pi*phase))
	con.after(time.Duration(con.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		con.submit(zone, route)
		con.arrive(zone, route)
	})
}

// bounded returns a skewed value with about the mean, between low and high.
func (con *contention) bounded(mean, low, high float64) float64 {
	const sigma = 0.8
	return min(max(mean*math.Exp(sigma*con.rnd.NormFloat64()-sigma*sigma/2), low), high)
}

func (con *contention) submit(zone, route int) {
	lod, rte := con.lod, con.lod.routes[route]
	num := len(con.order)
	jb := &contentionJob{route: route, arrived: con.now, outcome: "open"}
	nominal := time.Duration(con.bounded(rte.meanRun.Seconds(), 0.01, rte.maxRun.Seconds()) * float64(time.Second))
	count := int(math.Round(con.bounded(rte.tasks, 1, rte.maxTasks)))
	counts := []int{count}
	if count >= 2 && con.rnd.IntN(100) < twoStepsPercent {
		counts = []int{count - count/2, count / 2}
	}
	switch draw := con.rnd.IntN(100); {
	case draw < 15:
		jb.label = "rack-0"
	case draw < 30:
		jb.label = fmt.Sprintf("rack-%d", con.rnd.IntN((lod.sidecars+lod.rack-1)/lod.rack))
	}
	req := Request{
		ID: fmt.Sprintf("job-%d", num), Spec: "spec",
		Route: rgroute.Route{
			Name: rte.name, Service: "desk", Priority: route, LatencyAllowance: 60 * time.Millisecond, SlackFactor: 1.6, MaxAttempts: 2,
		},
	}
	critical := time.Duration(0)
	for i, cnt := range counts {
		stp := Step{Count: cnt, Requires: rgmodel.Resources{Cores: lod.taskCores}, Estimate: nominal, PreferredLabel: jb.label}
		if i > 0 {
			stp.DependsOn = []int{i - 1}
		}
		req.Steps = append(req.Steps, stp)
		var runs []time.Duration
		longest := time.Duration(0)
		for range cnt {
			run := time.Duration((1 + maxEstimateError*(2*con.rnd.Float64()-1)) * float64(nominal))
			longest = max(longest, run)
			if con.rnd.IntN(100) < stragglerPercent {
				run, jb.straggler = stragglerFactor*nominal, true
			}
			runs = append(runs, run)
		}
		jb.runs = append(jb.runs, runs)
		jb.size += float64(cnt) * nominal.Seconds()
		critical += longest
	}
	jb.limit = time.Duration(1.6*float64(critical)) + 60*time.Millisecond
	req.CallerWait = min(max(time.Duration(2.4*float64(jb.limit)), 1500*time.Millisecond), 31*time.Second)
	con.jobs[req.ID] = jb
	con.order = append(con.order, jb)
	ent := con.entryOf(zone)
	con.after(3*time.Millisecond, func() { con.perform(ent, Submit(&ent.sta, con.now, CallerID(num+1), req)) })
}

// entryOf draws an entry of the zone.
func (con *contention) entryOf(zone int) *contentionEntry {
	var ents []*contentionEntry
	for _, ent := range con.entries {
		if ent.zone == zoneName(zone) {
			ents = append(ents, ent)
		}
	}
	return ents[con.rnd.IntN(len(ents))]
}
