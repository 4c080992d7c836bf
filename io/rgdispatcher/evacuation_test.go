package rgdispatcher

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgwire"
)

// recordingConn keeps what is written.
type recordingConn struct {
	discardConn
	written chan []byte
}

func (rec recordingConn) Write(raw []byte) (int, error) {
	rec.written <- slices.Clone(raw)
	return len(raw), nil
}

// newEvacuationPeers returns an entry with connections to another entry (1) and a sidecar (2) in zone a, and what is written to these.
func newEvacuationPeers() (*Process, *State, map[uint64]chan []byte) {
	pro := &Process{log: zap.NewNop(), scope: tally.NoopScope, self: rgmodel.Entry{Name: "edge-1", AvailabilityZone: "z"}}
	pro.source = newEvacuationSource(nil)
	sta := &State{Peers: map[uint64]*PeerConn{}, Callers: map[rgdispatch.CallerID]Caller{}}
	written := map[uint64]chan []byte{}
	for id := uint64(1); id <= 2; id++ {
		written[id] = make(chan []byte, 100)
		sta.Peers[id] = &PeerConn{Conn: rgwire.StartNotificationConn(context.Background(), recordingConn{written: written[id]})}
	}
	return pro, sta, written
}

// TestPassEvacuation guards against a peer that does not get a new set before the next placement, and against a set that is sent
// again with every message.
func TestPassEvacuation(t *testing.T) {
	pro, sta, written := newEvacuationPeers()
	now := time.Unix(1000, 0)
	message := func(id uint64) string {
		t.Helper()
		select {
		case raw := <-written[id]:
			return string(raw)
		case <-time.After(10 * time.Second):
			t.Fatalf("no message to peer %d", id)
			return ""
		}
	}
	adopt := func(ver uint64, zones ...string) {
		set := rgevacuation.Set{Version: ver}
		for _, zone := range zones {
			rgevacuation.Add(&set, rgevacuation.Zone{Name: zone, KeyVersion: ver})
		}
		pro.handle(sta, now, EvacuationReceived{Set: set, Origin: "store"})
	}
	contains := func(where, msg, text string, want bool) {
		t.Helper()
		if strings.Contains(msg, text) != want {
			t.Errorf("%s: %s, want %s in it: %v", where, msg, text, want)
		}
	}
	adopt(5, "a")
	other := rgmodel.Entry{Name: "edge-2", Address: "10.0.0.2:7720"}
	pro.receive(sta, now, MessageReceived{ID: 1, Message: rgwire.EntryHello{Entry: other}})
	contains("first message to an entry", message(1), `"evacuation":{"version":5,"zones":[{"name":"a"`, true)
	pro.receive(sta, now, MessageReceived{ID: 2, Message: rgwire.SidecarHello{Name: "side", Clock: rgmodel.SidecarTimeOf(now)}})
	contains("first message to a sidecar", message(2), `"evacuation":{"version":5,"zones":[{"name":"a"`, true)
	pro.sendHeartbeat(sta, 2, sta.Peers[2], now)
	contains("next message to a sidecar", message(2), `"evacuation"`, false)
	adopt(6)
	contains("withdrawal to an entry", message(1), `"evacuation":{"version":6}`, true)
	contains("withdrawal to a sidecar", message(2), `"evacuation":{"version":6}`, true)
	adopt(9)
	pro.sendHeartbeat(sta, 2, sta.Peers[2], now)
	contains("the same zones of a newer version", message(2), `"evacuation":{"version":9}`, true)
	set := rgevacuation.Set{Version: 11, Zones: []rgevacuation.Zone{{Name: "b", KeyVersion: 11}}}
	pro.receive(sta, now, MessageReceived{ID: 1, Message: rgwire.Gossip{From: other, Evacuation: &set}})
	contains("set of an entry, to that entry", message(1), `"evacuation"`, false)
	contains("set of an entry, to a sidecar", message(2), `"evacuation":{"version":11,"zones":[{"name":"b"`, true)
	invalid := rgevacuation.Set{Version: 99, Zones: []rgevacuation.Zone{{}}}
	pro.receive(sta, now, MessageReceived{ID: 1, Message: rgwire.Gossip{From: other, Evacuation: &invalid}})
	if got := sta.Dispatch.Evacuation.Version; got != 11 {
		t.Errorf("version %d after a set that is not valid, want 11", got)
	}
}

