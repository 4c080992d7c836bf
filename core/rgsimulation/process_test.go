package rgsimulation

import (
	"slices"
	"time"
)

const (
	// maxLateness is how late a slow process handles an event.
	maxLateness = 300 * time.Millisecond
	// resumeTime is how long a process that resumes takes to handle the events that have arrived meanwhile.
	resumeTime = 3 * time.Millisecond
	// maxTrafficDelay is how long another goroutine of a process takes to act on a decision of the control goroutine.
	maxTrafficDelay = time.Millisecond
	// tickInterval is the interval of the ticks of entries and sidecars.
	tickInterval = 100 * time.Millisecond
)

type (
	// heldEvent is an event that has arrived at a suspended process.
	heldEvent struct {
		number uint64
		source any
		action func()
	}

	// process is the control goroutine of an entry or a sidecar. It handles one event at a time.
	process struct {
		sim  *simulation
		name string
		up   bool
		// generation counts the starts of the process. Events for an earlier one are dropped.
		generation     int
		suspendedUntil time.Time
		slowUntil      time.Time
		// lastHandled is when the last event that has arrived is handled.
		lastHandled time.Time
		held        []heldEvent
		lastNumber  uint64
		tickPending bool
	}
)

func (pro *process) isSuspended() bool { return pro.sim.now.Before(pro.suspendedUntil) }

// start starts the process with a new ticker.
func (pro *process) start(tick func()) {
	pro.up = true
	pro.generation++
	pro.held, pro.tickPending = nil, false
	pro.suspendedUntil, pro.slowUntil, pro.lastHandled = time.Time{}, time.Time{}, pro.sim.now
	gen := pro.generation
	var next func()
	next = func() {
		if !pro.up || gen != pro.generation {
			return
		}
		pro.sim.after(tickInterval, next)
		// A ticker drops the ticks for which the process has no time.
		if !pro.tickPending {
			pro.tickPending = true
			pro.post(pro, func() { pro.tickPending = false; tick() })
		}
	}
	pro.sim.after(pro.sim.between(0, tickInterval), next)
}

// post passes an event to the process. The events of one source are handled in their order, those of several sources in any order
// after a suspension. The source is a pointer. An event without a source is the only one of its source.
func (pro *process) post(source any, action func()) {
	if !pro.up {
		return
	}
	pro.lastNumber++
	if source == nil {
		source = pro.lastNumber
	}
	evt := heldEvent{number: pro.lastNumber, source: source, action: action}
	if pro.isSuspended() {
		pro.held = append(pro.held, evt)
		return
	}
	at := pro.sim.now
	if at.Before(pro.slowUntil) {
		at = at.Add(pro.sim.between(0, maxLateness))
	}
	pro.schedule(at, evt)
}

// act lets a goroutine of the process beside the control goroutine act: late while the process is slow, and not while it is suspended.
func (pro *process) act(action func()) {
	at := pro.sim.now.Add(pro.sim.between(0, maxTrafficDelay))
	if pro.sim.now.Before(pro.slowUntil) {
		at = at.Add(pro.sim.between(0, maxLateness))
	}
	gen := pro.generation
	var try func()
	try = func() {
		switch {
		case !pro.up || gen != pro.generation:
		case pro.isSuspended():
			pro.sim.at(pro.suspendedUntil.Add(pro.sim.between(0, resumeTime)), try)
		default:
			action()
		}
	}
	pro.sim.at(at, try)
}

// schedule handles an event at the given time, or after the events before it.
func (pro *process) schedule(at time.Time, evt heldEvent) {
	pro.lastHandled = later(at, pro.lastHandled)
	gen := pro.generation
	pro.sim.at(pro.lastHandled, func() {
		switch {
		case !pro.up || gen != pro.generation:
		case pro.isSuspended():
			pro.held = append(pro.held, evt)
		default:
			evt.action()
		}
	})
}

// suspend suspends the process for a while. The events of that time are handled afterwards.
func (pro *process) suspend(dur time.Duration) {
	if !pro.up || pro.isSuspended() {
		return
	}
	pro.sim.note(pro.name, "suspended for %v", dur)
	pro.suspendedUntil = pro.sim.now.Add(dur)
	pro.lastHandled = pro.suspendedUntil
	gen := pro.generation
	pro.sim.at(pro.suspendedUntil, func() {
		if !pro.up || gen != pro.generation {
			return
		}
		evs := pro.shuffleHeld()
		pro.sim.note(pro.name, "resumed with %d events", len(evs))
		for i, evt := range evs {
			pro.schedule(pro.sim.now.Add(resumeTime*time.Duration(i)/time.Duration(len(evs))), evt)
		}
	})
}

// shuffleHeld returns the held events in a random order that keeps the order of the events of each source.
func (pro *process) shuffleHeld() []heldEvent {
	held := pro.held
	pro.held = nil
	slices.SortFunc(held, func(one, two heldEvent) int { return int(one.number) - int(two.number) })
	bySource := map[any][]heldEvent{}
	sources := make([]any, len(held))
	for i, evt := range held {
		sources[i] = evt.source
		bySource[evt.source] = append(bySource[evt.source], evt)
	}
	pro.sim.rnd.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	for i, src := range sources {
		held[i] = bySource[src][0]
		bySource[src] = bySource[src][1:]
	}
	return held
}

// slowDown makes the process handle its events late for a while.
func (pro *process) slowDown(dur time.Duration) {
	if pro.up {
		pro.sim.note(pro.name, "slow for %v", dur)
		pro.slowUntil = later(pro.slowUntil, pro.sim.now.Add(dur))
	}
}
