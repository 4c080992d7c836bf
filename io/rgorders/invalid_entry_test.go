package rgorders

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgwire"
)

// TestInvalidEntryOfPeer guards against an entry with an address that cannot be dialed, or without a name, that an entry makes a sidecar
// dial.
func TestInvalidEntryOfPeer(t *testing.T) {
	sound := rgmodel.Entry{Name: "e2", Incarnation: "1", Address: "10.0.0.2:7720", AvailabilityZone: "b"}
	tests := map[string]rgmodel.Entry{
		"port too large": {Name: "odd", Address: "10.0.0.9:70000"},
		"port negative":  {Name: "odd", Address: "10.0.0.9:-1"},
		"port 0":         {Name: "odd", Address: "10.0.0.9:0"},
		"no port":        {Name: "odd", Address: "10.0.0.9"},
		"no host":        {Name: "odd", Address: ":7720"},
		"unspecified":    {Name: "odd", Address: "0.0.0.0:7720"},
		"no name":        {Address: "10.0.0.9:7720"},
		"no address":     {Name: "odd"},
	}
	for name, ent := range tests {
		t.Run(name, func(t *testing.T) {
			cor, logs := observer.New(zap.WarnLevel)
			sco := tally.NewTestScope("", nil)
			pro := &Process{log: zap.New(cor), scope: sco}
			sta := &State{Conns: map[rgexecutor.EntryConnID]*EntryConn{}, StopDial: map[string]context.CancelFunc{}}
			now := time.Unix(1000, 0)
			pro.addConnection(sta, now, EntryConnected{Address: "10.0.0.1:7720", ID: 1})
			for range 2 {
				pro.receive(t.Context(), sta, now, MessageReceived{Conn: 1, Message: rgwire.EntryHeartbeat{
					EntryChanges: rgwire.EntryChanges{Entries: []rgmodel.Entry{ent, sound}, Full: true},
				}})
			}
			want := []string{"10.0.0.1:7720", sound.Address}
			if got := slices.Sorted(maps.Keys(sta.Members.Entries)); !slices.Equal(got, want) {
				t.Errorf("known entries %q, want %q", got, want)
			}
			if logs.FilterMessage("entry rejected").Len() != 1 || len(sco.Snapshot().Counters()) != 1 {
				t.Errorf("%d lines logged, %d counters, want one of each", logs.Len(), len(sco.Snapshot().Counters()))
			}
		})
	}
}
