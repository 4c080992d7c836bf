package rgserver

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"ragwortgap/core/rgintake"
)

const (
	// sideConnections is the number of connections of a listener for probes and metrics.
	sideConnections = 64
	// maxHeaderBytes is the platform's limit of the headers of a request. The HTTP server allows 4 KB more.
	maxHeaderBytes = 16 << 10
	// maxReplacements bounds the search for a connection that may be closed for a new one.
	maxReplacements = 8
)

// Connections limits the open connections of callers, as rgintake decides. The zero value has the default limits.
type Connections struct {
	Limits rgintake.Limits
	// Scope receives the metrics. Nil means none.
	Scope tally.Scope

	mutex sync.Mutex
	open  rgintake.Connections[net.Conn]
}

// NewSideConnections returns the limits of a listener for probes and metrics.
func NewSideConnections() *Connections {
	return &Connections{Limits: rgintake.Limits{Connections: sideConnections}}
}

// Descriptors returns the number of descriptors that the process may open, or zero if it is unknown.
func Descriptors() int64 {
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err != nil {
		return 0
	}
	return int64(min(lim.Cur, 1<<30))
}

// TrackState is the ConnState hook of an HTTP server. It closes a new connection above the limits, or an idle one in its place.
func (cns *Connections) TrackState(con net.Conn, sta http.ConnState) {
	cns.mutex.Lock()
	defer cns.mutex.Unlock()
	cns.open.Limits = cns.Limits
	switch sta {
	case http.StateNew:
		if !cns.admit(con) {
			cns.count("refused")
			closeSocket(con)
		}
	case http.StateClosed, http.StateHijacked:
		rgintake.RemoveConnection(&cns.open, con)
	default:
		if cur, known := cns.open.Open[con]; known {
			cur.Active = sta == http.StateActive
			if !cur.Active {
				cur.Since = time.Now()
			}
			rgintake.SetConnection(&cns.open, con, cur)
		}
	}
	if cns.Scope != nil && (sta == http.StateNew || sta == http.StateClosed) {
		cns.Scope.Gauge("connectionsOpen").Update(float64(len(cns.open.Open)))
	}
}

// admit registers a new connection, unless the limits forbid that.
func (cns *Connections) admit(con net.Conn) bool {
	now, peer := time.Now(), peerOf(con)
	for range maxReplacements {
		adm := rgintake.AdmitConnection(&cns.open, now, peer)
		switch {
		case adm.Refused:
			return false
		case !adm.Close:
			rgintake.SetConnection(&cns.open, con, rgintake.Connection{Peer: peer, Since: now})
			return true
		case hasUnreadBytes(adm.Victim):
			// A request has arrived that has not been read.
			cur := cns.open.Open[adm.Victim]
			cur.Since = now
			rgintake.SetConnection(&cns.open, adm.Victim, cur)
		default:
			cns.count("replaced")
			closeSocket(adm.Victim)
			rgintake.RemoveConnection(&cns.open, adm.Victim)
		}
	}
	return false
}

func (cns *Connections) count(cause string) {
	if cns.Scope != nil {
		cns.Scope.Tagged(map[string]string{"cause": cause}).Counter("connectionsClosed").Inc(1)
	}
}

// closeSocket closes a connection without waiting for the peer.
func closeSocket(con net.Conn) {
	// The peer may have closed the connection.
	_ = socketOf(con).Close()
}

// socketOf returns the connection below TLS.
func socketOf(con net.Conn) net.Conn {
	if sec, ok := con.(interface{ NetConn() net.Conn }); ok {
		return sec.NetConn()
	}
	return con
}

func peerOf(con net.Conn) netip.Addr {
	adr, _ := netip.ParseAddrPort(con.RemoteAddr().String())
	return adr.Addr().Unmap()
}
