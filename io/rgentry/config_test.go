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
			rev := sys.accept(team, "a", 1)
			sys.accept("zelenaSkola", "b", 1)
			sys.untilInForce(team, rev)
			sys.untilInForce("zelenaSkola", 1)
		},
		"store shows an older state":            olderState,
		"older revision is written":             olderRevision,
		"answer to the operator lost":           operatorAnswerLost,
		"store down and back":                   storeDown,
		"new entry while the store is down":     newEntry,
		"new entry while the store shows old":   newEntryOldState,
		"one entry cut off from the store":      cutOff,
		"sidecar that starts after the changes": lateSidecar,
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(start(t, 2, 2)) })
	}
	t.Run("entries that push to a sidecar cut off", func(t *testing.T) { pushersCutOff(start(t, 4, 1)) })
}

// pushersCutOff cuts off the two entries that send the sidecar changes at once; the others have to notice that it lags.
func pushersCutOff(sys *system) {
	sys.untilInForce(team, sys.accept(team, "a", 1))
	for i, ent := range sys.entries {
		if rgring.RanksWithin(ent.View().Ring, ent.Self(), "sidecar00", 2) {
			sys.cuts[i]()
		}
	}
	sys.untilInForce(team, sys.accept(team, "b", 2))
}

func (sys *system) untilInForce(team string, rev uint64) {
	sys.Helper()
	sys.until("configuration in force", func() bool { return sys.inForce(team, rev) })
}

// olderState shows revision 1 again after revision 2 was in force. A change of another team, made once the store is
// right again, proves that the entries have gone through the older state.
func olderState(sys *system) {
	sys.untilInForce(team, sys.accept(team, "a", 1))
	sys.store.Remember()
	sys.untilInForce(team, sys.accept(team, "b", 2))
	calls := sys.store.Calls()["GET keys"]
	sys.store.SetFaults(rgstandin.StoreFaults{Stale: true})
	sys.until("entries have read the older state", func() bool {
		sys.wantRevision(2)
		return sys.store.Calls()["GET keys"] >= calls+len(sys.entries)
	})
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.untilInForce("zelenaSkola", sys.accept("zelenaSkola", "c", 1))
	sys.wantRevision(2)
}

// olderRevision has an operator with a faulty tool write a lower revision; the store takes it, and no process may.
func olderRevision(sys *system) {
	sys.accept(team, "a", 1)
	sys.untilInForce(team, sys.accept(team, "b", 2))
	itm, err := sys.operator.Get(sys.ctx, rgentry.KeyConfig+team)
	if err != nil {
		sys.Fatal(err)
	}
	raw := json.RawMessage(`{"team":"kitapDostu","revision":1,"changeId":"old"}`)
	if res, ok := sys.operator.Put(sys.ctx, itm.Key, rgstore.Write{Value: raw, Expected: itm.Version}).(rgstore.Written); !ok {
		sys.Fatalf("got %+v, want written", res)
	}
	sys.untilInForce("zelenaSkola", sys.accept("zelenaSkola", "c", 1))
	sys.wantRevision(2)
}

func operatorAnswerLost(sys *system) {
	sys.store.SetFaults(rgstandin.StoreFaults{LoseAnswers: true})
	rev := sys.accept(team, "a", 1)
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.untilInForce(team, rev)
	sys.wantRevision(1)
}

func storeDown(sys *system) {
	sys.untilInForce(team, sys.accept(team, "a", 1))
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	calls := sys.store.Calls()["GET keys"]
	sys.until("entries have noticed", func() bool { return sys.store.Calls()["GET keys"] >= calls+2*len(sys.entries) })
	sys.wantRevision(1)
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.untilInForce(team, sys.accept(team, "b", 2))
}

func newEntry(sys *system) {
	sys.untilInForce(team, sys.accept(team, "a", 1))
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	ent := sys.startEntry()
	sys.until("configuration, ring and sidecars from a peer", func() bool {
		vie := ent.View()
		return vie.Teams[team].Revision == 1 && len(vie.Ring.Entries) == 2 && len(vie.Sidecars) == len(sys.sidecars)
	})
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.until("new entry in the ring", func() bool { return len(ent.View().Ring.Entries) == 3 })
	sys.untilInForce(team, sys.accept(team, "b", 2))
}

func newEntryOldState(sys *system) {
	sys.untilInForce(team, sys.accept(team, "a", 1))
	sys.store.Remember()
	sys.untilInForce(team, sys.accept(team, "b", 2))
	sys.store.SetFaults(rgstandin.StoreFaults{Stale: true})
	ent := sys.startEntry()
	sys.until("newest configuration from a peer", func() bool { return ent.View().Teams[team].Revision == 2 })
}

func cutOff(sys *system) {
	sys.untilInForce(team, sys.accept(team, "a", 1))
	sys.cuts[1]()
	rev := sys.accept(team, "b", 2)
	sys.until("change at the entry that is cut off", func() bool { return sys.entries[1].View().Teams[team].Revision == rev })
}

func lateSidecar(sys *system) {
	sys.accept(team, "a", 1)
	sys.untilInForce(team, sys.accept(team, "b", 2))
	sys.startSidecar()
	sys.untilInForce(team, 2)
}

func (sys *system) wantRevision(rev uint64) {
	sys.Helper()
	for _, ent := range sys.entries {
		if got := ent.View().Teams[team].Revision; got != rev {
			sys.Fatalf("entry %s has revision %d, want %d", ent.Self().Name, got, rev)
		}
	}
}
