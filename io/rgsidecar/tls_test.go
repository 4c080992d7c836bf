package rgsidecar

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgstandin"
	"ragwortgap/io/rgtls"
)

const testTimeout = 20 * time.Second

// writeFiles issues a certificate signed by signer and returns the files of a process that trusts the authority trusted.
func writeFiles(t *testing.T, trusted, signer rgstandin.Authority, name string) *rgtls.Files {
	t.Helper()
	dir := t.TempDir()
	crt, key, err := signer.Issue(name, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	fls := &rgtls.Files{
		Certificate: filepath.Join(dir, "tls.crt"), Key: filepath.Join(dir, "tls.key"), Authorities: filepath.Join(dir, "ca.crt"),
	}
	for file, raw := range map[string][]byte{fls.Certificate: crt, fls.Key: key, fls.Authorities: trusted.PEM} {
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fls
}

func newAuthority(t *testing.T, name string) rgstandin.Authority {
	t.Helper()
	aut, err := rgstandin.NewAuthority(name)
	if err != nil {
		t.Fatal(err)
	}
	return aut
}

// TestPeerTLS guards against sidecars that connect without a certificate of the authority, and against refusals that are
// missing from the entry's log.
func TestPeerTLS(t *testing.T) {
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	tests := map[string]struct {
		files              *rgtls.Files
		wantUsableSidecars int
		wantLog            string
	}{
		"certificate of the authority": {writeFiles(t, own, own, "sidecar.ragwortgap"), 1, "sidecar connected"},
		"another authority":            {writeFiles(t, own, other, "sidecar.ragwortgap"), 0, "peer refused"},
		"plain TCP":                    {nil, 0, "peer refused"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			store := httptest.NewServer(&rgstandin.Store{})
			cor, logs := observer.New(zap.InfoLevel)
			set := rgsettings.Entry{
				Name: "entry0", AvailabilityZone: "zone0", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Store: store.URL,
				PeerTLS: writeFiles(t, own, own, rgtls.EntryName),
			}
			if err := rgsettings.CheckEntry(&set); err != nil {
				t.Fatal(err)
			}
			ent, err := rgentry.Start(ctx, set, zap.New(cor), tally.NoopScope)
			if err != nil {
				t.Fatal(err)
			}
			sid, err := Start(ctx, rgsettings.Sidecar{
				Name: "sidecar0", Entries: []string{ent.Self().Address}, Upstream: store.URL, Slots: 1, Connections: 1, PeerTLS: tc.files,
			}, zap.NewNop(), tally.NoopScope)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				stop()
				<-ent.Done
				<-sid.Done
				store.CloseClientConnections()
				store.Close()
			})
			waitUntil(t, func() bool {
				return logs.FilterMessage(tc.wantLog).Len() > 0 && ent.View().UsableSidecars == tc.wantUsableSidecars
			})
		})
	}
}

// waitUntil polls a condition and fails the test if it is not met within testTimeout.
func waitUntil(t *testing.T, cond func() bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	tic := time.NewTicker(10 * time.Millisecond)
	defer tic.Stop()
	for !cond() {
		select {
		case <-tic.C:
		case <-timeout:
			t.Fatalf("condition not met within %s", testTimeout)
		}
	}
}
