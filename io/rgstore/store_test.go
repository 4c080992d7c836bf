package rgstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgstandin"
	"ragwortgap/io/rgstore"
)

const (
	teamKey = "ragwortgap/config/kitapDostu"
	// testTimeout is far longer than any call takes. It ends a test that hangs.
	testTimeout = 20 * time.Second
)

// fixture is a client of a stand-in store over loopback. If set, afterRequest is called after the store has processed a
// request.
type fixture struct {
	*testing.T
	ctx          context.Context
	store        *rgstandin.Store
	cli          rgstore.Client
	afterRequest atomic.Pointer[func(req *http.Request)]
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fix := &fixture{T: t, store: &rgstandin.Store{}}
	srv := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		// The deferred call runs although the store drops the connection by a panic.
		defer func() {
			if fnc := fix.afterRequest.Load(); fnc != nil {
				(*fnc)(req)
			}
		}()
		fix.store.ServeHTTP(rsp, req)
	}))
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() { stop(); srv.Close() })
	fix.ctx, fix.cli = ctx, rgstore.Client{BaseURL: srv.URL}
	return fix
}

// newChange returns a change that sets the burst quota of the team.
func newChange(id string, burst float64) rgstore.Change {
	return rgstore.Change{Key: teamKey, ID: id, Config: rgmodel.TeamConfig{
		Team: "kitapDostu", Weight: 1, Quota: rgmodel.Quota{Sustained: 10, Burst: burst},
	}}
}

func (fix *fixture) apply(chg rgstore.Change) rgstore.ApplyResult {
	fix.Helper()
	res, err := fix.cli.Apply(fix.ctx, chg)
	if err != nil {
		fix.Fatal(err)
	}
	return res
}

func (fix *fixture) wantApplied(res rgstore.ApplyResult, revision uint64) {
	fix.Helper()
	app, ok := res.(rgstore.Applied)
	if !ok || app.Config.Revision != revision {
		fix.Errorf("got %+v, want revision %d applied", res, revision)
	}
}

// wantStored clears the faults of the store and checks the stored configuration.
func (fix *fixture) wantStored(id string, revision uint64) {
	fix.Helper()
	fix.store.SetFaults(rgstandin.StoreFaults{})
	itm, err := fix.cli.Get(fix.ctx, teamKey)
	if err != nil {
		fix.Fatal(err)
	}
	var tc rgmodel.TeamConfig
	if err := json.Unmarshal(itm.Value, &tc); err != nil {
		fix.Fatal(err)
	}
	if tc.ChangeID != id || tc.Revision != revision {
		fix.Errorf("the store holds change %s, revision %d, want %s, %d", tc.ChangeID, tc.Revision, id, revision)
	}
}

// TestApply guards against changes that are lost, applied twice or reported with a wrong outcome because of concurrent
// changes, lost replies, stale reads or an outage of the store.
func TestApply(t *testing.T) {
	tests := map[string]func(fix *fixture){
		"first change": func(fix *fixture) {
			fix.wantApplied(fix.apply(newChange("a", 1)), 1)
			fix.wantStored("a", 1)
		},
		"same change twice": func(fix *fixture) {
			fix.apply(newChange("a", 1))
			fix.wantApplied(fix.apply(newChange("a", 1)), 1)
			fix.wantStored("a", 1)
		},
		"same settings": func(fix *fixture) {
			fix.apply(newChange("a", 1))
			if res, ok := fix.apply(newChange("b", 1)).(rgstore.Unchanged); !ok || res.Config.Revision != 1 {
				fix.Errorf("got %+v, want unchanged", res)
			}
		},
		"concurrent changes":      testConcurrentChanges,
		"outdated base revision":  testOutdatedBase,
		"reply lost":              testReplyLost,
		"reply lost, overwritten": testOverwritten,
		"reply lost, stale read":  testReplyLostStaleRead,
		"outcome unknown":         testOutcomeUnknown,
		"store recovers":          testStoreRecovers,
		"stale read": func(fix *fixture) {
			fix.apply(newChange("a", 1))
			fix.apply(newChange("b", 2))
			fix.store.TakeSnapshot()
			fix.apply(newChange("c", 3))
			fix.apply(newChange("d", 4))
			fix.store.SetFaults(rgstandin.StoreFaults{StaleReads: true})
			// The store rejected the only write, so the change was never in force.
			res, ok := fix.apply(newChange("e", 5)).(rgstore.Superseded)
			if !ok || res.Theirs.ChangeID != "d" || res.Overwritten {
				fix.Errorf("got %+v, want superseded by d and nothing overwritten", res)
			}
			fix.wantStored("d", 4)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(newFixture(t)) })
	}
}

