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

	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgstore"
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
				lis := *tc.events[call-1]
				lis.Items = slices.DeleteFunc(slices.Clone(lis.Items), func(itm rgstore.Item) bool { return itm.Version <= after })
				return lis, nil
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
				go pro.watchOperatorKeys(ctx)
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
