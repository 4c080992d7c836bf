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
	step      = 200 * time.Millisecond
	leaseTime = 3 * time.Second
	taskTime  = 600 * time.Millisecond
	deadline  = 4 * time.Second
)

type (
	// world drives the decisions of entries and sidecars step by step in virtual time, with a fake store and messages
	// that may be lost, delayed and reordered. A process is identified by its incarnation.
	world struct {
		rnd      *rand.Rand
		now      time.Time
		off      mechanism
		entries  []*entry
		sidecars []*sidecar
		ring     rgmodel.Ring
		leases   map[string]time.Time
		side     map[string]bool
		cutUntil time.Time
		messages []message
		starts   map[string]int
		running  []running
		calls    []call
		faults   []string
		traces   map[rgmodel.SubmissionID][]string
		events   []string
		births   int
		answered int
	}

	// mechanism names what is switched off in a run that has to fail.
	mechanism string

	entry struct {
		home   State
		self   rgmodel.Entry
		frozen time.Time
		dead   bool
		parts  []*partRun
		runs   map[rgmodel.SubmissionID]*jobRun
	}

	jobRun struct {
		job        rgmodel.Job
		ledger     *rgjob.Tracker
		pending    int
		generation uint64
		ends       time.Time
		moved      bool
	}

	partRun struct {
		run    *jobRun
		part   rgjob.Part
		unsure bool
		sent   time.Time
		done   bool
	}

	sidecar struct {
		queue  rgqueue.State
		key    rgmodel.SidecarKey
		frozen time.Time
		dead   bool
		owed   []owed
	}

	// owed is a batch or collect call that a sidecar has not answered yet.
	owed struct {
		to   *entry
		part *partRun
	}

	message struct {
		at       time.Time
		from, to string
		deliver  func()
	}

	running struct {
		at   *sidecar
		stt  rgqueue.Start
		ends time.Time
	}

	// call is a client's submission that waits for an answer.
	call struct {
		job rgmodel.Job
		at  *entry
	}
)

func newWorld(seed uint64, off mechanism) *world {
	wld := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_800_000_000_000), off: off,
		leases: map[string]time.Time{}, side: map[string]bool{}, starts: map[string]int{},
		traces: map[rgmodel.SubmissionID][]string{},
	}
	for i := range 3 {
		wld.bearEntry(fmt.Sprintf("entry%d", i))
	}
	for i := range 3 {
		wld.bearSidecar(fmt.Sprintf("sidecar%d", i))
	}
	return wld
}

// note keeps a line of the history of one submission, or of the world if the id is empty.
func (wld *world) note(id rgmodel.SubmissionID, format string, args ...any) {
	line := wld.now.Format("04:05.0 ") + fmt.Sprintf(format, args...)
	if id == "" {
		wld.events = append(wld.events, line)
		return
	}
	wld.traces[id] = append(wld.traces[id], line)
}

func (wld *world) bearEntry(name string) {
	wld.births++
	ent := &entry{runs: map[rgmodel.SubmissionID]*jobRun{}}
	ent.self = rgmodel.Entry{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, wld.births), Address: name}
	ent.home.Ring.Self = ent.self
	wld.entries = append(wld.entries, ent)
}

// learn asks the other entries for their sidecars until one of them can know them all.
func (wld *world) learn(ent *entry) {
	var unaccounted []rgmodel.Entry
	for _, oth := range wld.entries {
		reach := wld.reach(oth.self.Incarnation, ent.self.Incarnation)
		switch {
		case oth == ent || (oth.dead && reach):
		case !reach || wld.now.Before(oth.frozen):
			unaccounted = append(unaccounted, oth.self)
		default:
			wld.adopt(oth, ent.home.Ring.Ring)
			MergeSnapshot(&ent.home, TakeSnapshot(&oth.home), wld.now)
			if rgring.KnowsAllSidecars(&ent.home.Ring) {
				return
			}
		}
	}
	rgring.ProceedWithoutPeers(&ent.home.Ring, wld.now.Add(2*step), unaccounted)
}

func (wld *world) bearSidecar(name string) {
	wld.births++
	key := rgmodel.SidecarKey{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, wld.births)}
	sid := &sidecar{key: key}
	sid.queue.Self = rgmodel.Sidecar{Name: name, Incarnation: key.Incarnation, Capacity: rgmodel.Capacity{Slots: 2}}
	wld.sidecars = append(wld.sidecars, sid)
}

// reach reports whether two processes, or a process and the store (""), are on the same side of a partition.
func (wld *world) reach(fst, snd string) bool {
	return wld.now.After(wld.cutUntil) || wld.side[fst] == wld.side[snd]
}

