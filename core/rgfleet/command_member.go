package rgfleet

import (
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// Announce adds a sidecar or marks it as connected again. It returns the earlier incarnation that it replaces, if any.
func Announce(sta *State, sc rgmodel.Sidecar, now time.Time) (rgmodel.SidecarKey, bool) {
	if sta.Members == nil {
		sta.Members = map[string]*Member{}
	}
	old := sta.Members[sc.Name]
	if old != nil && old.Sidecar.Incarnation == sc.Incarnation {
		old.Connected, old.Sealed, old.ReportedAt = true, false, now
		return rgmodel.SidecarKey{}, false
	}
	addMember(sta, &Member{Sidecar: sc, Connected: true, ReportedAt: now})
	if old == nil {
		return rgmodel.SidecarKey{}, false
	}
	recordDeparture(sta, old.Sidecar.Key(), now)
	return old.Sidecar.Key(), true
}

// MarkSealed records that a sidecar has replied to the seal on its connection and can get tasks.
func MarkSealed(sta *State, key rgmodel.SidecarKey) {
	if mem := findMember(sta, key); mem != nil {
		mem.Sealed = true
	}
}

// MarkLeaving records that a sidecar accepts no more tasks. The report that shows its drain may arrive later.
func MarkLeaving(sta *State, key rgmodel.SidecarKey) {
	if mem := findMember(sta, key); mem != nil {
		mem.Leaving = true
	}
}

// RecordReport processes a load report, unless it is not newer than the latest one of the sidecar.
// It reports whether the report has led to an ejection.
func RecordReport(sta *State, rep rgmodel.LoadReport, now time.Time) bool {
	mem := findMember(sta, rgmodel.SidecarKey{Name: rep.Sidecar, Incarnation: rep.Incarnation})
	if mem == nil || rep.Sequence <= mem.Report.Sequence {
		return false
	}
	old := mem.Report
	mem.Report, mem.ReportedAt, mem.SentSinceReport = rep, now, mem.SentSinceReport[:0]
	updateServiceTimes(sta, rep)
	return updateHealth(sta, mem, old, now)
}

// CountSent counts tasks of a flow that are being sent to a sidecar.
func CountSent(sta *State, key rgmodel.SidecarKey, flo rgmodel.Flow, tasks int) {
	mem := findMember(sta, key)
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
	if mem := findMember(sta, key); mem != nil && mem.Connected {
		mem.Connected, mem.DisconnectedAt = false, now
	}
}

// RemoveLost removes the sidecars that have been disconnected for LostAfter and returns them.
// It also deletes departures older than the retention time.
func RemoveLost(sta *State, retention time.Duration, now time.Time) []rgmodel.SidecarKey {
	var lost []rgmodel.SidecarKey
	for name, mem := range sta.Members {
		if !mem.Connected && now.Sub(mem.DisconnectedAt) >= LostAfter {
			recordDeparture(sta, mem.Sidecar.Key(), now)
			removeMember(sta, name)
			lost = append(lost, mem.Sidecar.Key())
		}
	}
	sta.Departed = slices.DeleteFunc(sta.Departed, func(dep rgmodel.Departure) bool { return now.Sub(dep.At) > retention })
	return lost
}

// MergeSidecars merges the departures and sidecars that another entry knows. It returns the sidecars that it has added,
// which are those not connected to this entry. They have LostAfter from now to announce themselves, even if this entry
// has known them as disconnected before.
func MergeSidecars(sta *State, scs []rgmodel.Sidecar, deps []rgmodel.Departure, now time.Time) []rgmodel.SidecarKey {
	if sta.Members == nil {
		sta.Members = map[string]*Member{}
	}
	var added []rgmodel.SidecarKey
	for _, sc := range scs {
		old := sta.Members[sc.Name]
		replaced := old != nil && old.Sidecar.Incarnation != sc.Incarnation
		if old != nil && old.Connected {
			if replaced {
				// The other entry has not noticed the replacement, so it does not list this incarnation as departed.
				recordDeparture(sta, sc.Key(), now)
			}
			continue
		}
		if replaced {
			recordDeparture(sta, old.Sidecar.Key(), now)
		}
		addMember(sta, &Member{Sidecar: sc, DisconnectedAt: now})
		added = append(added, sc.Key())
	}
	for _, dep := range deps {
		recordDeparture(sta, dep.Sidecar, dep.At)
	}
	return added
}

// addMember adds a member and removes its earlier incarnation, if any.
func addMember(sta *State, mem *Member) {
	removeMember(sta, mem.Sidecar.Name)
	sta.Members[mem.Sidecar.Name] = mem
	sta.MemberList = append(sta.MemberList, mem)
}

func removeMember(sta *State, name string) {
	if old := sta.Members[name]; old != nil {
		sta.MemberList = slices.DeleteFunc(sta.MemberList, func(mem *Member) bool { return mem == old })
		delete(sta.Members, name)
	}
}

// recordDeparture adds a departure, or moves it to a later time if the sidecar has returned and departed again since.
func recordDeparture(sta *State, key rgmodel.SidecarKey, at time.Time) {
	for i, dep := range sta.Departed {
		if dep.Sidecar == key {
			if at.After(dep.At) {
				sta.Departed[i].At = at
			}
			return
		}
	}
	sta.Departed = append(sta.Departed, rgmodel.Departure{Sidecar: key, At: at})
}