// testConcurrentChanges guards against more than one change that is applied to the same base revision, and against the others
// not being told which change was applied.
func testConcurrentChanges(fix *fixture) {
	fix.apply(newChange("base", 1))
	grp := pool.NewWithResults[rgstore.ApplyResult]().WithContext(fix.ctx)
	for num := range 8 {
		grp.Go(func(ctx context.Context) (rgstore.ApplyResult, error) {
			chg := newChange(fmt.Sprint("concurrent", num), float64(num+2))
			chg.BaseRevision = 1
			return fix.cli.Apply(ctx, chg)
		})
	}
	results, err := grp.Wait()
	if err != nil {
		fix.Fatal(err)
	}
	winner, superseded := "", 0
	for _, res := range results {
		if app, ok := res.(rgstore.Applied); ok {
			winner += app.Config.ChangeID
		}
	}
	for _, res := range results {
		if sup, ok := res.(rgstore.Superseded); ok && sup.Theirs.ChangeID == winner && sup.Mine.ChangeID != winner {
			superseded++
		}
	}
	if superseded != 7 {
		fix.Errorf("winner %q is reported to %d superseded changes, want 7", winner, superseded)
	}
	fix.wantStored(winner, 2)
}

// testOutdatedBase guards against a change that overwrites a revision that its operator has not seen.
func testOutdatedBase(fix *fixture) {
	fix.apply(newChange("a", 1))
	fix.apply(newChange("b", 2))
	chg := newChange("c", 3)
	chg.BaseRevision = 1
	res, ok := fix.apply(chg).(rgstore.Superseded)
	if !ok || res.Theirs.ChangeID != "b" || res.Mine.Quota.Burst != 3 {
		fix.Errorf("got %+v, want both versions", res)
	}
	fix.wantStored("b", 2)
}

// testReplyLost guards against an applied change that is written again, or not reported as applied, because the reply to its
// write was lost.
func testReplyLost(fix *fixture) {
	fix.store.SetFaults(rgstandin.StoreFaults{DropResponses: true})
	res := fix.apply(newChange("a", 1))
	fix.wantApplied(res, 1)
	if app, ok := res.(rgstore.Applied); !ok || app.Attempts != 1 {
		fix.Errorf("got %+v, want the change recognised after one write", res)
	}
	fix.wantStored("a", 1)
}

// testOverwritten guards against a change that is not reported as overwritten when the reply to its write was lost and another
// operator writes before the change is read back.
func testOverwritten(fix *fixture) {
	fix.store.SetFaults(rgstandin.StoreFaults{DropResponses: true})
	writeOther := func(req *http.Request) {
		if req.Method == http.MethodPut && fix.afterRequest.Swap(nil) != nil {
			fix.store.SetFaults(rgstandin.StoreFaults{})
			fix.apply(newChange("b", 2))
		}
	}
	fix.afterRequest.Store(&writeOther)
	res, ok := fix.apply(newChange("a", 1)).(rgstore.Superseded)
	if !ok || !res.Overwritten || res.Theirs.ChangeID != "b" {
		fix.Errorf("got %+v, want a overwritten by b", res)
	}
	fix.wantStored("b", 2)
}

// testReplyLostStaleRead guards against an applied change that is reported as lost. The reply to its write is lost and the read
// after it returns the state before it, so only a second write reveals the outcome.
func testReplyLostStaleRead(fix *fixture) {
	fix.apply(newChange("a", 1))
	fix.store.SetFaults(rgstandin.StoreFaults{StaleReads: true, DropResponses: true})
	keepStale := func(req *http.Request) {
		if req.Method == http.MethodPut {
			fix.store.SetFaults(rgstandin.StoreFaults{StaleReads: true})
		}
	}
	fix.afterRequest.Store(&keepStale)
	res := fix.apply(newChange("b", 2))
	fix.wantApplied(res, 2)
	if app, ok := res.(rgstore.Applied); !ok || app.Attempts != 2 {
		fix.Errorf("got %+v, want the change recognised at the second write", res)
	}
	fix.wantStored("b", 2)
}

// testOutcomeUnknown guards against an outcome that is reported although it is unknown, because the store goes down right after
// the write, and against a change that is made twice when the same change is applied again later.
func testOutcomeUnknown(fix *fixture) {
	fix.store.SetFaults(rgstandin.StoreFaults{DropResponses: true})
	ctx, stop := context.WithCancel(fix.ctx)
	takeDown := func(req *http.Request) {
		if req.Method == http.MethodPut {
			fix.store.SetFaults(rgstandin.StoreFaults{Down: true})
			stop()
		}
	}
	fix.afterRequest.Store(&takeDown)
	if res, err := fix.cli.Apply(ctx, newChange("a", 1)); err == nil {
		fix.Errorf("got %+v, want an error", res)
	}
	fix.afterRequest.Store(nil)
	fix.store.SetFaults(rgstandin.StoreFaults{})
	fix.wantApplied(fix.apply(newChange("a", 1)), 1)
	fix.wantStored("a", 1)
}

