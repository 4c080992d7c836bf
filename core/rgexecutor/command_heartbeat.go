package rgexecutor

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// maxAnnounced is the number of announced incarnations that are kept. There is one at a time, and more only if another writer sends
	// heartbeats.
	maxAnnounced = 4
	// maxReadingAge is the age of the last reading of the clock above which a heartbeat makes the sidecar poll an idle executor. The next
	// lease is shorter by 2 % of that age.
	maxReadingAge = time.Second
)

// UpdateExecutor handles a heartbeat. It describes the known incarnation. One of
// another incarnation may be delayed or come from another writer, so it changes nothing and makes the sidecar ask: only the reply to an
// order shows which incarnation is there.
func UpdateExecutor(sta *State, now time.Time, exe rgmodel.Executor) []Effect {
	switch {
	case exe.Incarnation.StartedMillis != 0 && slices.Contains(sta.Restarted, exe.Incarnation):
		// Its start time may be later than that of the current incarnation, if the machine's clock was set back.
		return nil
	case sta.Phase == PhaseNoExecutor:
		return adoptIncarnation(sta, now, exe, time.Time{})
	case exe.Incarnation != sta.Executor.Incarnation:
		return announceIncarnation(sta, now, exe)
	default:
		return describeIncarnation(sta, now, exe)
	}
}

// RestoreExecutor takes the description that an earlier process has saved, until the first heartbeat of its incarnation. It has no effect
// once an incarnation is known.
func RestoreExecutor(sta *State, now time.Time, exe rgmodel.Executor) []Effect {
	if sta.Phase != PhaseNoExecutor {
		return nil
	}
	efs := UpdateExecutor(sta, now, exe)
	sta.Restored = sta.Phase != PhaseNoExecutor
	return efs
}

// DeregisterExecutor handles the announcement that an executor leaves, which counts like a drain: no work is sent there, and its runs stay
// tracked until a reply or the expiry of their lease shows their end. It names no start time, so it may be a late one of the incarnation
// before, and the next heartbeat ends the drain.
func DeregisterExecutor(sta *State, id string) []Effect {
	for i := range sta.Announced {
		if exe := &sta.Announced[i]; exe.Incarnation.ID == id {
			exe.Draining = true
		}
	}
	if sta.Phase == PhaseNoExecutor || sta.Executor.Incarnation.ID != id {
		return nil
	}
	sta.Executor.Draining = true
	return returnQueue(sta, rgmodel.ReasonDraining)
}

// describeIncarnation handles a heartbeat of the known incarnation. It does not store the clock: a false one would make leases longer. If
// the last reading is old, it asks for one.
func describeIncarnation(sta *State, now time.Time, exe rgmodel.Executor) []Effect {
	var efs []Effect
	if sta.Undescribed || sta.Restored {
		if !runsSameTasks(sta.Executor, exe) {
			// The queued tasks were accepted by the saved description.
			efs = returnQueue(sta, rgmodel.ReasonNoUpstream)
		}
		// A delayed heartbeat does not end the drain of the saved description.
		exe.Draining = exe.Draining || sta.Restored && sta.Executor.Draining && exe.Sequence <= sta.Executor.Sequence
		exe.Clock = sta.Executor.Clock
		sta.Executor, sta.Undescribed, sta.Restored = exe, false, false
	}
	if updateDescription(&sta.Executor, exe) {
		return append(efs, returnQueue(sta, rgmodel.ReasonDraining)...)
	}
	efs = append(efs, startQueued(sta, now)...)
	if len(sta.Polls) == 0 && sinceReading(sta, now) > maxReadingAge {
		efs = append(efs, pollWithoutLease(sta, now)...)
	}
	return efs
}

// updateDescription updates the description of an incarnation by a later heartbeat, and reports whether the executor begins to drain. Only
// the drain may change. A heartbeat of another service comes from another writer. A drain counts whatever its sequence is, because another
// writer may have used a larger one; it ends with a later sequence, which its own executor never sends.
func updateDescription(cur *rgmodel.Executor, exe rgmodel.Executor) bool {
	switch {
	case exe.Service != cur.Service:
	case exe.Draining && !cur.Draining:
		cur.Draining, cur.Sequence = true, exe.Sequence
		return true
	case exe.Sequence > cur.Sequence:
		cur.Draining, cur.Sequence = exe.Draining, exe.Sequence
	}
	return false
}

// announceIncarnation keeps the description of an incarnation that no reply has shown yet, and asks the known one, also before the next
// start. An idle executor is polled on, because the announced incarnation may take the place of the known one later.
func announceIncarnation(sta *State, now time.Time, exe rgmodel.Executor) []Effect {
	if known, found := takeAnnounced(sta, exe.Incarnation); found {
		updateDescription(&known, exe)
		exe = known
	}
	if len(sta.Announced) == maxAnnounced {
		sta.Announced = slices.Delete(sta.Announced, 0, 1)
	}
	sta.Announced = append(sta.Announced, exe)
	sta.LateStartPossibleAt = now
	return append(closeIdleStartConns(sta), pollWithoutLease(sta, now)...)
}

// takeAnnounced removes the announced incarnation and returns its description.
func takeAnnounced(sta *State, inc rgmodel.ExecutorIncarnation) (rgmodel.Executor, bool) {
	at := slices.IndexFunc(sta.Announced, func(exe rgmodel.Executor) bool { return exe.Incarnation == inc })
	if at < 0 {
		return rgmodel.Executor{}, false
	}
	exe := sta.Announced[at]
	sta.Announced = slices.Delete(sta.Announced, at, at+1)
	return exe, true
}

// pollWithoutLease sends a poll without a wait, because those in flight may wait or may have been sent before a restart. It renews no
// lease, because another incarnation with a clock of its own may carry it out. Heartbeats in quick succession send only one more than
// the other polls.
func pollWithoutLease(sta *State, now time.Time) []Effect {
	if len(sta.Polls) > desiredPolls(sta, now) {
		return nil
	}
	sta.Polls = append(sta.Polls, now)
	return []Effect{SendOrder{Order: newPollWithoutLease(sta, now)}}
}
