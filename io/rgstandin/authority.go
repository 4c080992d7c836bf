package rgstandin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/juju/errors"
)

// Authority is a stand-in for a certificate authority. It keeps its key in memory.
type Authority struct {
	Certificate *x509.Certificate
	Key         *ecdsa.PrivateKey
	// PEM is the PEM-encoded certificate, in the format of a file of authorities.
	PEM []byte
}

// NewAuthority returns an authority whose certificate is valid for an hour.
func NewAuthority(name string) (Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Authority{}, errors.Annotatef(err, "key of authority %s", name)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		return Authority{}, errors.Annotatef(err, "certificate of authority %s", name)
	}
	crt, err := x509.ParseCertificate(der)
	return Authority{Certificate: crt, Key: key, PEM: encodePEM("CERTIFICATE", der)}, errors.Trace(err)
}

// Issue returns a certificate for the DNS name and its key, as PEM. If validity is negative, the certificate has expired.
func (aut Authority) Issue(name string, validity time.Duration) (crt, key []byte, err error) {
	prv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "key of %s", name)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, aut.Certificate, &prv.PublicKey, aut.Key)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "certificate of %s", name)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(prv)
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", raw), errors.Trace(err)
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
