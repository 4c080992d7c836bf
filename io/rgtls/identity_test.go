package rgtls

import (
	"crypto/tls"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"ragwortgap/io/rgstandin"
)

var testFiles = Files{Certificate: "tls.crt", Key: "tls.key", Authorities: "ca.crt"}

// openIdentity returns an identity with a certificate for the name by signer that trusts one authority, and its files.
func openIdentity(t *testing.T, trusted, signer rgstandin.Authority, name string, validity time.Duration) (*Identity, memFiles) {
	t.Helper()
	mem := memFiles{"ca.crt": trusted.PEM}
	mem["tls.crt"], mem["tls.key"] = issue(t, signer, name, validity)
	ide, err := Open(testFiles, mem.read)
	if err != nil {
		t.Fatal(err)
	}
	return ide, mem
}

// handshake connects a client to a server with the given configurations and returns the errors of both.
func handshake(t *testing.T, srv, cli *tls.Config) (srvErr, cliErr error) {
	t.Helper()
	// A net.Pipe has no buffer, so an alert and the rest of the peer's handshake would block each other.
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	cliCon, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	srvCon, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	srvErrs := make(chan error, 1)
	go func() {
		con := tls.Server(srvCon, srv)
		err := con.Handshake()
		if err == nil {
			_, err = con.Write([]byte{1})
		}
		srvErrs <- err
		_ = srvCon.Close()
	}()
	con := tls.Client(cliCon, cli)
	// In TLS 1.3, the client learns from its first read that the server rejects its certificate.
	_, cliErr = con.Read(make([]byte, 1))
	_ = cliCon.Close()
	return <-srvErrs, cliErr
}

// TestMutualTLS guards against accepting a peer with an expired certificate, with one of another authority or name, or without
// one, on either side.
func TestMutualTLS(t *testing.T) {
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	tests := map[string]struct {
		server, client                 rgstandin.Authority
		serverName                     string
		serverValidity, clientValidity time.Duration
		noClientCert                   bool
		wantErr                        string
	}{
		"both signed by the authority":   {server: own, client: own},
		"client of another authority":    {server: own, client: other, wantErr: "unknown authority"},
		"client without a certificate":   {server: own, client: own, noClientCert: true, wantErr: "didn't provide a certificate"},
		"client's certificate expired":   {server: own, client: own, clientValidity: -time.Minute, wantErr: "expired"},
		"server of another authority":    {server: other, client: own, wantErr: "bad certificate"},
		"server's certificate expired":   {server: own, client: own, serverValidity: -time.Minute, wantErr: "bad certificate"},
		"server with the sidecar's name": {server: own, client: own, serverName: "sidecar.ragwortgap", wantErr: "bad certificate"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if tc.serverName == "" {
				tc.serverName = EntryName
			}
			hourIfZero := func(dur time.Duration) time.Duration {
				if dur == 0 {
					return time.Hour
				}
				return dur
			}
			srv, _ := openIdentity(t, own, tc.server, tc.serverName, hourIfZero(tc.serverValidity))
			cli, _ := openIdentity(t, own, tc.client, "sidecar.ragwortgap", hourIfZero(tc.clientValidity))
			cfg := cli.ClientConfig()
			if tc.noClientCert {
				cfg.GetClientCertificate = nil
			}
			srvErr, cliErr := handshake(t, srv.ServerConfig(), cfg)
			if tc.wantErr == "" {
				if srvErr != nil || cliErr != nil {
					t.Fatalf("server %v, client %v; want no error", srvErr, cliErr)
				}
				return
			}
			if srvErr == nil || !strings.Contains(srvErr.Error(), tc.wantErr) {
				t.Errorf("server's error %v, want %q", srvErr, tc.wantErr)
			}
			if cliErr == nil {
				t.Error("client has no error")
			}
		})
	}
}

// TestReload guards against certificates that only change with a restart, and against a half-written file that makes all
// new connections fail.
func TestReload(t *testing.T) {
	old, next := newAuthority(t, "old"), newAuthority(t, "next")
	srv, mem := openIdentity(t, old, old, EntryName, time.Hour)
	oldCli, _ := openIdentity(t, old, old, "sidecar.ragwortgap", time.Hour)
	newCli, _ := openIdentity(t, next, next, "sidecar.ragwortgap", time.Hour)
	cfg := srv.ServerConfig()
	check := func(what string, cli *Identity, good bool) {
		t.Helper()
		srvErr, cliErr := handshake(t, cfg, cli.ClientConfig())
		if (srvErr == nil && cliErr == nil) != good {
			t.Errorf("%s: server %v, client %v; want success %v", what, srvErr, cliErr, good)
		}
	}
	check("old client at first", oldCli, true)
	if changed, err := srv.Reload(); changed || err != nil {
		t.Errorf("unchanged files: got %v, %v", changed, err)
	}
	mem["tls.crt"], mem["ca.crt"] = nil, next.PEM
	if changed, err := srv.Reload(); changed || !errors.Is(err, errors.NotValid) {
		t.Errorf("half-written files: got %v, %v", changed, err)
	}
	check("old client after the failed reload", oldCli, true)
	mem["tls.crt"], mem["tls.key"] = issue(t, next, EntryName, time.Hour)
	if changed, err := srv.Reload(); !changed || err != nil {
		t.Errorf("changed files: got %v, %v", changed, err)
	}
	check("new client", newCli, true)
	check("old client after the reload", oldCli, false)
}

// TestOpenRejects guards against starting a process with files that it cannot use.
func TestOpenRejects(t *testing.T) {
	aut := newAuthority(t, "own")
	crt, key := issue(t, aut, EntryName, time.Hour)
	_, otherKey := issue(t, aut, EntryName, time.Hour)
	tests := map[string]struct {
		files memFiles
		name  string
	}{
		"no certificate file": {memFiles{"tls.key": key, "ca.crt": aut.PEM}, "tls.crt"},
		"no authorities file": {memFiles{"tls.crt": crt, "tls.key": key}, "ca.crt"},
		"not PEM":             {memFiles{"tls.crt": []byte("x"), "tls.key": key, "ca.crt": aut.PEM}, "tls.crt"},
		"another key":         {memFiles{"tls.crt": crt, "tls.key": otherKey, "ca.crt": aut.PEM}, "tls.key"},
		"empty authorities":   {memFiles{"tls.crt": crt, "tls.key": key, "ca.crt": nil}, "ca.crt"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Open(testFiles, tc.files.read)
			if !errors.Is(err, errors.NotValid) || !strings.Contains(err.Error(), tc.name) {
				t.Errorf("got %v, want errors.NotValid that names %s", err, tc.name)
			}
		})
	}
}
