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
	// testTimeout only stops a test or benchmark that hangs.
	testTimeout  = 60 * time.Second
	pollInterval = 2 * time.Millisecond
)

type (
	// system runs a store stand-in, entries and sidecars in this process, connected over loopback.
	system struct {
		testing.TB
		ctx      context.Context
		store    *rgstandin.Store
		operator rgstore.Client
		entries  []*rgentry.Process
		// disconnectStore holds, for each entry, the function that disconnects it from the store.
		disconnectStore []context.CancelFunc
		sidecars        []*rgsidecar.Process
	}

	// entryStore is the connection of one entry to the store, until ctx ends.
	entryStore struct {
		store *rgstandin.Store
		ctx   context.Context
	}
)

// ServeHTTP aborts requests once the entry is disconnected, and ends a pending watch.
func (es *entryStore) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	if es.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, stop := context.WithCancel(req.Context())
	defer stop()
	defer context.AfterFunc(es.ctx, stop)()
	es.store.ServeHTTP(rsp, req.WithContext(ctx))
}

// startSystem starts the processes and waits until all entries are in the ring and can use all sidecars.
func startSystem(tb testing.TB, entries, sidecars int) *system {
	tb.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
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
	sys.operator = rgstore.Client{BaseURL: sys.serve(sys.store)}
	for range entries {
		sys.startEntry()
	}
	for range sidecars {
		sys.startSidecar()
	}
	sys.waitUntil("ring and sidecars", func() bool {
		for _, ent := range sys.entries {
			if vie := ent.View(); len(vie.Ring.Entries) != entries || vie.UsableSidecars != sidecars {
				return false
			}
		}
		return true
	})
	return sys
}

// serve starts an HTTP server and returns its URL.
func (sys *system) serve(hdl http.Handler) string {
	srv := httptest.NewServer(hdl)
	sys.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

// peers returns the peer addresses of the entries.
func (sys *system) peers() []string {
	var adrs []string
	for _, ent := range sys.entries {
		adrs = append(adrs, ent.Self().Address)
	}
	return adrs
}

// startEntry starts another entry, with the earlier entries as its peers.
func (sys *system) startEntry() *rgentry.Process {
	sys.Helper()
	ctx, disconnect := context.WithCancel(context.Background())
	sys.Cleanup(disconnect)
	es := &entryStore{store: sys.store, ctx: ctx}
	set := rgsettings.Entry{
		Name: fmt.Sprintf("entry%02d", len(sys.entries)), AvailabilityZone: "zone0",
		CallerAddress: anyPort, PeerAddress: anyPort, Store: sys.serve(es), Peers: sys.peers(),
	}
	if err := rgsettings.CheckEntry(&set); err != nil {
		sys.Fatal(err)
	}
	pro, err := rgentry.Start(sys.ctx, set, zap.NewNop(), tally.NoopScope)
	if err != nil {
		sys.Fatal(err)
	}
	sys.entries = append(sys.entries, pro)
	sys.disconnectStore = append(sys.disconnectStore, disconnect)
	return pro
}

// startSidecar starts another sidecar, which connects to the entries that are running.
func (sys *system) startSidecar() {
	sys.Helper()
	set := rgsettings.Sidecar{
		Name: fmt.Sprintf("sidecar%02d", len(sys.sidecars)), AvailabilityZone: "zone0", Entries: sys.peers(),
		// Nothing listens here, because no task is started.
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

// waitUntil polls a condition and fails the test if it is not met within testTimeout.
func (sys *system) waitUntil(what string, cond func() bool) {
	sys.Helper()
	tic := time.NewTicker(pollInterval)
	defer tic.Stop()
	for !cond() {
		select {
		case <-tic.C:
		case <-sys.ctx.Done():
			sys.Fatalf("not reached within %s: %s", testTimeout, what)
		}
	}
}

// applyChange writes a change to the store and returns its revision.
func (sys *system) applyChange(team, id string, burst float64) uint64 {
	sys.Helper()
	chg := rgstore.Change{Key: rgentry.ConfigKeyPrefix + team, ID: id, Config: rgmodel.TeamConfig{
		Team: team, Weight: 1, Quota: rgmodel.Quota{Sustained: 10, Burst: burst},
	}}
	res, err := sys.operator.Apply(sys.ctx, chg)
	app, ok := res.(rgstore.Applied)
	if err != nil || !ok {
		sys.Fatalf("apply %s: %+v, %v", id, res, err)
	}
	return app.Config.Revision
}

// inForce reports whether all entries have the revision, and the reports of all sidecars show the same version.
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
