package rgmembership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortgap/core/rgmodel"
)

// candidate is a known entry with its rank.
type candidate struct {
	address string
	known   *KnownEntry
	rank    uint64
}

// selected returns the addresses of the entries that the process should be connected to: as many as its limits allow in its own
// zone and in the others, by rank, with replacements for those that cannot be reached. Seeds are added while it has too few
// connections.
func selected(sta *State, now time.Time) map[string]bool {
	var same, others []candidate
	connected := 0
	sel := map[string]bool{}
	addresses := connectedNames(sta)
	for adr, kno := range sta.Entries {
		if cur, found := addresses[kno.Entry.Name]; kno.Entry.Name == "" || found && cur != adr {
			continue
		}
		cnd := candidate{address: adr, known: kno, rank: Rank(sta.Name, kno.Entry.Name)}
		if sta.AvailabilityZone == "" || kno.Entry.AvailabilityZone == sta.AvailabilityZone {
			same = append(same, cnd)
		} else {
			others = append(others, cnd)
		}
	}
	for _, cnd := range append(choose(same, sta.Limits.SameZone, now), choose(others, sta.Limits.OtherZones, now)...) {
		sel[cnd.address] = true
		if len(cnd.known.Conns) > 0 {
			connected++
		}
	}
	if connected < minConnected {
		for adr, kno := range sta.Entries {
			if kno.Seed {
				sel[adr] = true
			}
		}
	}
	return sel
}

// connectedNames maps the names of the connected entries to the address of each. Another address of the same name is that of the same
// entry, of one that has moved, or of a record of another writer; a second connection could count runs of the first one as ended.
func connectedNames(sta *State) map[string]string {
	addresses := map[string]string{}
	for adr, kno := range sta.Entries {
		if len(kno.Conns) == 0 || kno.Entry.Name == "" {
			continue
		}
		cur, found := addresses[kno.Entry.Name]
		if !found || isPreferred(kno, sta.Entries[cur]) {
			addresses[kno.Entry.Name] = adr
		}
	}
	return addresses
}

// isPreferred reports whether the first of two connected addresses of an entry is kept.
func isPreferred(one, two *KnownEntry) bool {
	if described := one.DescribedBy != 0; described != (two.DescribedBy != 0) {
		return described
	}
	return one.Entry.Address < two.Entry.Address
}

// choose returns the candidates of the lowest rank until the limit of those that can be reached is met. Entries that cannot be reached
// may be any number, if they do not exist: only a few of them are chosen, and connected entries beyond the limit are kept until
// others are connected in their place.
func choose(cnds []candidate, limit int, now time.Time) []candidate {
	if limit <= 0 || len(cnds) <= limit {
		return cnds
	}
	slices.SortFunc(cnds, func(one, two candidate) int {
		return cmp.Or(cmp.Compare(one.rank, two.rank), cmp.Compare(one.address, two.address))
	})
	var chosen []candidate
	reachable, passedOver, connected := 0, 0, 0
	for _, cnd := range cnds {
		isConnected := len(cnd.known.Conns) > 0
		switch {
		case reachable < limit && isReachable(cnd.known, now), isConnected && connected < limit:
			reachable++
		case reachable < limit && passedOver < maxPassedOver*limit:
			passedOver++
		default:
			continue
		}
		if isConnected {
			connected++
		}
		chosen = append(chosen, cnd)
	}
	return chosen
}

// isReachable reports whether the process is connected to the entry or may soon be.
func isReachable(kno *KnownEntry, now time.Time) bool {
	switch {
	case len(kno.Conns) > 0:
		return true
	case kno.Dialed:
		return now.Sub(kno.UnreachableSince) < dialPatience
	default:
		return !now.Before(kno.RetryAt)
	}
}

// isSeen reports whether the entry exists by what the store or the entry itself has shown.
func isSeen(kno *KnownEntry, now time.Time) bool {
	return kno.Entry.Name != "" &&
		(kno.Listed || len(kno.Conns) > 0 || !kno.LastSeen.IsZero() && now.Sub(kno.LastSeen) < expiry)
}

// isGone reports whether there has been no sign of the entry for a while.
func isGone(kno *KnownEntry, now time.Time) bool {
	return !kno.Listed && len(kno.Conns) == 0 && len(kno.Mentions) == 0 && now.Sub(kno.LastMentioned) >= expiry
}

// sameAddressee ignores the incarnation: a restarted entry is reached in the same way.
func sameAddressee(one, two rgmodel.Entry) bool {
	one.Incarnation = two.Incarnation
	return one == two
}

// Rank returns the rank of an entry for a process, which differs between processes (rendezvous hashing: Thaler, Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998). A change of the fleet changes few selections.
func Rank(process, other string) uint64 {
	return xxhash.Sum64String(process + "/" + other)
}

// ChangesSince returns what has changed in the list passed on since the version: new or changed entries, and the addresses of
// those that have left. full is set if the result is the whole list.
func ChangesSince(sta *State, ver Version) (ents []rgmodel.Entry, left []string, full bool) {
	missed := int(sta.Version - ver)
	if ver == 0 || ver > sta.Version || missed > len(sta.Changes) {
		for _, kno := range sta.Entries {
			if kno.Shared.Address != "" {
				ents = append(ents, kno.Shared)
			}
		}
		slices.SortFunc(ents, func(one, two rgmodel.Entry) int { return cmp.Compare(one.Address, two.Address) })
		return ents, nil, true
	}
	last := map[string]Change{}
	var order []string
	for _, chg := range sta.Changes[len(sta.Changes)-missed:] {
		adr := chg.Entry.Address
		if _, found := last[adr]; !found {
			order = append(order, adr)
		}
		last[adr] = chg
	}
	for _, adr := range order {
		if chg := last[adr]; chg.Left {
			left = append(left, adr)
		} else {
			ents = append(ents, chg.Entry)
		}
	}
	return ents, left, false
}
