// Package rgtls loads certificates and team keys from files and reloads them when the files change.
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
	// EntryName is the DNS name in the certificate of every entry. Certificates name the role instead of the address, because
	// processes are dialed at IP addresses that change whenever a process is replaced.
	EntryName = "entry.ragwortgap"
	// ReloadInterval is how often files are checked for changes. Polling is cheap, and unlike file notifications it also
	// detects files that are replaced through a symbolic link.
	ReloadInterval = 5 * time.Second
)

type (
	// Files holds the paths of PEM files. Without Authorities, the peer needs no certificate.
	Files struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authorities string `json:"authorities,omitempty"`
	}

	// ReadFile reads a file as os.ReadFile does.
	ReadFile func(name string) ([]byte, error)

	// Identity is the certificate of this process and the certificate authorities that it trusts. A nil Identity means plain
	// TCP.
	Identity struct {
		Files   Files
		Read    ReadFile
		current atomic.Pointer[fileContents]
	}

	fileContents struct {
		raw         [3][]byte
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Open reads the files. If a file cannot be read or is not PEM, or if the key does not match the certificate, it fails with
// errors.NotValid, and the message names the file. A nil read means os.ReadFile.
func Open(fls Files, read ReadFile) (*Identity, error) {
	if read == nil {
		read = os.ReadFile
	}
	ide := &Identity{Files: fls, Read: read}
	_, err := ide.Reload()
	return ide, err
}

// OpenPeer opens the identity for connections between entries and sidecars. It returns nil, for plain TCP, if fls is nil.
func OpenPeer(fls *Files) (*Identity, error) {
	if fls == nil {
		return nil, nil
	}
	return Open(*fls, nil)
}

// Reload reads the files and reports whether they have changed. After an error, the previous contents stay in use.
func (ide *Identity) Reload() (bool, error) {
	fc := &fileContents{}
	for i, name := range []string{ide.Files.Certificate, ide.Files.Key, ide.Files.Authorities} {
		if name == "" {
			continue
		}
		raw, err := ide.Read(name)
		if err != nil {
			return false, errors.NewNotValid(err, "read "+name)
		}
		fc.raw[i] = raw
	}
	if old := ide.current.Load(); old != nil && equalContents(old.raw, fc.raw) {
		return false, nil
	}
	var err error
	fc.certificate, err = tls.X509KeyPair(fc.raw[0], fc.raw[1])
	if err != nil {
		return false, errors.NewNotValid(err, "certificate "+ide.Files.Certificate+" with key "+ide.Files.Key)
	}
	if ide.Files.Authorities != "" {
		fc.authorities = x509.NewCertPool()
		if !fc.authorities.AppendCertsFromPEM(fc.raw[2]) {
			return false, errors.NotValidf("authorities %s: no certificate in the file", ide.Files.Authorities)
		}
	}
	ide.current.Store(fc)
	return true, nil
}

// ServerConfig returns the TLS configuration of a listener. Each connection uses the file contents at its handshake.
func (ide *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			fc := ide.current.Load()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{fc.certificate},
				// A resumed session would outlive the trust in the authority of its peer's certificate.
				SessionTicketsDisabled: true,
			}
			if fc.authorities != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = fc.authorities
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the TLS configuration of one connection to an entry, with the current file contents.
func (ide *Identity) ClientConfig() *tls.Config {
	fc := ide.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: EntryName,
		RootCAs:    fc.authorities,
		// The certificate is sent even if the entry does not accept its authority. With the field Certificates, the client
		// would send none, and the entry's log would report a missing certificate instead of an unknown authority.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &fc.certificate, nil },
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

// Watch calls Reload every ReloadInterval until ctx ends. It logs changes, and only the first of consecutive errors.
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

func equalContents(fst, snd [3][]byte) bool {
	for i := range fst {
		if !bytes.Equal(fst[i], snd[i]) {
			return false
		}
	}
	return true
}
