package rgdispatcher

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgstore"
	"ragwortgap/io/rgwire"
)

// newEvacuationSource returns a source in which a key with the value "bad" or an empty name is malformed.
func newEvacuationSource(sto Store) Source {
	return Source{
		Store: sto, ConfigKey: "op/config", Decode: decodeVersion, WatchPrefix: "op/", EvacuationPrefix: "op/evacuate/",
		DecodeZone: func(itm rgstore.Item) (string, error) {
			zone := strings.TrimPrefix(itm.Key, "op/evacuate/")
			if zone == "" || string(itm.Value) == "bad" {
				return "", errors.NotValidf("evacuation")
			}
			return zone, nil
		},
	}
}

func evacuationItem(zone string, ver uint64) rgstore.Item {
	return rgstore.Item{Key: "op/evacuate/" + zone, Value: []byte("{}"), Version: ver}
}

func badItem(zone string, ver uint64) rgstore.Item {
	return rgstore.Item{Key: "op/evacuate/" + zone, Value: []byte("bad"), Version: ver}
}

func removedItem(zone string, ver uint64) rgstore.Item {
	return rgstore.Item{Key: "op/evacuate/" + zone, Version: ver, Deleted: true}
}

// watchEvacuationTest is a case of TestWatchEvacuation. lists and events are the replies of the store in order; the last list and an
// empty reply are repeated. A nil list or reply is a failure.
type watchEvacuationTest struct {
	lists, events []*rgstore.Listing
	noConfig      bool
	want          []string
	wantVersion   uint64
	wantConfig    uint64
	// maxCalls bounds the calls in ten seconds, of which the watch makes 13.
	maxCalls int
	// wantLines is the number of lines about malformed items.
	wantLines int
}

func newListing(ver uint64, itms ...rgstore.Item) *rgstore.Listing {
	return &rgstore.Listing{Version: ver, Items: itms}
}

var watchEvacuationTests = map[string]watchEvacuationTest{
	"none": {lists: []*rgstore.Listing{newListing(9)}, wantVersion: 9, wantConfig: 7, maxCalls: 16},
	"at the start": {
		lists: []*rgstore.Listing{newListing(9, evacuationItem("b", 4), evacuationItem("a", 3))},
		want:  []string{"a", "b"}, wantVersion: 9, wantConfig: 7, maxCalls: 16,
	},
	"requested, beside a configuration": {
		lists: []*rgstore.Listing{newListing(9)}, events: []*rgstore.Listing{newListing(12, evacuationItem("a", 10), rgstore.Item{
			Key: "op/config", Value: []byte("8"), Version: 11,
		})},
		want: []string{"a"}, wantVersion: 12, wantConfig: 8, maxCalls: 17,
	},
	"withdrawn": {
		lists:  []*rgstore.Listing{newListing(9, evacuationItem("a", 4), evacuationItem("b", 4))},
		events: []*rgstore.Listing{newListing(10, removedItem("a", 10))},
		want:   []string{"b"}, wantVersion: 10, wantConfig: 7, maxCalls: 17,
	},
	"withdrawn and requested again between two calls, listed in another order": {
		lists:  []*rgstore.Listing{newListing(9, evacuationItem("a", 4))},
		events: []*rgstore.Listing{newListing(11, evacuationItem("a", 11), removedItem("a", 10))},
		want:   []string{"a"}, wantVersion: 11, wantConfig: 7, maxCalls: 17,
	},
	"change between the list and the read of the configuration": {
		lists: []*rgstore.Listing{newListing(5)}, events: []*rgstore.Listing{newListing(9, evacuationItem("a", 6))},
		want: []string{"a"}, wantVersion: 9, wantConfig: 7, maxCalls: 17,
	},
	"history dropped, withdrawn meanwhile": {
		lists:  []*rgstore.Listing{newListing(9, evacuationItem("a", 4)), newListing(90, evacuationItem("b", 80))},
		events: []*rgstore.Listing{nil},
		want:   []string{"b"}, wantVersion: 90, wantConfig: 7, maxCalls: 19,
	},
	"list turned away at the start": {
		lists: []*rgstore.Listing{nil, nil, newListing(9, evacuationItem("a", 4))},
		want:  []string{"a"}, wantVersion: 9, wantConfig: 7, maxCalls: 20,
	},
	"list of an older state": {
		lists:  []*rgstore.Listing{newListing(9, evacuationItem("a", 4)), newListing(3)},
		events: []*rgstore.Listing{nil},
		want:   []string{"a"}, wantVersion: 9, wantConfig: 7, maxCalls: 19,
	},
	"list that is not complete": {
		lists: []*rgstore.Listing{newListing(9, evacuationItem("a", 4)), {Version: 20, Incomplete: true}}, events: []*rgstore.Listing{nil},
		want: []string{"a"}, wantVersion: 9, wantConfig: 7, maxCalls: 145,
	},
	"no configuration": {
		lists: []*rgstore.Listing{newListing(9, evacuationItem("a", 4))}, noConfig: true,
		want: []string{"a"}, wantVersion: 9, maxCalls: 16,
	},
	"malformed name": {
		lists: []*rgstore.Listing{newListing(9, evacuationItem("", 3), evacuationItem("a", 4))},
		want:  []string{"a"}, wantVersion: 9, wantConfig: 7, maxCalls: 16, wantLines: 1,
	},
	"malformed value": {
		lists: []*rgstore.Listing{newListing(9)}, events: []*rgstore.Listing{newListing(10, badItem("a", 10))},
		wantVersion: 10, wantConfig: 7, maxCalls: 17, wantLines: 1,
	},
	"malformed value in place of a sound one": {
		lists: []*rgstore.Listing{newListing(9, evacuationItem("a", 4))}, events: []*rgstore.Listing{newListing(10, badItem("a", 10))},
		want: []string{"a"}, wantVersion: 10, wantConfig: 7, maxCalls: 17, wantLines: 1,
	},
	"malformed value in place of a sound one, listed again": {
		lists:  []*rgstore.Listing{newListing(9, evacuationItem("a", 4)), newListing(20, badItem("a", 10))},
		events: []*rgstore.Listing{newListing(10, badItem("a", 10)), nil},
		want:   []string{"a"}, wantVersion: 20, wantConfig: 7, maxCalls: 20, wantLines: 1,
	},
	"malformed value, removed": {
		lists:       []*rgstore.Listing{newListing(9, evacuationItem("a", 4))},
		events:      []*rgstore.Listing{newListing(10, badItem("a", 10)), newListing(11, removedItem("a", 11))},
		wantVersion: 11, wantConfig: 7, maxCalls: 18, wantLines: 1,
	},
	"item that cannot be decoded": {
		lists: []*rgstore.Listing{newListing(9)},
		events: []*rgstore.Listing{{Version: 10, Malformed: []rgstore.MalformedItem{
			{Key: "op/evacuate/a", Version: 10, Err: errors.NotValidf("item")},
		}}},
		wantVersion: 9, wantConfig: 7, maxCalls: 17, wantLines: 1,
	},
}

