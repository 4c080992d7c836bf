package rgwire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/juju/errors"

	"ragwortgap/io/rgserver"
	"ragwortgap/io/rgtls"
)

const (
	// dialTimeout bounds Dial, which makes one attempt and includes the TLS handshake. MaintainConnection repeats its attempts
	// and has a shorter timeout for each.
	dialTimeout = 2 * time.Second
	// handshakeTimeout bounds how long a peer may hold a connection open without authenticating.
	handshakeTimeout = 5 * time.Second
)

// Listen returns a listener for peers, with mutual TLS if an identity is given.
func Listen(adr string, ide *rgtls.Identity) (net.Listener, error) {
	lis, err := rgserver.Listen(adr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if ide == nil {
		return lis, nil
	}
	return tls.NewListener(lis, ide.ServerConfig()), nil
}

// Dial opens a connection to an entry, with mutual TLS if an identity is given.
func Dial(ctx context.Context, adr string, ide *rgtls.Identity) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	var dlr net.Dialer
	con, err := dlr.DialContext(ctx, "tcp", adr)
	if err != nil {
		return nil, errors.Annotatef(err, "dial entry %s", adr)
	}
	if ide == nil {
		return con, nil
	}
	sec := tls.Client(con, ide.ClientConfig())
	if err := Handshake(ctx, sec); err != nil {
		return nil, errors.Annotatef(err, "dial entry %s", adr)
	}
	return sec, nil
}

// Handshake completes the TLS handshake of a connection, and closes the connection if that fails.
// It returns at once for a connection without TLS.
func Handshake(ctx context.Context, con net.Conn) error {
	sec, ok := con.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, handshakeTimeout)
	defer stop()
	if err := sec.HandshakeContext(ctx); err != nil {
		// The error of the handshake is more informative than that of closing the connection.
		_ = con.Close()
		return errors.Annotate(err, "TLS handshake")
	}
	return nil
}