// testStoreRecovers guards against a change that is given up, although the store recovers after two calls.
func testStoreRecovers(fix *fixture) {
	fix.store.SetFaults(rgstandin.StoreFaults{Down: true})
	calls := 0
	recoverStore := func(*http.Request) {
		if calls++; calls == 2 {
			fix.store.SetFaults(rgstandin.StoreFaults{})
		}
	}
	fix.afterRequest.Store(&recoverStore)
	fix.wantApplied(fix.apply(newChange("a", 1)), 1)
	fix.wantStored("a", 1)
}

// TestStore guards against a client and a stand-in that handle versions, leases or watches differently.
func TestStore(t *testing.T) {
	tests := map[string]func(fix *fixture){
		"watch returns a change": func(fix *fixture) {
			fix.apply(newChange("a", 1))
			lis, err := fix.cli.Watch(fix.ctx, "ragwortgap/", 0, testTimeout)
			if err != nil || len(lis.Items) != 1 || lis.Items[0].Version != lis.Version {
				fix.Errorf("got %+v, %v", lis, err)
			}
		},
		"watch ends without a change": func(fix *fixture) {
			fix.apply(newChange("a", 1))
			lis, err := fix.cli.Watch(fix.ctx, "ragwortgap/", 1, time.Millisecond)
			if err != nil || len(lis.Items) != 0 || lis.Version != 1 {
				fix.Errorf("got %+v, %v", lis, err)
			}
		},
		"watch ignores other prefixes": func(fix *fixture) {
			fix.apply(newChange("a", 1))
			lis, err := fix.cli.Watch(fix.ctx, "other/", 0, time.Millisecond)
			if err != nil || len(lis.Items) != 0 {
				fix.Errorf("got %+v, %v", lis, err)
			}
		},
		"watch fails while the store is down": func(fix *fixture) {
			fix.store.SetFaults(rgstandin.StoreFaults{Down: true})
			if _, err := fix.cli.Watch(fix.ctx, "ragwortgap/", 0, testTimeout); err == nil {
				fix.Error("no error")
			}
		},
		"write with wrong version": func(fix *fixture) {
			fix.apply(newChange("a", 1))
			res := fix.cli.Put(fix.ctx, teamKey, rgstore.Write{Value: json.RawMessage("1"), Expected: 7})
			if con, ok := res.(rgstore.Conflicted); !ok || con.Current.Version != 1 {
				fix.Errorf("got %+v, want a conflict with version 1", res)
			}
		},
		"lease expires": testLeaseExpires,
		"lease revoked": func(fix *fixture) {
			lea := fix.grantLease(testTimeout)
			if err := fix.cli.Revoke(fix.ctx, lea.ID); err != nil {
				fix.Fatal(err)
			}
			if _, err := fix.cli.Get(fix.ctx, teamKey); !errors.Is(err, errors.NotFound) {
				fix.Errorf("got %v, want not found", err)
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { run(newFixture(t)) })
	}
}

// testLeaseExpires guards against a watch that misses the deletion of a key whose lease expires, and against the renewal of an
// expired lease. It waits for the expiry with a watch, as an entry does.
func testLeaseExpires(fix *fixture) {
	lea := fix.grantLease(time.Second)
	lis, err := fix.cli.Watch(fix.ctx, "ragwortgap/", 1, testTimeout)
	if err != nil || len(lis.Items) != 1 || !lis.Items[0].Deleted {
		fix.Errorf("got %+v, %v, want one deleted key", lis, err)
	}
	if err := fix.cli.Renew(fix.ctx, lea.ID); !errors.Is(err, errors.NotFound) {
		fix.Errorf("got %v, want not found", err)
	}
}

// grantLease grants a lease and writes a key that is attached to it.
func (fix *fixture) grantLease(ttl time.Duration) rgstore.Lease {
	fix.Helper()
	lea, err := fix.cli.Grant(fix.ctx, ttl)
	if err != nil {
		fix.Fatal(err)
	}
	wri := rgstore.Write{Value: json.RawMessage(`{}`), Lease: lea.ID}
	if res, ok := fix.cli.Put(fix.ctx, teamKey, wri).(rgstore.Written); !ok {
		fix.Fatalf("got %+v, want written", res)
	}
	return lea
}