// newEvacuationStore returns a store with the replies of the case.
func newEvacuationStore(tc watchEvacuationTest) *scriptedStore {
	return &scriptedStore{
		get: func(int) (rgstore.Item, error) {
			if tc.noConfig {
				return rgstore.Item{}, errors.NotFoundf("key")
			}
			return rgstore.Item{Key: "op/config", Value: []byte("7"), Version: 2, StoreVersion: 9}, nil
		},
		list: func(call int) (rgstore.Listing, error) {
			if lis := tc.lists[min(call, len(tc.lists))-1]; lis != nil {
				return *lis, nil
			}
			return rgstore.Listing{}, errors.New("status 429")
		},
		watch: func(call int, after uint64) (rgstore.Listing, error) {
			switch {
			case call > len(tc.events):
				return rgstore.Listing{Version: after}, nil
			case tc.events[call-1] == nil:
				return rgstore.Listing{}, errors.New("status 410")
			default:
				return *tc.events[call-1], nil
			}
		},
	}
}

// TestWatchEvacuation guards against an evacuation or a withdrawal that an entry misses because the watch fails, the store has dropped
// its history, keys change quickly or are malformed, and against more than one line for a malformed key.
func TestWatchEvacuation(t *testing.T) {
	for name, tc := range watchEvacuationTests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cor, logs := observer.New(zap.WarnLevel)
				sto := newEvacuationStore(tc)
				pro := &Process{log: zap.New(cor), scope: tally.NoopScope, mailbox: rgmailbox.New[Event]()}
				pro.source = newEvacuationSource(sto)
				pro.malformedConfigs.Log, pro.malformedEvacuations.Log = pro.log, pro.log
				ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
				defer stop()
				sta := &State{}
				go pro.watchOperator(ctx)
				for running := true; running; {
					select {
					case evt := <-pro.mailbox.Events:
						pro.handle(sta, time.Unix(1000, 0), evt)
					case <-ctx.Done():
						running = false
					}
				}
				synctest.Wait()
				set := sta.Dispatch.Evacuation
				if got := zoneNames(set); !slices.Equal(got, tc.want) || set.Version != tc.wantVersion {
					t.Errorf("zones %v of version %d, want %v of %d", got, set.Version, tc.want, tc.wantVersion)
				}
				if got := versionOf(pro.Config()); got != tc.wantConfig {
					t.Errorf("configuration %d, want %d", got, tc.wantConfig)
				}
				if got := sto.gets + sto.watches + sto.lists; got > tc.maxCalls {
					t.Errorf("%d reads, %d watches and %d lists, want at most %d", sto.gets, sto.watches, sto.lists, tc.maxCalls)
				}
				if got := logs.FilterMessage("malformed item in the store").Len(); got != tc.wantLines {
					t.Errorf("%d lines about malformed items, want %d: %v", got, tc.wantLines, logs.All())
				}
			})
		})
	}
}

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