// TestUnknownZone guards against an evacuation whose name is misspelt without a trace, a line for each tick, and a line for a zone of which
// the entry knows a process.
func TestUnknownZone(t *testing.T) {
	tests := map[string]struct {
		zone string
		// renewed requests the evacuation again after some time.
		renewed   bool
		wantLines int
	}{
		"of the entry":             {zone: "z"},
		"of another entry":         {zone: "y"},
		"of a sidecar":             {zone: "a"},
		"unknown":                  {zone: "aa", wantLines: 1},
		"unknown, requested again": {zone: "aa", renewed: true, wantLines: 2},
		"of a sidecar, again":      {zone: "a", renewed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pro, sta, _ := newEvacuationPeers()
			cor, logs := observer.New(zap.WarnLevel)
			pro.log = zap.New(cor)
			now := time.Unix(1000, 0)
			ent := rgmodel.Entry{Name: "edge-2", Address: "10.0.0.2:7720", AvailabilityZone: "y"}
			pro.receive(sta, now, MessageReceived{ID: 1, Message: rgwire.EntryHello{Entry: ent}})
			pro.receive(sta, now, MessageReceived{ID: 2, Message: rgwire.SidecarHello{Name: "side", Clock: rgmodel.SidecarTimeOf(now)}})
			pro.receive(sta, now, MessageReceived{ID: 2, Message: rgwire.SidecarUpdate{Executor: &rgmodel.Executor{AvailabilityZone: "a"}}})
			for round := range 2 {
				ver := uint64(5)
				if tc.renewed {
					ver += uint64(round)
				}
				set := rgevacuation.Set{Version: ver, Zones: []rgevacuation.Zone{{Name: tc.zone, KeyVersion: ver}}}
				pro.handle(sta, now, EvacuationReceived{Set: set, Origin: "store"})
				for range 100 {
					now = now.Add(rgdispatch.TickInterval)
					pro.observeZones(sta, now)
				}
			}
			if got := logs.Len(); got != tc.wantLines {
				t.Fatalf("%d lines, want %d: %v", got, tc.wantLines, logs.All())
			}
			for _, lin := range logs.All() {
				if key := lin.ContextMap()["key"]; key != "op/evacuate/"+tc.zone {
					t.Errorf("line names %v", key)
				}
			}
		})
	}
}

// TestReady guards against an entry that takes jobs before it knows the evacuated zones, and against one that is never ready because all
// zones are evacuated.
func TestReady(t *testing.T) {
	set := &rgevacuation.Set{Version: 5, Zones: []rgevacuation.Zone{{Name: "a", KeyVersion: 5}}}
	usable, evacuated := &rgmodel.ExecutorReport{Usable: true}, &rgmodel.ExecutorReport{Evacuation: &rgmodel.EvacuationProgress{}}
	tests := map[string]struct {
		set      *rgevacuation.Set
		report   *rgmodel.ExecutorReport
		noConfig bool
		noPrefix bool
		want     bool
	}{
		"all known":                           {set: set, report: usable, want: true},
		"zones not known":                     {report: usable},
		"no evacuations in the deployment":    {report: usable, noPrefix: true, want: true},
		"no usable executor":                  {set: set, report: &rgmodel.ExecutorReport{}},
		"no usable executor but an evacuated": {set: set, report: evacuated, want: true},
		"no configuration":                    {set: set, report: usable, noConfig: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pro, sta, _ := newEvacuationPeers()
			if tc.noPrefix {
				pro.source.EvacuationPrefix = ""
			}
			if !tc.noConfig {
				pro.config.Store(&rgroute.Config{Version: 1})
			}
			now := time.Unix(1000, 0)
			pro.receive(sta, now, MessageReceived{ID: 1, Message: rgwire.Gossip{From: rgmodel.Entry{Name: "edge-2"}, Evacuation: tc.set}})
			pro.receive(sta, now, MessageReceived{ID: 2, Message: rgwire.SidecarHello{Name: "side", Clock: rgmodel.SidecarTimeOf(now)}})
			pro.receive(sta, now, MessageReceived{ID: 2, Message: rgwire.SidecarUpdate{Report: tc.report}})
			if got := pro.Ready(); got != tc.want {
				t.Errorf("ready %v, want %v", got, tc.want)
			}
		})
	}
}
