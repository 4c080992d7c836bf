package rgdispatcher

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgstore"
)

// invalidEntries are values that describe no entry.
var invalidEntries = []string{
	``, `null`, `{}`, `[]`, `{`, "\xff\xfe", `"e"`, `1e999`, `{"name":7,"address":"10.0.0.9:7720"}`, `{"name":"odd","address":[]}`,
	strings.Repeat(`{"address":`, 100_000), strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
	`{"name":"odd"}`, `{"address":"10.0.0.9:7720"}`, `{"name":"odd","address":"10.0.0.9:70000"}`, `{"name":"odd","address":"10.0.0.9:-1"}`,
	`{"name":"odd","address":"10.0.0.9:0"}`, `{"name":"odd","address":"10.0.0.9"}`, `{"name":"odd","address":":7720"}`,
	`{"name":"odd","address":"0.0.0.0:7720"}`, `{"name":"odd","address":"[::]:7720"}`,
	`{"name":"` + strings.Repeat("a", 1<<16) + `","address":"10.0.0.9:7720"}`,
	`{"name":"odd","incarnation":36893488147419103232,"address":"10.0.0.9:7720"}`,
}

// maxScriptedCalls is the number of calls after which a scriptedStore does not reply any more.
const maxScriptedCalls = 1000

// scriptedStore replies to reads and watches by functions, which get the number of the call from 1 on.
type scriptedStore struct {
	Store
	get   func(call int) (rgstore.Item, error)
	watch func(call int, after uint64) (rgstore.Listing, error)
	list  func(call int) (rgstore.Listing, error)

	mutex                sync.Mutex
	gets, watches, lists int
}

func (sto *scriptedStore) Get(ctx context.Context, _ string) (rgstore.Item, error) {
	if sto.spins() {
		<-ctx.Done()
	}
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.gets++
	return sto.get(sto.gets)
}

func (sto *scriptedStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (rgstore.Listing, error) {
	if sto.spins() {
		<-ctx.Done()
	}
	sto.mutex.Lock()
	sto.watches++
	lis, err := sto.watch(sto.watches, after)
	sto.mutex.Unlock()
	if err == nil && len(lis.Items)+len(lis.Malformed) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return lis, err
}

func (sto *scriptedStore) List(context.Context, string) (rgstore.Listing, error) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.lists++
	return sto.list(sto.lists)
}

// spins reports whether there have been so many calls that the caller cannot have paused. Virtual time would not go on.
func (sto *scriptedStore) spins() bool {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	return sto.gets+sto.watches+sto.lists > maxScriptedCalls
}

// watchConfigTest is a case of TestWatchConfig: the replies of the store, and what the entry may do within ten seconds.
type watchConfigTest struct {
	get         func(call int) (rgstore.Item, error)
	watch       func(call int, after uint64) (rgstore.Listing, error)
	wantVersion uint64
	// maxCalls bounds the reads and watches.
	maxCalls int
	maxLines int
}

