package rgfleet

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// Announce adds a sidecar or marks it as connected again. It returns the incarnation that it replaces, if any.
func Announce(sta *State, sc rgmodel.Sidecar, now time.Time) (rgmodel.SidecarKey, bool) {
	if sta.Members == nil {
		sta.Members = map[string]*Member{}
	}
	settleDepartures(sta, sc, now)
	old := sta.Members[sc.Name]
	if old != nil && old.Sidecar.Incarnation == sc.Incarnation {
		old.Connected, old.Sealed, old.Reported = true, false, now
		return rgmodel.SidecarKey{}, false
	}
	sta.Members[sc.Name] = &Member{Sidecar: sc, Connected: true, Reported: now}
	if old == nil {
		return rgmodel.SidecarKey{}, false
	}
	depart(sta, old, false, now)
	return old.Sidecar.Key(), true
}

// settleDepartures takes in that the process behind a name is known again: the same incarnation has not departed, and
// another one has ended by now.
func settleDepartures(sta *State, sc rgmodel.Sidecar, now time.Time) {
	sta.Departed = slices.DeleteFunc(sta.Departed, func(dep rgmodel.Departure) bool { return dep.Sidecar == sc.Key() })
	for i, dep := range sta.Departed {
		if dep.Sidecar.Name == sc.Name && dep.Unreachable {
			sta.Departed[i].At, sta.Departed[i].Unreachable = now, false
		}
	}
}

// Seal marks a sidecar as ready for work.
func Seal(sta *State, key rgmodel.SidecarKey) {
	if mem := member(sta, key); mem != nil {
		mem.Sealed = true
	}
}

// Leave notes that a sidecar takes no more work.
func Leave(sta *State, key rgmodel.SidecarKey) {
	if mem := member(sta, key); mem != nil {
		mem.Leaving = true
	}
}

// Report takes in a load report and ignores one that is older than the newest.
func Report(sta *State, rep rgmodel.Report, now time.Time) {
	mem := member(sta, rgmodel.SidecarKey{Name: rep.Sidecar, Incarnation: rep.Incarnation})
	if mem == nil || rep.Sequence <= mem.Report.Sequence {
		return
	}
	mem.Report, mem.Reported, mem.SentSince = rep, now, 0
}

// Sent counts tasks that go to a sidecar.
func Sent(sta *State, key rgmodel.SidecarKey, tasks int) {
	if mem := member(sta, key); mem != nil {
		mem.SentSince += tasks
	}
}

// Disconnect marks the connection of a sidecar as lost.
func Disconnect(sta *State, key rgmodel.SidecarKey, now time.Time) {
	if mem := member(sta, key); mem != nil && mem.Connected {
		mem.Connected, mem.Cut = false, now
	}
}

// Sweep removes the sidecars that have been disconnected for LostAfter and returns them.
// It forgets departures older than the window.
func Sweep(sta *State, win time.Duration, now time.Time) []rgmodel.SidecarKey {
	var lost []rgmodel.SidecarKey
	for name, mem := range sta.Members {
		if !mem.Connected && now.Sub(mem.Cut) >= LostAfter {
			depart(sta, mem, true, now)
			delete(sta.Members, name)
			lost = append(lost, mem.Sidecar.Key())
		}
	}
	sta.Departed = slices.DeleteFunc(sta.Departed, func(dep rgmodel.Departure) bool {
		if dep.Unreachable {
			return now.Sub(dep.At) > max(win, UnreachableWindow)
		}
		return now.Sub(dep.At) > win
	})
	return lost
}

// Learn adds what another entry knows: sidecars that have not announced themselves here yet, and departures.
func Learn(sta *State, scs []rgmodel.Sidecar, deps []rgmodel.Departure, now time.Time) {
	if sta.Members == nil {
		sta.Members = map[string]*Member{}
	}
	for _, sc := range scs {
		if sta.Members[sc.Name] == nil {
			sta.Members[sc.Name] = &Member{Sidecar: sc, Cut: now}
		}
	}
	for _, dep := range deps {
		if member(sta, dep.Sidecar) == nil && !slices.Contains(sta.Departed, dep) {
			sta.Departed = append(sta.Departed, dep)
		}
	}
}

func depart(sta *State, mem *Member, unreachable bool, now time.Time) {
	sta.Departed = append(sta.Departed, rgmodel.Departure{Sidecar: mem.Sidecar.Key(), At: now, Unreachable: unreachable})
}
