package rgdispatcher

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgwire"
)

// TestInvalidEntryOfPeer guards against an entry with an address that cannot be dialed, or without a name, that a peer makes known, that
// is dialed, and that is passed on to the fleet.
func TestInvalidEntryOfPeer(t *testing.T) {
	sound := rgmodel.Entry{Name: "e1", Incarnation: "1", Address: "10.0.0.1:7720", AvailabilityZone: "a"}
	other := rgmodel.Entry{Name: "e2", Incarnation: "1", Address: "10.0.0.2:7720", AvailabilityZone: "b"}
	malformed := map[string]rgmodel.Entry{
		"port too large": {Name: "odd", Address: "10.0.0.9:70000"},
		"port negative":  {Name: "odd", Address: "10.0.0.9:-1"},
		"port 0":         {Name: "odd", Address: "10.0.0.9:0"},
		"no port":        {Name: "odd", Address: "10.0.0.9"},
		"no host":        {Name: "odd", Address: ":7720"},
		"unspecified":    {Name: "odd", Address: "0.0.0.0:7720"},
		"no name":        {Address: "10.0.0.9:7720"},
		"no address":     {Name: "odd"},
	}
	messages := map[string]func(ent rgmodel.Entry) rgwire.Message{
		"hello":  func(ent rgmodel.Entry) rgwire.Message { return rgwire.EntryHello{Entry: ent} },
		"gossip": func(ent rgmodel.Entry) rgwire.Message { return rgwire.Gossip{From: ent} },
		"list": func(ent rgmodel.Entry) rgwire.Message {
			return rgwire.Gossip{From: sound, EntryChanges: rgwire.EntryChanges{Entries: []rgmodel.Entry{ent, other}, Full: true}}
		},
	}
	for name, ent := range malformed {
		for kind, message := range messages {
			t.Run(name+", "+kind, func(t *testing.T) {
				cor, logs := observer.New(zap.WarnLevel)
				sco := tally.NewTestScope("", nil)
				pro := &Process{log: zap.New(cor), scope: sco}
				con := rgwire.StartNotificationConn(t.Context(), discardConn{})
				defer con.Close()
				sta := &State{Peers: map[uint64]*PeerConn{1: {Conn: con}}}
				now := time.Unix(1000, 0)
				pro.receive(sta, now, MessageReceived{ID: 1, Message: message(ent)})
				var want, dialed []string
				if kind == "list" {
					want = []string{sound.Address, other.Address}
				}
				if got := slices.Sorted(maps.Keys(sta.Members.Entries)); !slices.Equal(got, want) {
					t.Errorf("known entries %q, want %q", got, want)
				}
				for _, act := range rgmembership.Update(&sta.Members, now) {
					if dia, ok := act.(rgmembership.Dial); ok && dia.Address == ent.Address {
						dialed = append(dialed, dia.Address)
					}
				}
				ents, _, _ := rgmembership.ChangesSince(&sta.Members, 0)
				if len(dialed) > 0 || slices.ContainsFunc(ents, func(cur rgmodel.Entry) bool { return cur.Address == ent.Address }) {
					t.Errorf("dialed %q, passed on %+v", dialed, ents)
				}
				if logs.FilterMessage("entry rejected").Len() != 1 || len(sco.Snapshot().Counters()) != 1 {
					t.Errorf("%d lines logged, %d counters, want one of each", logs.Len(), len(sco.Snapshot().Counters()))
				}
			})
		}
	}
}
