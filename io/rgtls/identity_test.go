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

var files = Files{Certificate: "tls.crt", Key: "tls.key", Authorities: "ca.crt"}

func open(t *testing.T, trusted, signer rgstandin.Authority, name string, until time.Duration) (*Identity, disk) {
	t.Helper()
	dsk := disk{"ca.crt": trusted.PEM}
	dsk["tls.crt"], dsk["tls.key"] = issue(t, signer, name, until)
	ide, err := Open(files, dsk.read)
	if err != nil {
		t.Fatal(err)
	}
	return ide, dsk
}

// shake connects two configurations and returns the server's and the client's error.
func shake(t *testing.T, srv, cli *tls.Config) (srvErr, cliErr error) {
	t.Helper()
	// A net.Pipe has no buffer, so that a refusal and the rest of the other side's handshake would block each other.
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	snd, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fst, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	go func() {
		con := tls.Server(fst, srv)
		err := con.Handshake()
		if err == nil {
			_, err = con.Write([]byte{1})
		}
		failed <- err
		_ = fst.Close()
	}()
	con := tls.Client(snd, cli)
	// With TLS 1.3 the server's refusal of a client's certificate arrives with the first read.
	_, cliErr = con.Read(make([]byte, 1))
	_ = snd.Close()
	return <-failed, cliErr
}

// TestMutual guards against peers that get in with a wrong certificate or without one, on either side.
func TestMutual(t *testing.T) {
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	tests := map[string]struct {
		server, client     rgstandin.Authority
		serverName         string
		serverAge, lasting time.Duration
		bare               bool
		err                string
	}{
		"both of the authority":          {server: own, client: own},
		"client of another authority":    {server: own, client: other, err: "unknown authority"},
		"client without a certificate":   {server: own, client: own, bare: true, err: "didn't provide a certificate"},
		"client's certificate expired":   {server: own, client: own, lasting: -time.Minute, err: "expired"},
		"server of another authority":    {server: other, client: own, err: "bad certificate"},
		"server's certificate expired":   {server: own, client: own, serverAge: -time.Minute, err: "bad certificate"},
		"server with the sidecar's name": {server: own, client: own, serverName: "sidecar.ragwortgap", err: "bad certificate"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if tc.serverName == "" {
				tc.serverName = EntryName
			}
			lasting := func(age time.Duration) time.Duration {
				if age == 0 {
					return time.Hour
				}
				return age
			}
			srv, _ := open(t, own, tc.server, tc.serverName, lasting(tc.serverAge))
			cli, _ := open(t, own, tc.client, "sidecar.ragwortgap", lasting(tc.lasting))
			cfg := cli.ClientConfig()
			if tc.bare {
				cfg.GetClientCertificate = nil
			}
			srvErr, cliErr := shake(t, srv.ServerConfig(), cfg)
			if tc.err == "" {
				if srvErr != nil || cliErr != nil {
					t.Fatalf("server %v, client %v; want no error", srvErr, cliErr)
				}
				return
			}
			if srvErr == nil || !strings.Contains(srvErr.Error(), tc.err) {
				t.Errorf("server's error %v, want %q", srvErr, tc.err)
			}
			if cliErr == nil {
				t.Error("client has no error")
			}
		})
	}
}

// TestReload guards against a restart being needed for new certificates, and against a half-written file cutting off
// all new connections.
func TestReload(t *testing.T) {
	old, next := newAuthority(t, "old"), newAuthority(t, "next")
	srv, dsk := open(t, old, old, EntryName, time.Hour)
	oldCli, _ := open(t, old, old, "sidecar.ragwortgap", time.Hour)
	newCli, _ := open(t, next, next, "sidecar.ragwortgap", time.Hour)
	cfg := srv.ServerConfig()
	check := func(what string, cli *Identity, good bool) {
		t.Helper()
		srvErr, cliErr := shake(t, cfg, cli.ClientConfig())
		if (srvErr == nil && cliErr == nil) != good {
			t.Errorf("%s: server %v, client %v; want success %v", what, srvErr, cliErr, good)
		}
	}
	check("old client at first", oldCli, true)
	if changed, err := srv.Reload(); changed || err != nil {
		t.Errorf("unchanged files: got %v, %v", changed, err)
	}
	dsk["tls.crt"], dsk["ca.crt"] = nil, next.PEM
	if changed, err := srv.Reload(); changed || !errors.Is(err, errors.NotValid) {
		t.Errorf("half-written files: got %v, %v", changed, err)
	}
	check("old client after the failed reload", oldCli, true)
	dsk["tls.crt"], dsk["tls.key"] = issue(t, next, EntryName, time.Hour)
	if changed, err := srv.Reload(); !changed || err != nil {
		t.Errorf("changed files: got %v, %v", changed, err)
	}
	check("new client", newCli, true)
	check("old client after the reload", oldCli, false)
}

// TestOpenRefuses guards against a process that starts with files that it cannot use.
func TestOpenRefuses(t *testing.T) {
	aut := newAuthority(t, "own")
	crt, key := issue(t, aut, EntryName, time.Hour)
	_, otherKey := issue(t, aut, EntryName, time.Hour)
	tests := map[string]struct {
		disk disk
		name string
	}{
		"no certificate file": {disk{"tls.key": key, "ca.crt": aut.PEM}, "tls.crt"},
		"no authorities file": {disk{"tls.crt": crt, "tls.key": key}, "ca.crt"},
		"not PEM":             {disk{"tls.crt": []byte("x"), "tls.key": key, "ca.crt": aut.PEM}, "tls.crt"},
		"another key":         {disk{"tls.crt": crt, "tls.key": otherKey, "ca.crt": aut.PEM}, "tls.key"},
		"empty authorities":   {disk{"tls.crt": crt, "tls.key": key, "ca.crt": nil}, "ca.crt"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Open(files, tc.disk.read)
			if !errors.Is(err, errors.NotValid) || !strings.Contains(err.Error(), tc.name) {
				t.Errorf("got %v, want errors.NotValid that names %s", err, tc.name)
			}
		})
	}
}
