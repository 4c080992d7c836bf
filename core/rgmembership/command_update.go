package rgmembership

import (
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

// Update forgets expired entries, records the changes of the list passed on, and returns the connections to begin and to end.
func Update(sta *State, now time.Time) []Action {
	if !sta.Changed && now.Sub(sta.UpdatedAt) < idleInterval {
		return nil
	}
	sta.Changed, sta.UpdatedAt = false, now
	var acs []Action
	updateShared(sta, now)
	sel := selected(sta, now)
	for _, adr := range slices.Sorted(maps.Keys(sta.Entries)) {
		kno := sta.Entries[adr]
		gone := isGone(kno, now)
		switch {
		case gone && kno.Seed:
			// Another entry may run at the address of a seed later.
			kno.Entry = rgmodel.Entry{Address: adr}
		case gone:
			delete(sta.Entries, adr)
			sel[adr] = false
		}
		if sel[adr] {
			kno.SelectedAt = now
		}
		switch {
		case sel[adr] && !kno.Dialed && len(kno.Conns) == 0:
			kno.Dialed, kno.UnreachableSince = true, now
			acs = append(acs, Dial{Address: adr})
		case kno.Dialed && !sel[adr] && !isReachable(kno, now):
			kno.RetryDelay = min(max(2*kno.RetryDelay, retryDelay), maxRetryDelay)
			kno.Dialed, kno.RetryAt = false, now.Add(kno.RetryDelay)
			acs = append(acs, Drop{Address: adr})
		case kno.Dialed && (gone && !kno.Seed || now.Sub(kno.SelectedAt) >= surplusDelay):
			kno.Dialed = false
			acs = append(acs, Drop{Address: adr})
		}
	}
	return acs
}

// updateShared adds the entries that have been seen to the list passed on, and removes those that have not been for a while.
// Entries that only peers mention are not passed on: two processes that repeat each other's lists would never drop an
// entry that is gone.
func updateShared(sta *State, now time.Time) {
	for _, adr := range slices.Sorted(maps.Keys(sta.Entries)) {
		kno := sta.Entries[adr]
		switch share := isSeen(kno, now); {
		case share && !sameAddressee(kno.Shared, kno.Entry):
			kno.Shared = kno.Entry
			addChange(sta, Change{Entry: kno.Entry})
		case !share && kno.Shared.Address != "":
			addChange(sta, Change{Entry: kno.Shared, Left: true})
			kno.Shared = rgmodel.Entry{}
		}
	}
}

func addChange(sta *State, chg Change) {
	sta.Version++
	sta.Changes = append(sta.Changes, chg)
	if len(sta.Changes) > maxChanges {
		sta.Changes = slices.Delete(sta.Changes, 0, len(sta.Changes)-maxChanges)
	}
}
