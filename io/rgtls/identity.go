// Package rgtls holds certificates and team keys that are read from files and read again when the files change.
package rgtls

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// EntryName is the DNS name that the certificate of every entry carries. Processes are called by IP addresses that
	// change with each replacement, so that the certificates name the role in place of the address.
	EntryName = "entry.ragwortgap"
	// ReloadInterval is how often files are read again. Reading is cheap, and unlike a notification it also notices
	// files that are replaced through a link.
	ReloadInterval = 5 * time.Second
)

type (
	// Files names PEM files. Without Authorities, the other side needs no certificate.
	Files struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authorities string `json:"authorities,omitempty"`
	}

	// ReadFile reads a file as os.ReadFile does.
	ReadFile func(name string) ([]byte, error)

	// Identity is the certificate of this process and the authorities that it trusts. A nil Identity means plain TCP.
	Identity struct {
		Files   Files
		Read    ReadFile
		current atomic.Pointer[loaded]
	}

	loaded struct {
		raw         [3][]byte
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Open reads the files. It fails with errors.NotValid and the file's name if one is not readable or not PEM, or if the
// key does not belong to the certificate. A nil read means os.ReadFile.
func Open(fls Files, read ReadFile) (*Identity, error) {
	if read == nil {
		read = os.ReadFile
	}
	ide := &Identity{Files: fls, Read: read}
	_, err := ide.Reload()
	return ide, err
}

// OpenPeer opens the identity towards own processes. It returns nil, for plain TCP, if the settings name no files.
func OpenPeer(fls *Files) (*Identity, error) {
	if fls == nil {
		return nil, nil
	}
	return Open(*fls, nil)
}

// Reload reads the files and returns whether they have changed. After an error the earlier contents stay in force.
func (ide *Identity) Reload() (bool, error) {
	lod := &loaded{}
	for i, name := range []string{ide.Files.Certificate, ide.Files.Key, ide.Files.Authorities} {
		if name == "" {
			continue
		}
		raw, err := ide.Read(name)
		if err != nil {
			return false, errors.NewNotValid(err, "read "+name)
		}
		lod.raw[i] = raw
	}
	if old := ide.current.Load(); old != nil && same(old.raw, lod.raw) {
		return false, nil
	}
	var err error
	lod.certificate, err = tls.X509KeyPair(lod.raw[0], lod.raw[1])
	if err != nil {
		return false, errors.NewNotValid(err, "certificate "+ide.Files.Certificate+" with key "+ide.Files.Key)
	}
	if ide.Files.Authorities != "" {
		lod.authorities = x509.NewCertPool()
		if !lod.authorities.AppendCertsFromPEM(lod.raw[2]) {
			return false, errors.NotValidf("authorities %s: no certificate in the file", ide.Files.Authorities)
		}
	}
	ide.current.Store(lod)
	return true, nil
}

// ServerConfig returns the TLS configuration of a listener. Each connection uses the file contents at its handshake.
func (ide *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			lod := ide.current.Load()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{lod.certificate},
				// A resumed session would outlive the authority that has vouched for its peer.
				SessionTicketsDisabled: true,
			}
			if lod.authorities != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = lod.authorities
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the TLS configuration of one connection to an entry, with the current file contents.
func (ide *Identity) ClientConfig() *tls.Config {
	lod := ide.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: EntryName,
		RootCAs:    lod.authorities,
		// A certificate that the entry will not accept is sent all the same: with Certificates, the client would send
		// none, and the entry's log would say so in place of naming the wrong authority.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &lod.certificate, nil },
	}
}

// Reloadable is a set of files that Watch reloads.
type Reloadable interface{ isReloadable() }

func (ide *Identity) isReloadable() {}
func (tk *TeamKeys) isReloadable()  {}

func reload(rel Reloadable) (bool, error) {
	switch rel := rel.(type) {
	case *Identity:
		return rel.Reload()
	case *TeamKeys:
		return rel.Reload()
	default:
		return false, errors.NotSupportedf("reload of %T", rel)
	}
}

// Watch reloads at the interval until ctx ends, and logs what has changed and the first of a series of errors.
func Watch(ctx context.Context, rel Reloadable, file string, log *zap.Logger) {
	tic := time.NewTicker(ReloadInterval)
	defer tic.Stop()
	failing := false
	for {
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
		changed, err := reload(rel)
		switch {
		case err != nil && !failing:
			log.Error("file not reloaded, the earlier contents stay in force", zap.String("file", file), zap.Error(err))
		case changed:
			log.Info("file reloaded", zap.String("file", file))
		}
		failing = err != nil
	}
}

func same(fst, snd [3][]byte) bool {
	for i := range fst {
		if !bytes.Equal(fst[i], snd[i]) {
			return false
		}
	}
	return true
}
