package rgentry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
	"ragwortgap/io/rgstandin"
	"ragwortgap/io/rgstore"
)

const (
	anyPort = "127.0.0.1:0"
	// bound only ends a test or benchmark that hangs.
	bound = 60 * time.Second
	poll  = 2 * time.Millisecond
)

type (
	// system is a store stand-in, entries and sidecars in this process over loopback.
	system struct {
		testing.TB
		ctx      context.Context
		store    *rgstandin.Store
		operator rgstore.Client
		entries  []*rgentry.Process
		// cuts holds for each entry what cuts it off from the store.
		cuts     []context.CancelFunc
		sidecars []*rgsidecar.Process
	}

	// cutStore is the store as one entry sees it, until ctx ends.
	cutStore struct {
		store *rgstandin.Store
		ctx   context.Context
	}
)

// ServeHTTP drops the connection once the entry is cut off, and ends a watch that waits.
func (cs *cutStore) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	if cs.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, stop := context.WithCancel(req.Context())
	defer stop()
	defer context.AfterFunc(cs.ctx, stop)()
	cs.store.ServeHTTP(rsp, req.WithContext(ctx))
}

func start(tb testing.TB, entries, sidecars int) *system {
	tb.Helper()
	ctx, stop := context.WithTimeout(context.Background(), bound)
	sys := &system{TB: tb, ctx: ctx, store: &rgstandin.Store{}}
	tb.Cleanup(func() {
		sys.store.SetFaults(rgstandin.StoreFaults{})
		stop()
		for _, ent := range sys.entries {
			<-ent.Done
		}
		for _, sid := range sys.sidecars {
			<-sid.Done
		}
	})
	sys.operator = rgstore.Client{Base: sys.serve(sys.store)}
	for range entries {
		sys.startEntry()
	}
	for range sidecars {
		sys.startSidecar()
	}
	sys.until("ring and sidecars", func() bool {
		for _, ent := range sys.entries {
			if vie := ent.View(); len(vie.Ring.Entries) != entries || vie.UsableSidecars != sidecars {
				return false
			}
		}
		return true
	})
	return sys
}

func (sys *system) serve(hdl http.Handler) string {
	srv := httptest.NewServer(hdl)
	sys.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

func (sys *system) peers() []string {
	var adrs []string
	for _, ent := range sys.entries {
		adrs = append(adrs, ent.Self().Address)
	}
	return adrs
}

func (sys *system) startEntry() *rgentry.Process {
	sys.Helper()
	ctx, cut := context.WithCancel(context.Background())
	sys.Cleanup(cut)
	cs := &cutStore{store: sys.store, ctx: ctx}
	set := rgsettings.Entry{
		Name: fmt.Sprintf("entry%02d", len(sys.entries)), AvailabilityZone: "zone0",
		CallerAddress: anyPort, PeerAddress: anyPort, Store: sys.serve(cs), Peers: sys.peers(),
	}
	if err := rgsettings.CheckEntry(&set); err != nil {
		sys.Fatal(err)
	}
	pro, err := rgentry.Start(sys.ctx, set, zap.NewNop(), tally.NoopScope)
	if err != nil {
		sys.Fatal(err)
	}
	sys.entries = append(sys.entries, pro)
	sys.cuts = append(sys.cuts, cut)
	return pro
}

func (sys *system) startSidecar() {
	sys.Helper()
	set := rgsettings.Sidecar{
		Name: fmt.Sprintf("sidecar%02d", len(sys.sidecars)), AvailabilityZone: "zone0", Entries: sys.peers(),
		// No task is started here.
		Upstream: "http://127.0.0.1:1", Slots: 1, Connections: 1,
	}
	if err := rgsettings.CheckSidecar(&set); err != nil {
		sys.Fatal(err)
	}
	pro, err := rgsidecar.Start(sys.ctx, set, zap.NewNop(), tally.NoopScope)
	if err != nil {
		sys.Fatal(err)
	}
	sys.sidecars = append(sys.sidecars, pro)
}

// until polls a condition, and fails the test when it does not hold within the bound.
func (sys *system) until(what string, cond func() bool) {
	sys.Helper()
	tic := time.NewTicker(poll)
	defer tic.Stop()
	for !cond() {
		select {
		case <-tic.C:
		case <-sys.ctx.Done():
			sys.Fatalf("not reached within %s: %s", bound, what)
		}
	}
}

// accept has the store accept a change and returns the revision.
func (sys *system) accept(team, id string, burst float64) uint64 {
	sys.Helper()
	chg := rgstore.Change{Key: rgentry.KeyConfig + team, ID: id, Config: rgmodel.TeamConfig{
		Team: team, Weight: 1, Quota: rgmodel.Quota{Sustained: 10, Burst: burst},
	}}
	res, err := sys.operator.Apply(sys.ctx, chg)
	app, ok := res.(rgstore.Applied)
	if err != nil || !ok {
		sys.Fatalf("apply %s: %+v, %v", id, res, err)
	}
	return app.Config.Revision
}

// inForce reports whether all entries have the revision, and all sidecars have told all entries the same version.
func (sys *system) inForce(team string, revision uint64) bool {
	for _, ent := range sys.entries {
		if !sys.inForceAt(ent, team, revision) {
			return false
		}
	}
	return true
}

func (sys *system) inForceAt(ent *rgentry.Process, team string, revision uint64) bool {
	vie := ent.View()
	cvs, err := ent.SidecarConfigs(sys.ctx)
	if err != nil || vie.Teams[team].Revision != revision || len(cvs) != len(sys.sidecars) {
		return false
	}
	for _, ver := range cvs {
		if ver != vie.Config {
			return false
		}
	}
	return true
}
