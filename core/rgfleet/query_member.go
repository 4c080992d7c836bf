package rgfleet

import (
	"cmp"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// Usable returns the members that may get new work, ordered by name.
func Usable(sta *State, now time.Time) []*Member {
	var mems []*Member
	for _, mem := range sta.Members {
		if usable(mem, now) {
			mems = append(mems, mem)
		}
	}
	slices.SortFunc(mems, func(fst, snd *Member) int { return cmp.Compare(fst.Sidecar.Name, snd.Sidecar.Name) })
	return mems
}

// Keys returns all known sidecars, connected or not, ordered by name.
func Keys(sta *State) []rgmodel.SidecarKey {
	scs := Sidecars(sta)
	keys := make([]rgmodel.SidecarKey, len(scs))
	for i, sc := range scs {
		keys[i] = sc.Key()
	}
	return keys
}

// Sidecars returns all known sidecars, connected or not, ordered by name.
func Sidecars(sta *State) []rgmodel.Sidecar {
	scs := make([]rgmodel.Sidecar, 0, len(sta.Members))
	for _, mem := range sta.Members {
		scs = append(scs, mem.Sidecar)
	}
	slices.SortFunc(scs, func(fst, snd rgmodel.Sidecar) int { return cmp.Compare(fst.Name, snd.Name) })
	return scs
}

// Departures returns the sidecars whose records are lost, with the latest time that the records may concern: the present
// for a sidecar that only this entry may have lost, because other entries may still give it work.
func Departures(sta *State, now time.Time) []rgmodel.Departure {
	deps := slices.Clone(sta.Departed)
	for i, dep := range deps {
		if dep.Unreachable {
			deps[i].At = now
		}
	}
	return deps
}

// Runnable reports whether any known sidecar has the resources, and is true while none is known.
func Runnable(sta *State, res rgmodel.Resources) bool {
	for _, mem := range sta.Members {
		if res.Fits(mem.Sidecar.Capacity.Resources) {
			return true
		}
	}
	return len(sta.Members) == 0
}

func usable(mem *Member, now time.Time) bool {
	return mem.Connected && mem.Sealed && !mem.Report.Draining && !mem.Leaving &&
		now.Sub(mem.Reported) <= MissLimit*ReportInterval && !now.Before(mem.Health.EjectedUntil)
}

func member(sta *State, key rgmodel.SidecarKey) *Member {
	mem := sta.Members[key.Name]
	if mem == nil || mem.Sidecar.Incarnation != key.Incarnation {
		return nil
	}
	return mem
}