func (wld *world) up(dead bool, frozen time.Time) bool {
	return !dead && !wld.now.Before(frozen)
}

// send delivers a message later, in any order. A message to a paused process waits in its socket; one that crosses a
// new partition is lost or has already arrived.
func (wld *world) send(from, to string, deliver func()) {
	if !wld.reach(from, to) {
		return
	}
	at := wld.now.Add(time.Duration(wld.rnd.IntN(3)) * step)
	wld.messages = append(wld.messages, message{at: at, from: from, to: to, deliver: deliver})
}

func (wld *world) deliver() {
	due := wld.messages
	wld.messages = nil
	wld.rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, msg := range due {
		dead, frozen := wld.process(msg.to)
		switch {
		case dead:
		case wld.now.Before(msg.at) || wld.now.Before(frozen):
			wld.messages = append(wld.messages, msg)
		case wld.reach(msg.from, msg.to) || wld.rnd.IntN(2) == 0:
			msg.deliver()
		}
	}
}

// process returns whether a process has died, and until when it is paused.
func (wld *world) process(name string) (bool, time.Time) {
	for _, ent := range wld.entries {
		if ent.self.Incarnation == name {
			return ent.dead, ent.frozen
		}
	}
	for _, sid := range wld.sidecars {
		if sid.key.Incarnation == name {
			return sid.dead, sid.frozen
		}
	}
	return true, time.Time{}
}

func (wld *world) run(steps int) {
	for i := range steps {
		wld.now = wld.now.Add(step)
		if i > 20 {
			wld.breakThings()
		}
		wld.stepStore()
		for _, sid := range wld.sidecars {
			if wld.up(sid.dead, sid.frozen) {
				wld.stepSidecar(sid)
			}
		}
		for _, ent := range wld.entries {
			if wld.up(ent.dead, ent.frozen) {
				wld.stepEntry(ent)
			}
		}
		wld.deliver()
		wld.stepClients()
	}
}

// breakThings starts a fault now and then.
func (wld *world) breakThings() {
	if wld.now.After(wld.cutUntil) && wld.rnd.IntN(60) == 0 {
		wld.cutUntil = wld.now.Add(time.Duration(2+wld.rnd.IntN(30)) * time.Second)
		wld.note("", "partition until %s", wld.cutUntil.Format("04:05.0"))
		for _, ent := range wld.entries {
			wld.side[ent.self.Incarnation] = wld.rnd.IntN(2) == 0
		}
		for _, sid := range wld.sidecars {
			wld.side[sid.key.Incarnation] = wld.rnd.IntN(2) == 0
		}
	}
	ent := wld.entries[wld.rnd.IntN(len(wld.entries))]
	sid := wld.sidecars[wld.rnd.IntN(len(wld.sidecars))]
	switch wld.rnd.IntN(150) {
	case 4:
		if len(wld.entries) < 8 {
			wld.bearEntry(fmt.Sprintf("entry%d", len(wld.entries)))
		}
	case 0:
		if !ent.dead {
			ent.dead = true
			wld.note("", "%s dies", ent.self.Incarnation)
			wld.bearEntry(ent.self.Name)
		}
	case 1:
		wld.note("", "%s freezes", ent.self.Incarnation)
		ent.frozen = wld.now.Add(time.Duration(1+wld.rnd.IntN(20)) * time.Second)
	case 2:
		if !sid.dead {
			sid.dead = true
			wld.note("", "%s dies", sid.key.Incarnation)
			wld.bearSidecar(sid.key.Name)
		}
	case 3:
		wld.note("", "%s freezes", sid.key.Incarnation)
		sid.frozen = wld.now.Add(time.Duration(1+wld.rnd.IntN(20)) * time.Second)
	}
}

// stepStore lets leases expire and changes the ring when an entry that reaches the store sees the need.
func (wld *world) stepStore() {
	var live []rgmodel.Entry
	writer := false
	for _, ent := range wld.entries {
		up := wld.up(ent.dead, ent.frozen) && wld.reach(ent.self.Incarnation, "")
		if up {
			wld.leases[ent.self.Incarnation] = wld.now.Add(leaseTime)
			rgring.RenewLease(&ent.home.Ring, wld.ring.Generation, wld.now)
			writer = true
		}
		if wld.now.Before(wld.leases[ent.self.Incarnation]) {
			live = append(live, ent.self)
		}
	}
	if writer && !slices.Equal(live, wld.ring.Entries) {
		wld.ring = rgmodel.Ring{Generation: wld.ring.Generation + 1, Entries: live}
		wld.note("", "ring %d: %v", wld.ring.Generation, live)
	}
}
