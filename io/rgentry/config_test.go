package rgentry_test

import (
	"encoding/json"
	"testing"

	"ragwortgap/core/rgring"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgstandin"
	"ragwortgap/io/rgstore"
)

const team = "kitapDostu"

// TestConfigInForce guards against accepted configurations that do not reach every entry and sidecar, or that revert.
func TestConfigInForce(t *testing.T) {
	tests := map[string]func(sys *system){
		"change of two teams": func(sys *system) {
			rev := sys.applyChange(team, "a", 1)
			sys.applyChange("zelenaSkola", "b", 1)
			sys.waitInForce(team, rev)
			sys.waitInForce("zelenaSkola", 1)
		},
		"store returns a stale state":           staleReads,
		"older revision is written":             olderRevision,
		"reply to the operator lost":            operatorReplyLost,
		"store outage":                          storeOutage,
		"new entry while the store is down":     entryJoinsDuringOutage,
		"new entry while the store is stale":    entryJoinsDuringStaleReads,
		"one entry disconnected from the store": entryDisconnected,
		"sidecar that starts after the changes": lateSidecar,
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(startSystem(t, 2, 2)) })
	}
	t.Run("pushing entries disconnected from the store", func(t *testing.T) { pushersDisconnected(startSystem(t, 4, 1)) })
}

// pushersDisconnected guards against a sidecar that keeps an outdated configuration because the two entries that push changes to
// it are disconnected from the store. The other entries must detect that from its reports, and repair it.
func pushersDisconnected(sys *system) {
	sys.waitInForce(team, sys.applyChange(team, "a", 1))
	for i, ent := range sys.entries {
		if rgring.RanksWithin(ent.View().Ring, ent.Self(), "sidecar00", 2) {
			sys.disconnectStore[i]()
		}
	}
	sys.waitInForce(team, sys.applyChange(team, "b", 2))
}

// waitInForce waits until the revision is in force at all entries and sidecars.
func (sys *system) waitInForce(team string, rev uint64) {
	sys.Helper()
	sys.waitUntil("configuration in force", func() bool { return sys.inForce(team, rev) })
}

// staleReads guards against entries that go back to an earlier revision: the store returns revision 1 again after revision 2 was in
// force. The change of another team, made after the store has recovered, shows that the entries have processed the stale state.
func staleReads(sys *system) {
	sys.waitInForce(team, sys.applyChange(team, "a", 1))
	sys.store.TakeSnapshot()
	sys.waitInForce(team, sys.applyChange(team, "b", 2))
	calls := sys.store.Calls()["GET keys"]
	sys.store.SetFaults(rgstandin.StoreFaults{StaleReads: true})
	sys.waitUntil("read of the stale state by entries", func() bool {
		sys.wantRevision(2)
		return sys.store.Calls()["GET keys"] >= calls+len(sys.entries)
	})
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitInForce("zelenaSkola", sys.applyChange("zelenaSkola", "c", 1))
	sys.wantRevision(2)
}

// olderRevision guards against processes that adopt a lower revision, which a faulty operator tool might write. The store accepts
// it.
func olderRevision(sys *system) {
	sys.applyChange(team, "a", 1)
	sys.waitInForce(team, sys.applyChange(team, "b", 2))
	itm, err := sys.operator.Get(sys.ctx, rgentry.ConfigKeyPrefix+team)
	if err != nil {
		sys.Fatal(err)
	}
	raw := json.RawMessage(`{"team":"kitapDostu","revision":1,"changeId":"old"}`)
	if res, ok := sys.operator.Put(sys.ctx, itm.Key, rgstore.Write{Value: raw, Expected: itm.Version}).(rgstore.Written); !ok {
		sys.Fatalf("got %+v, want written", res)
	}
	sys.waitInForce("zelenaSkola", sys.applyChange("zelenaSkola", "c", 1))
	sys.wantRevision(2)
}

// operatorReplyLost guards against a change that is lost or made twice when the store applies it and its reply is lost.
func operatorReplyLost(sys *system) {
	sys.store.SetFaults(rgstandin.StoreFaults{DropResponses: true})
	rev := sys.applyChange(team, "a", 1)
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitInForce(team, rev)
	sys.wantRevision(1)
}

// storeOutage guards against entries that lose the configuration in force during an outage of the store, or miss the changes after
// it.
func storeOutage(sys *system) {
	sys.waitInForce(team, sys.applyChange(team, "a", 1))
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	calls := sys.store.Calls()["GET keys"]
	sys.waitUntil("detection of the outage by entries", func() bool { return sys.store.Calls()["GET keys"] >= calls+2*len(sys.entries) })
	sys.wantRevision(1)
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitInForce(team, sys.applyChange(team, "b", 2))
}

// entryJoinsDuringOutage guards against an entry that starts during an outage of the store and gets no configuration from its peers,
// or does not join the ring after the outage.
func entryJoinsDuringOutage(sys *system) {
	sys.waitInForce(team, sys.applyChange(team, "a", 1))
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	ent := sys.startEntry()
	sys.waitUntil("configuration, ring and sidecars from a peer", func() bool {
		vie := ent.View()
		return vie.Teams[team].Revision == 1 && len(vie.Ring.Entries) == 2 && len(vie.Sidecars) == len(sys.sidecars)
	})
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitUntil("new entry in the ring", func() bool { return len(ent.View().Ring.Entries) == 3 })
	sys.waitInForce(team, sys.applyChange(team, "b", 2))
}

// entryJoinsDuringStaleReads guards against an entry that keeps the stale configuration of the store at its start although its peers
// have a newer one.
func entryJoinsDuringStaleReads(sys *system) {
	sys.waitInForce(team, sys.applyChange(team, "a", 1))
	sys.store.TakeSnapshot()
	sys.waitInForce(team, sys.applyChange(team, "b", 2))
	sys.store.SetFaults(rgstandin.StoreFaults{StaleReads: true})
	ent := sys.startEntry()
	sys.waitUntil("newest configuration from a peer", func() bool { return ent.View().Teams[team].Revision == 2 })
}

// entryDisconnected guards against an entry that does not learn of a change from its peers while it cannot reach the store.
func entryDisconnected(sys *system) {
	sys.waitInForce(team, sys.applyChange(team, "a", 1))
	sys.disconnectStore[1]()
	rev := sys.applyChange(team, "b", 2)
	sys.waitUntil("change at the disconnected entry", func() bool { return sys.entries[1].View().Teams[team].Revision == rev })
}

// lateSidecar guards against a sidecar that starts after changes and does not get the newest configuration.
func lateSidecar(sys *system) {
	sys.applyChange(team, "a", 1)
	sys.waitInForce(team, sys.applyChange(team, "b", 2))
	sys.startSidecar()
	sys.waitInForce(team, 2)
}

// wantRevision fails the test if an entry does not have the revision of the team.
func (sys *system) wantRevision(rev uint64) {
	sys.Helper()
	for _, ent := range sys.entries {
		if got := ent.View().Teams[team].Revision; got != rev {
			sys.Fatalf("entry %s has revision %d, want %d", ent.Self().Name, got, rev)
		}
	}
}
