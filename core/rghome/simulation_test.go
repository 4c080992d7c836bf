package rghome

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/core/rgring"
)

const (
	stepTime  = 200 * time.Millisecond
	leaseTime = 3 * time.Second
	taskTime  = 600 * time.Millisecond
	deadline  = 4 * time.Second
)

type (
	// simulation runs entries and sidecars step by step in virtual time, with a fake store and messages that may be lost,
	// delayed and reordered. A process is identified by its incarnation.
	simulation struct {
		rnd            *rand.Rand
		now            time.Time
		disabled       mechanism
		entries        []*entry
		sidecars       []*sidecar
		ring           rgmodel.Ring
		leases         map[string]time.Time
		partition      map[string]bool
		partitionUntil time.Time
		messages       []message
		starts         map[string]int
		running        []runningTask
		calls          []call
		violations     []string
		traces         map[rgmodel.SubmissionID][]string
		events         []string
		incarnations   int
		answered       int
	}

	// mechanism names a safety mechanism that a run may disable to show that violations follow. The empty name disables none.
	mechanism string

	entry struct {
		home        State
		self        rgmodel.Entry
		pausedUntil time.Time
		crashed     bool
		parts       []*partRun
		runs        map[rgmodel.SubmissionID]*jobRun
	}

	jobRun struct {
		job        rgmodel.Job
		tracker    *rgjob.Tracker
		pending    int
		generation uint64
		ends       time.Time
		moved      bool
	}

	partRun struct {
		run        *jobRun
		part       rgjob.Part
		mayHaveRun bool
		sent       time.Time
		done       bool
	}

	sidecar struct {
		queue        rgqueue.State
		key          rgmodel.SidecarKey
		pausedUntil  time.Time
		crashed      bool
		pendingCalls []pendingCall
	}

	// pendingCall is a batch or collect call that a sidecar has not replied to yet.
	pendingCall struct {
		caller *entry
		part   *partRun
	}

	message struct {
		dueAt    time.Time
		from, to string
		deliver  func()
	}

	runningTask struct {
		sidecar *sidecar
		start   rgqueue.StartedTask
		endsAt  time.Time
	}

	// call is a job that a caller keeps submitting to an entry until the call is dropped at random.
	call struct {
		job   rgmodel.Job
		entry *entry
	}
)

func newSimulation(seed uint64, disabled mechanism) *simulation {
	sim := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_800_000_000_000), disabled: disabled,
		leases: map[string]time.Time{}, partition: map[string]bool{}, starts: map[string]int{},
		traces: map[rgmodel.SubmissionID][]string{},
	}
	for i := range 3 {
		sim.startEntry(fmt.Sprintf("entry%d", i))
	}
	for i := range 3 {
		sim.startSidecar(fmt.Sprintf("sidecar%d", i))
	}
	return sim
}

// logf adds a line to the trace of one submission, or to the events of the simulation if the id is empty.
func (sim *simulation) logf(id rgmodel.SubmissionID, format string, args ...any) {
	line := sim.now.Format("04:05.0 ") + fmt.Sprintf(format, args...)
	if id == "" {
		sim.events = append(sim.events, line)
		return
	}
	sim.traces[id] = append(sim.traces[id], line)
}

func (sim *simulation) startEntry(name string) {
	sim.incarnations++
	ent := &entry{runs: map[rgmodel.SubmissionID]*jobRun{}}
	ent.self = rgmodel.Entry{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, sim.incarnations), Address: name}
	ent.home.Ring.Self = ent.self
	sim.entries = append(sim.entries, ent)
}

// syncSidecars asks the other entries for their sidecars until one of them is known to have a complete list.
func (sim *simulation) syncSidecars(ent *entry) {
	var unresponsive []rgmodel.Entry
	for _, oth := range sim.entries {
		reachable := sim.reachable(oth.self.Incarnation, ent.self.Incarnation)
		switch {
		case oth == ent || (oth.crashed && reachable):
		case !reachable || sim.now.Before(oth.pausedUntil):
			unresponsive = append(unresponsive, oth.self)
		default:
			sim.adoptRing(oth, ent.home.Ring.Ring)
			MergeSnapshot(&ent.home, TakeSnapshot(&oth.home), sim.now)
			if rgring.KnowsAllSidecars(&ent.home.Ring) {
				return
			}
		}
	}
	rgring.ProceedWithoutPeers(&ent.home.Ring, sim.now.Add(2*stepTime), unresponsive)
}

func (sim *simulation) startSidecar(name string) {
	sim.incarnations++
	key := rgmodel.SidecarKey{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, sim.incarnations)}
	sc := &sidecar{key: key}
	sc.queue.Self = rgmodel.Sidecar{Name: name, Incarnation: key.Incarnation, Capacity: rgmodel.Capacity{Slots: 2}}
	sim.sidecars = append(sim.sidecars, sc)
}

// reachable reports whether two processes, or a process and the store (""), are on the same side of a partition.
func (sim *simulation) reachable(a, b string) bool {
	return sim.now.After(sim.partitionUntil) || sim.partition[a] == sim.partition[b]
}

