package rgcli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgqueryapi"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
	"ragwortgap/io/rgstandin"
)

// testTimeout ends a test that hangs. No result depends on it.
const testTimeout = 30 * time.Second

// TestStatus guards against a status that reports a change as in force before the sidecars have it, or that omits entries
// that do not answer.
func TestStatus(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	store := httptest.NewServer(&rgstandin.Store{})
	t.Cleanup(store.Close)
	entry, adr := startEntry(ctx, t, store.URL)
	set := rgsettings.Sidecar{
		Name: "sidecar0", AvailabilityZone: "zone0", Entries: []string{entry.Self().Address}, Upstream: "http://127.0.0.1:1",
		Slots: 1, Connections: 1,
	}
	if err := rgsettings.CheckSidecar(&set); err != nil {
		t.Fatal(err)
	}
	sidecar, err := rgsidecar.Start(ctx, set, zap.NewNop(), tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-entry.Done
		<-sidecar.Done
	})
	checkMain(t, []string{"apply", "--store=" + store.URL, examples + "kitapDostu.json"}, exitOK, []string{"revision 1"})
	tic := time.NewTicker(10 * time.Millisecond)
	defer tic.Stop()
	inForce := func() bool {
		vie := entry.View()
		return len(vie.Sidecars) == 1 && vie.Config.Teams == 1 && Main([]string{"status", adr}, &bytes.Buffer{}, &bytes.Buffer{}) == exitOK
	}
	for !inForce() {
		select {
		case <-tic.C:
		case <-ctx.Done():
			t.Fatal("the change is not in force")
		}
	}
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"in force":        {[]string{"status", adr}, exitOK, []string{"entry0", "1 teams, revisions 1", "in force at 1 of 1 sidecars"}},
		"one team":        {[]string{"status", "--team=kitapDostu", adr}, exitOK, []string{"team kitapDostu: revision 1"}},
		"entry is down":   {[]string{"status", adr, "127.0.0.1:1"}, exitFailure, []string{"1 of 1 sidecars", "1 entries without answer"}},
		"invalid address": {[]string{"status", "%"}, exitFailure, []string{"1 entries without answer"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { checkMain(t, tc.args, tc.code, tc.want) })
	}
}

func startEntry(ctx context.Context, t *testing.T, store string) (*rgentry.Process, string) {
	t.Helper()
	set := rgsettings.Entry{
		Name: "entry0", AvailabilityZone: "zone0", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Store: store,
	}
	if err := rgsettings.CheckEntry(&set); err != nil {
		t.Fatal(err)
	}
	pro, err := rgentry.Start(ctx, set, zap.NewNop(), tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	rtr := httprouter.New()
	rgqueryapi.Routes{Entry: pro}.Register(rtr)
	srv := httptest.NewServer(rtr)
	t.Cleanup(srv.Close)
	return pro, srv.Listener.Addr().String()
}
