package rgfleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// Usable returns the members that can get new tasks, ordered by name.
func Usable(sta *State, now time.Time) []*Member {
	var mems []*Member
	for _, mem := range sta.Members {
		if isUsable(mem, now) {
			mems = append(mems, mem)
		}
	}
	slices.SortFunc(mems, func(fst, snd *Member) int { return cmp.Compare(fst.Sidecar.Name, snd.Sidecar.Name) })
	return mems
}

// Sample returns up to sel.Limit random members that match the selector, in random order. Random samples keep entries with
// the same view of the fleet from all preferring the same members. The cost depends on the limit and not on the size of
// the fleet, unless few members match.
func Sample(sta *State, sel Selector, rnd *rand.Rand, now time.Time) []*Member {
	if sel.Limit < len(sta.MemberList)/2 {
		if mems := rejectionSample(sta, sel, rnd, now); len(mems) == sel.Limit {
			return mems
		}
	}
	var mems []*Member
	for _, mem := range sta.MemberList {
		if matches(mem, sel, now) {
			mems = append(mems, mem)
		}
	}
	rnd.Shuffle(len(mems), func(fst, snd int) { mems[fst], mems[snd] = mems[snd], mems[fst] })
	return mems[:min(sel.Limit, len(mems))]
}

// rejectionSample draws random members until sel.Limit of them match. It stops after four draws per requested member.
func rejectionSample(sta *State, sel Selector, rnd *rand.Rand, now time.Time) []*Member {
	mems := make([]*Member, 0, sel.Limit)
	seen := make(map[int]bool, 2*sel.Limit)
	for range 4 * sel.Limit {
		idx := rnd.IntN(len(sta.MemberList))
		if seen[idx] {
			continue
		}
		seen[idx] = true
		if mem := sta.MemberList[idx]; matches(mem, sel, now) {
			mems = append(mems, mem)
			if len(mems) == sel.Limit {
				break
			}
		}
	}
	return mems
}

// SidecarKeys returns all known sidecars, connected or not, ordered by name.
func SidecarKeys(sta *State) []rgmodel.SidecarKey {
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

// ConfigVersions returns the configurations in force at the known sidecars, as of their newest reports.
func ConfigVersions(sta *State) map[rgmodel.SidecarKey]rgmodel.ConfigVersion {
	cvs := make(map[rgmodel.SidecarKey]rgmodel.ConfigVersion, len(sta.Members))
	for _, mem := range sta.Members {
		cvs[mem.Sidecar.Key()] = mem.Report.Config
	}
	return cvs
}

// AnyFits reports whether any known sidecar has the resources. It returns true while no sidecar is known.
func AnyFits(sta *State, res rgmodel.Resources) bool {
	for _, mem := range sta.Members {
		if res.Fits(mem.Sidecar.Capacity.Resources) {
			return true
		}
	}
	return len(sta.Members) == 0
}

func matches(mem *Member, sel Selector, now time.Time) bool {
	return isUsable(mem, now) && !sel.Exclude[mem.Sidecar.Key()] && sel.Requires.Fits(mem.Sidecar.Capacity.Resources)
}

func isUsable(mem *Member, now time.Time) bool {
	return mem.Connected && mem.Sealed && !mem.Report.Draining && !mem.Report.Isolated && !mem.Leaving &&
		now.Sub(mem.ReportedAt) <= MissedReportLimit*IdleReportInterval && !isEjected(mem, now)
}

func findMember(sta *State, key rgmodel.SidecarKey) *Member {
	mem := sta.Members[key.Name]
	if mem == nil || mem.Sidecar.Incarnation != key.Incarnation {
		return nil
	}
	return mem
}