func watchConfigTests() map[string]watchConfigTest {
	sound := func(ver uint64) rgstore.Item {
		return rgstore.Item{Key: "op/config", Value: []byte(strconv.FormatUint(ver, 10)), Version: ver, StoreVersion: ver}
	}
	getSound := func(int) (rgstore.Item, error) { return sound(7), nil }
	getMalformed := func(int) (rgstore.Item, error) {
		return rgstore.Item{Key: "op/config", Version: 8, StoreVersion: 9}, errors.NotValidf("value")
	}
	malformed := []rgstore.MalformedItem{{Key: "op/config", Version: 8, Err: errors.NotValidf("value")}}
	idle := func(_ int, after uint64) (rgstore.Listing, error) { return rgstore.Listing{Version: after}, nil }
	// idleAfter returns the listing at the call, and nothing at the others.
	idleAfter := func(at int, lis rgstore.Listing) func(call int, after uint64) (rgstore.Listing, error) {
		return func(call int, after uint64) (rgstore.Listing, error) {
			if call == at {
				return lis, nil
			}
			return idle(call, after)
		}
	}
	older := sound(8)
	older.Value = []byte("3")
	return map[string]watchConfigTest{
		"sound":                       {get: getSound, watch: idle, wantVersion: 7, maxCalls: 15},
		"item that cannot be decoded": {get: getMalformed, watch: idle, maxCalls: 15, maxLines: 1},
		"malformed item, then a sound": {
			get: getMalformed, watch: idleAfter(2, rgstore.Listing{Items: []rgstore.Item{sound(10)}, Version: 10}),
			wantVersion: 10, maxCalls: 15, maxLines: 1,
		},
		"item without any version": {
			get:   func(int) (rgstore.Item, error) { return rgstore.Item{}, errors.NotValidf("item") },
			watch: idle, maxCalls: 70, maxLines: 1,
		},
		"value that is no configuration, without a version": {
			get:   func(int) (rgstore.Item, error) { return rgstore.Item{Key: "op/config", Value: []byte("{")}, nil },
			watch: idle, maxCalls: 70, maxLines: 1,
		},
		"malformed event": {
			get: getSound, watch: idleAfter(1, rgstore.Listing{Malformed: malformed, Version: 8}),
			wantVersion: 7, maxCalls: 15, maxLines: 1,
		},
		"malformed event without a store version": {
			get:         getSound,
			watch:       func(int, uint64) (rgstore.Listing, error) { return rgstore.Listing{Malformed: malformed}, nil },
			wantVersion: 7, maxCalls: 70, maxLines: 1,
		},
		"older version": {
			get: getSound, watch: idleAfter(1, rgstore.Listing{Items: []rgstore.Item{older}, Version: 8}), wantVersion: 7, maxCalls: 15,
		},
		"watch fails at once, reads succeed": {
			get:         getSound,
			watch:       func(int, uint64) (rgstore.Listing, error) { return rgstore.Listing{}, errors.New("status 429") },
			wantVersion: 7, maxCalls: 140, maxLines: 140,
		},
		"history before the last change discarded": {
			get: func(int) (rgstore.Item, error) {
				itm := sound(7)
				itm.StoreVersion = 1000
				return itm, nil
			},
			watch: func(call int, after uint64) (rgstore.Listing, error) {
				if after < 900 {
					return rgstore.Listing{}, errors.New("status 410")
				}
				return idle(call, after)
			},
			wantVersion: 7, maxCalls: 15,
		},
	}
}

// TestWatchConfig guards against a malformed configuration, or a store whose replies make no progress, that make an entry call the
// store without a pause, log without end, stop following the configuration, or go back to an older version.
func TestWatchConfig(t *testing.T) {
	for name, tc := range watchConfigTests() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cor, logs := observer.New(zap.WarnLevel)
				sto := &scriptedStore{get: tc.get, watch: tc.watch}
				pro := &Process{log: zap.New(cor), scope: tally.NoopScope, mailbox: rgmailbox.New[Event]()}
				pro.malformedConfigs.Log = pro.log
				pro.source = Source{Store: sto, ConfigKey: "op/config", Decode: decodeVersion}
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
				if got := versionOf(pro.Config()); got != tc.wantVersion {
					t.Errorf("version %d in force, want %d", got, tc.wantVersion)
				}
				if got := sto.gets + sto.watches; got > tc.maxCalls {
					t.Errorf("%d reads and %d watches in 10 s, want at most %d", sto.gets, sto.watches, tc.maxCalls)
				}
				if got := logs.Len(); got > tc.maxLines || (tc.maxLines > 0) != (got > 0) {
					t.Errorf("%d lines logged, want at most %d: %v", got, tc.maxLines, logs.All()[:min(got, 2)])
				}
			})
		})
	}
}

type pollEntriesTest struct {
	list      func(call int) (rgstore.Listing, error)
	want      []string
	wantLines int
}

