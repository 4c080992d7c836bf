package rgintake

import (
	"net/netip"
	"time"
)

// minIdle is how long a connection must have been without a request before it is closed for another one. A request may be read from it
// before its state shows that.
const minIdle = time.Second

type (
	// Connection is an open connection of a caller.
	Connection struct {
		Peer netip.Addr
		// Active is set while a request is in progress. Otherwise Since is when that began to be so.
		Active bool
		Since  time.Time
	}

	// Connections are the open connections of a process, with their number by address.
	Connections[K comparable] struct {
		Limits Limits
		Open   map[K]Connection
		OfPeer map[netip.Addr]int
	}

	// Admission is the decision about a new connection. If Close is set, Victim must be closed for it.
	Admission[K comparable] struct {
		Refused bool
		Close   bool
		Victim  K
	}
)

// AdmitConnection decides about a new connection of a peer. At the limit it replaces the one that has had no request for longest.
func AdmitConnection[K comparable](cns *Connections[K], now time.Time, peer netip.Addr) Admission[K] {
	limit := cns.Limits.connections()
	ofPeer := cns.OfPeer[peer] >= max(1, limit*peerPercent/100)
	if len(cns.Open) < limit && !ofPeer {
		return Admission[K]{}
	}
	var adm Admission[K]
	oldest := now.Add(-minIdle)
	for key, con := range cns.Open {
		if !con.Active && (!ofPeer || con.Peer == peer) && !con.Since.After(oldest) {
			oldest, adm.Victim, adm.Close = con.Since, key, true
		}
	}
	adm.Refused = !adm.Close
	return adm
}
