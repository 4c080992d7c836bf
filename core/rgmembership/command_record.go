package rgmembership

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// AddSeed records an address from the settings.
func AddSeed(sta *State, now time.Time, adr string) {
	if kno := known(sta, now, adr); kno != nil {
		kno.Seed = true
	}
}

// RecordListed records the entries in the store. The list replaces the one before it.
func RecordListed(sta *State, now time.Time, ents []rgmodel.Entry) {
	for _, kno := range sta.Entries {
		if kno.Listed {
			kno.Listed = false
			kno.LastSeen, kno.LastMentioned = now, now
		}
	}
	for _, ent := range ents {
		if isRefused(sta, ent.Address) {
			continue
		}
		if kno := describe(sta, now, ent); kno != nil {
			kno.Listed = true
			kno.LastSeen = now
		}
	}
}

// RecordFound records entries that the process has looked up in the store. Unlike listed ones, they are forgotten unless somebody
// mentions them again.
func RecordFound(sta *State, now time.Time, ents []rgmodel.Entry) {
	for _, ent := range ents {
		if !isRefused(sta, ent.Address) {
			describe(sta, now, ent)
		}
	}
}

// RecordOpened records an open connection to the entry at the address.
func RecordOpened(sta *State, now time.Time, con ConnID, adr string) {
	kno := known(sta, now, adr)
	if kno == nil {
		return
	}
	if bef := sta.Entries[sta.Conns[con]]; bef != nil {
		delete(bef.Conns, con)
		if bef != kno && bef.DescribedBy == con {
			bef.DescribedBy = 0
		}
	}
	if sta.Conns == nil {
		sta.Conns = map[ConnID]string{}
	}
	if kno.Conns == nil {
		kno.Conns = map[ConnID]bool{}
	}
	sta.Conns[con] = adr
	kno.Conns[con] = true
	kno.RetryAt, kno.RetryDelay = time.Time{}, 0
	sta.Changed = true
}

// RecordSeen records the description that an entry has sent over an open connection.
func RecordSeen(sta *State, now time.Time, con ConnID, ent rgmodel.Entry) {
	kno := describeOver(sta, now, con, ent)
	if kno == nil {
		return
	}
	kno.LastSeen = now
	if !kno.Conns[con] {
		RecordOpened(sta, now, con, ent.Address)
	}
}

// RecordMentions records a change of the list of the peer of an open connection. If full is set, the entries replace the list.
func RecordMentions(sta *State, now time.Time, con ConnID, ents []rgmodel.Entry, left []string, full bool) {
	if full {
		forgetMentions(sta, now, con)
	}
	for _, ent := range ents {
		if isRefused(sta, ent.Address) {
			continue
		}
		if isOwnName(sta, ent) {
			continue
		}
		kno := known(sta, now, ent.Address)
		if kno == nil {
			continue
		}
		switch {
		case sta.Conns[con] == ent.Address:
			describeOver(sta, now, con, ent)
		case kno.LastSeen.IsZero() && kno.DescribedBy == 0:
			setEntry(sta, kno, ent)
		}
		if kno.Mentions == nil {
			kno.Mentions = map[ConnID]bool{}
		}
		kno.Mentions[con] = true
		kno.LastMentioned = now
	}
	for _, adr := range left {
		if kno := sta.Entries[adr]; kno != nil && kno.Mentions[con] {
			delete(kno.Mentions, con)
			kno.LastMentioned = now
		}
	}
}

func forgetMentions(sta *State, now time.Time, con ConnID) {
	for _, kno := range sta.Entries {
		if kno.Mentions[con] {
			delete(kno.Mentions, con)
			kno.LastMentioned = now
		}
	}
}

// RecordClosed records that a connection is lost, and with it the list of its peer.
func RecordClosed(sta *State, now time.Time, con ConnID) {
	if kno := sta.Entries[sta.Conns[con]]; kno != nil && kno.Conns[con] {
		delete(kno.Conns, con)
		if kno.DescribedBy == con {
			kno.DescribedBy = 0
		}
		kno.LastMentioned, kno.UnreachableSince = now, now
		if !kno.LastSeen.IsZero() {
			kno.LastSeen = now
		}
	}
	delete(sta.Conns, con)
	sta.Changed = true
	forgetMentions(sta, now, con)
}

// describe records the description of an entry by the store, unless the entry has described itself. It returns nil for the process
// itself and for an entry without an address.
func describe(sta *State, now time.Time, ent rgmodel.Entry) *KnownEntry {
	if isOwnName(sta, ent) {
		return nil
	}
	kno := known(sta, now, ent.Address)
	if kno != nil {
		if kno.DescribedBy == 0 {
			setEntry(sta, kno, ent)
		}
		kno.LastMentioned = now
	}
	return kno
}

// describeOver records the description that an entry has sent of itself. That of the first of several connections is kept.
func describeOver(sta *State, now time.Time, con ConnID, ent rgmodel.Entry) *KnownEntry {
	if isOwnName(sta, ent) {
		return nil
	}
	kno := known(sta, now, ent.Address)
	if kno == nil {
		return nil
	}
	if kno.DescribedBy == 0 {
		kno.DescribedBy = con
	}
	if kno.DescribedBy == con {
		setEntry(sta, kno, ent)
	}
	kno.LastMentioned = now
	return kno
}

// isOwnName reports whether an entry has the name of the process, which is an entry itself. It would be a connection to itself.
func isOwnName(sta *State, ent rgmodel.Entry) bool { return sta.Address != "" && ent.Name == sta.Name }

// setEntry changes the description of an entry. One that has started again is tried at once.
func setEntry(sta *State, kno *KnownEntry, ent rgmodel.Entry) {
	if kno.Entry == ent {
		return
	}
	if kno.Entry.Incarnation != ent.Incarnation {
		kno.RetryAt, kno.RetryDelay = time.Time{}, 0
	}
	kno.Entry = ent
	sta.Changed = true
}

// isRefused reports whether the address stays unknown, because too many others are known.
func isRefused(sta *State, adr string) bool {
	return len(sta.Entries) >= maxEntries && sta.Entries[adr] == nil
}

// known returns the entry at the address, which it adds if it is new. It returns nil for the process itself and for an empty
// address.
func known(sta *State, now time.Time, adr string) *KnownEntry {
	if adr == "" || adr == sta.Address {
		return nil
	}
	if sta.Entries == nil {
		sta.Entries = map[string]*KnownEntry{}
	}
	kno := sta.Entries[adr]
	if kno == nil {
		kno = &KnownEntry{Entry: rgmodel.Entry{Address: adr}, LastMentioned: now}
		sta.Entries[adr] = kno
		sta.Changed = true
	}
	return kno
}