func pollEntriesTests() map[string]pollEntriesTest {
	entry := func(nam string, ver uint64) rgstore.Item {
		val := `{"name":"` + nam + `","incarnation":"1","address":"10.0.0.` + nam[1:] + `:7720","availabilityZone":"a"}`
		return rgstore.Item{Key: EntryKeyPrefix + nam + "/1", Value: []byte(val), Version: ver}
	}
	malformed := func(val string) rgstore.Item {
		return rgstore.Item{Key: EntryKeyPrefix + "odd/", Value: []byte(val), Version: 9}
	}
	claim := entry("e1", 9)
	claim.Key = EntryKeyPrefix + "e2/1"
	return map[string]pollEntriesTest{
		"sound": {
			list: func(int) (rgstore.Listing, error) { return rgstore.Listing{Items: []rgstore.Item{entry("e1", 1)}}, nil },
			want: []string{"10.0.0.1:7720"},
		},
		"odd values": {
			list: func(int) (rgstore.Listing, error) {
				lis := rgstore.Listing{Items: []rgstore.Item{entry("e1", 1)}}
				for i, val := range invalidEntries {
					itm := malformed(val)
					itm.Key += strconv.Itoa(i)
					lis.Items = append(lis.Items, itm)
				}
				lis.Items = append(lis.Items, entry("e2", 1))
				return lis, nil
			},
			want: []string{"10.0.0.1:7720", "10.0.0.2:7720"}, wantLines: len(invalidEntries),
		},
		"key of another entry": {
			list: func(int) (rgstore.Listing, error) {
				return rgstore.Listing{Items: []rgstore.Item{claim, entry("e2", 1)}}, nil
			},
			want: []string{"10.0.0.2:7720"}, wantLines: 1,
		},
		"malformed item": {
			list: func(int) (rgstore.Listing, error) {
				return rgstore.Listing{
					Items: []rgstore.Item{entry("e1", 1)}, Malformed: []rgstore.MalformedItem{{Key: "x", Err: errors.New("x")}},
				}, nil
			},
			want: []string{"10.0.0.1:7720"}, wantLines: 1,
		},
		"then read in part": {
			list: func(call int) (rgstore.Listing, error) {
				if call == 1 {
					return rgstore.Listing{Items: []rgstore.Item{entry("e1", 1)}}, nil
				}
				return rgstore.Listing{Items: []rgstore.Item{entry("e2", 1)}, Incomplete: true}, nil
			},
			want: []string{"10.0.0.1:7720", "10.0.0.2:7720"},
		},
	}
}

// TestPollEntries guards against a registration of another writer that takes the sound ones out of use, that is logged at each read,
// and against a list that was read in part and removes entries.
func TestPollEntries(t *testing.T) {
	for name, tc := range pollEntriesTests() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cor, logs := observer.New(zap.WarnLevel)
				pro := &Process{log: zap.New(cor), scope: tally.NoopScope, mailbox: rgmailbox.New[Event]()}
				pro.malformedEntries.Log = pro.log
				pro.source.Store = &scriptedStore{list: tc.list}
				ctx, stop := context.WithTimeout(t.Context(), 21*time.Second)
				defer stop()
				sta, began := &State{}, time.Now()
				go pro.pollEntries(ctx)
				for ctx.Err() == nil {
					select {
					case evt := <-pro.mailbox.Events:
						now := time.Unix(1000, 0).Add(time.Since(began))
						pro.handle(sta, now, evt)
						rgmembership.Update(&sta.Members, now)
					case <-ctx.Done():
					}
				}
				synctest.Wait()
				if got := slices.Sorted(maps.Keys(sta.Members.Entries)); !slices.Equal(got, tc.want) {
					t.Errorf("known entries %v, want %v", got, tc.want)
				}
				if got := logs.Len(); got != tc.wantLines {
					t.Errorf("%d lines logged, want %d", got, tc.wantLines)
				}
			})
		})
	}
}

// TestListEntries guards against a record of an earlier process that is taken for the entry that runs at its address now.
func TestListEntries(t *testing.T) {
	record := func(nam, key string, ver uint64) rgstore.Item {
		return rgstore.Item{
			Key: EntryKeyPrefix + key, Version: ver,
			Value: []byte(`{"name":"` + nam + `","incarnation":"` + strconv.FormatUint(ver, 10) + `","address":"10.0.0.1:7720"}`),
		}
	}
	tests := map[string]struct {
		items []rgstore.Item
		want  []string
	}{
		"restarted":                    {items: []rgstore.Item{record("e1", "e1/9", 9), record("e1", "e1/3", 3)}, want: []string{"9"}},
		"replaced":                     {items: []rgstore.Item{record("e0", "e0/9", 9), record("e1", "e1/3", 3)}, want: []string{"9"}},
		"replaced, in the other order": {items: []rgstore.Item{record("e0", "e0/3", 3), record("e1", "e1/9", 9)}, want: []string{"9"}},
		"key without a lease":          {items: []rgstore.Item{record("e1", "e1", 9), record("e1", "e1/3", 3)}, want: []string{"3"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sto := &scriptedStore{list: func(int) (rgstore.Listing, error) { return rgstore.Listing{Items: tc.items}, nil }}
			lis, err := ListEntries(t.Context(), sto)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, ent := range lis.Entries {
				got = append(got, ent.Incarnation)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("incarnations %q, want %q", got, tc.want)
			}
		})
	}
}

// decodeVersion decodes a configuration that consists of its version.
func decodeVersion(raw []byte) (*rgroute.Config, error) {
	ver, err := strconv.ParseUint(string(raw), 10, 64)
	return &rgroute.Config{Version: ver}, err
}
