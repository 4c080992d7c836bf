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
	old := sta.Members[sc.Name]
	if old != nil && old.Sidecar.Incarnation == sc.Incarnation {
		old.Connected, old.Sealed, old.ReportedAt = true, false, now
		return rgmodel.SidecarKey{}, false
	}
	add(sta, &Member{Sidecar: sc, Connected: true, ReportedAt: now})
	if old == nil {
		return rgmodel.SidecarKey{}, false
	}
	depart(sta, old, now)
	return old.Sidecar.Key(), true
}

// MarkSealed marks a sidecar as ready for work.
func MarkSealed(sta *State, key rgmodel.SidecarKey) {
	if mem := member(sta, key); mem != nil {
		mem.Sealed = true
	}
}

// MarkLeaving notes that a sidecar takes no more work. Its report that it drains may arrive later.
func MarkLeaving(sta *State, key rgmodel.SidecarKey) {
	if mem := member(sta, key); mem != nil {
		mem.Leaving = true
	}
}

// Report takes in a load report and ignores one that is older than the newest.
// It returns whether the report has led to an ejection.
func Report(sta *State, rep rgmodel.Report, now time.Time) bool {
	mem := member(sta, rgmodel.SidecarKey{Name: rep.Sidecar, Incarnation: rep.Incarnation})
	if mem == nil || rep.Sequence <= mem.Report.Sequence {
		return false
	}
	old := mem.Report
	mem.Report, mem.ReportedAt, mem.SentSinceReport = rep, now, mem.SentSinceReport[:0]
	learnTimes(sta, rep)
	return judge(sta, mem, old, now)
}

// CountSent counts tasks of a flow that go to a sidecar.
func CountSent(sta *State, key rgmodel.SidecarKey, flo rgmodel.Flow, tasks int) {
	mem := member(sta, key)
	if mem == nil {
		return
	}
	for i := range mem.SentSinceReport {
		if mem.SentSinceReport[i].Flow == flo {
			mem.SentSinceReport[i].Queued += tasks
			return
		}
	}
	mem.SentSinceReport = append(mem.SentSinceReport, rgmodel.FlowLoad{Flow: flo, Queued: tasks})
}

// Disconnect marks the connection of a sidecar as lost.
func Disconnect(sta *State, key rgmodel.SidecarKey, now time.Time) {
	if mem := member(sta, key); mem != nil && mem.Connected {
		mem.Connected, mem.DisconnectedAt = false, now
	}
}

// Sweep removes the sidecars that have been disconnected for LostAfter and returns them.
// It forgets departures older than the window.
func Sweep(sta *State, win time.Duration, now time.Time) []rgmodel.SidecarKey {
	var lost []rgmodel.SidecarKey
	for name, mem := range sta.Members {
		if !mem.Connected && now.Sub(mem.DisconnectedAt) >= LostAfter {
			depart(sta, mem, now)
			remove(sta, name)
			lost = append(lost, mem.Sidecar.Key())
		}
	}
	sta.Departed = slices.DeleteFunc(sta.Departed, func(dep rgmodel.Departure) bool { return now.Sub(dep.At) > win })
	return lost
}

// MergeSidecars adds what another entry knows: departures, and sidecars that are not connected here, which it returns.
// They have LostAfter from now on to announce themselves, whatever this entry believed of them before.
func MergeSidecars(sta *State, scs []rgmodel.Sidecar, deps []rgmodel.Departure, now time.Time) []rgmodel.SidecarKey {
	if sta.Members == nil {
		sta.Members = map[string]*Member{}
	}
	var added []rgmodel.SidecarKey
	for _, sc := range scs {
		old := sta.Members[sc.Name]
		if old != nil && old.Connected {
			continue
		}
		if old != nil && old.Sidecar.Incarnation != sc.Incarnation {
			depart(sta, old, now)
		}
		add(sta, &Member{Sidecar: sc, DisconnectedAt: now})
		added = append(added, sc.Key())
	}
	for _, dep := range deps {
		if !departed(sta, dep.Sidecar) {
			sta.Departed = append(sta.Departed, dep)
		}
	}
	return added
}

// add puts a member in the place of an earlier incarnation.
func add(sta *State, mem *Member) {
	remove(sta, mem.Sidecar.Name)
	sta.Members[mem.Sidecar.Name] = mem
	sta.JoinOrder = append(sta.JoinOrder, mem)
}

func remove(sta *State, name string) {
	if old := sta.Members[name]; old != nil {
		sta.JoinOrder = slices.DeleteFunc(sta.JoinOrder, func(mem *Member) bool { return mem == old })
		delete(sta.Members, name)
	}
}

func depart(sta *State, mem *Member, now time.Time) {
	sta.Departed = append(sta.Departed, rgmodel.Departure{Sidecar: mem.Sidecar.Key(), At: now})
}