func (sim *simulation) isRunning(crashed bool, pausedUntil time.Time) bool {
	return !crashed && !sim.now.Before(pausedUntil)
}

// send schedules a message; messages are delivered in random order. A message to a paused process stays in its socket
// buffer, and a message across a new partition is lost or still arrives.
func (sim *simulation) send(from, to string, deliver func()) {
	if !sim.reachable(from, to) {
		return
	}
	dueAt := sim.now.Add(time.Duration(sim.rnd.IntN(3)) * stepTime)
	sim.messages = append(sim.messages, message{dueAt: dueAt, from: from, to: to, deliver: deliver})
}

func (sim *simulation) deliver() {
	due := sim.messages
	sim.messages = nil
	sim.rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, msg := range due {
		crashed, pausedUntil := sim.processState(msg.to)
		switch {
		case crashed:
		case sim.now.Before(msg.dueAt) || sim.now.Before(pausedUntil):
			sim.messages = append(sim.messages, msg)
		case sim.reachable(msg.from, msg.to) || sim.rnd.IntN(2) == 0:
			msg.deliver()
		}
	}
}

// processState returns whether a process has crashed, and until when it is paused.
func (sim *simulation) processState(name string) (bool, time.Time) {
	for _, ent := range sim.entries {
		if ent.self.Incarnation == name {
			return ent.crashed, ent.pausedUntil
		}
	}
	for _, sc := range sim.sidecars {
		if sc.key.Incarnation == name {
			return sc.crashed, sc.pausedUntil
		}
	}
	return true, time.Time{}
}

func (sim *simulation) run(steps int) {
	for i := range steps {
		sim.now = sim.now.Add(stepTime)
		if i > 20 {
			sim.injectFaults()
		}
		sim.stepStore()
		for _, sc := range sim.sidecars {
			if sim.isRunning(sc.crashed, sc.pausedUntil) {
				sim.stepSidecar(sc)
			}
		}
		for _, ent := range sim.entries {
			if sim.isRunning(ent.crashed, ent.pausedUntil) {
				sim.stepEntry(ent)
			}
		}
		sim.deliver()
		sim.stepCallers()
	}
}

// injectFaults starts partitions, crashes, pauses and new entries at random.
func (sim *simulation) injectFaults() {
	if sim.now.After(sim.partitionUntil) && sim.rnd.IntN(60) == 0 {
		sim.partitionUntil = sim.now.Add(time.Duration(2+sim.rnd.IntN(30)) * time.Second)
		sim.logf("", "partition until %s", sim.partitionUntil.Format("04:05.0"))
		for _, ent := range sim.entries {
			sim.partition[ent.self.Incarnation] = sim.rnd.IntN(2) == 0
		}
		for _, sc := range sim.sidecars {
			sim.partition[sc.key.Incarnation] = sim.rnd.IntN(2) == 0
		}
	}
	ent := sim.entries[sim.rnd.IntN(len(sim.entries))]
	sc := sim.sidecars[sim.rnd.IntN(len(sim.sidecars))]
	switch sim.rnd.IntN(150) {
	case 4:
		if len(sim.entries) < 8 {
			sim.startEntry(fmt.Sprintf("entry%d", len(sim.entries)))
		}
	case 0:
		if !ent.crashed {
			ent.crashed = true
			sim.logf("", "%s crashes", ent.self.Incarnation)
			sim.startEntry(ent.self.Name)
		}
	case 1:
		sim.logf("", "%s pauses", ent.self.Incarnation)
		ent.pausedUntil = sim.now.Add(time.Duration(1+sim.rnd.IntN(20)) * time.Second)
	case 2:
		if !sc.crashed {
			sc.crashed = true
			sim.logf("", "%s crashes", sc.key.Incarnation)
			sim.startSidecar(sc.key.Name)
		}
	case 3:
		sim.logf("", "%s pauses", sc.key.Incarnation)
		sc.pausedUntil = sim.now.Add(time.Duration(1+sim.rnd.IntN(20)) * time.Second)
	}
}

// stepStore renews and expires leases, and writes a new ring if the live entries have changed and one of them reaches the
// store.
func (sim *simulation) stepStore() {
	var live []rgmodel.Entry
	writer := false
	for _, ent := range sim.entries {
		reachesStore := sim.isRunning(ent.crashed, ent.pausedUntil) && sim.reachable(ent.self.Incarnation, "")
		if reachesStore {
			sim.leases[ent.self.Incarnation] = sim.now.Add(leaseTime)
			rgring.RenewRingLease(&ent.home.Ring, sim.ring.Generation, sim.now)
			writer = true
		}
		if sim.now.Before(sim.leases[ent.self.Incarnation]) {
			live = append(live, ent.self)
		}
	}
	if writer && !slices.Equal(live, sim.ring.Entries) {
		sim.ring = rgmodel.Ring{Generation: sim.ring.Generation + 1, Entries: live}
		sim.logf("", "ring %d: %v", sim.ring.Generation, live)
	}
}
