package rgintake

import "net/netip"

// SetConnection records a connection or its new state.
func SetConnection[K comparable](cns *Connections[K], key K, con Connection) {
	if cns.Open == nil {
		cns.Open, cns.OfPeer = map[K]Connection{}, map[netip.Addr]int{}
	}
	if _, known := cns.Open[key]; !known {
		cns.OfPeer[con.Peer]++
	}
	cns.Open[key] = con
}

// RemoveConnection records the end of a connection. An unknown one changes nothing.
func RemoveConnection[K comparable](cns *Connections[K], key K) {
	con, known := cns.Open[key]
	if !known {
		return
	}
	delete(cns.Open, key)
	if cns.OfPeer[con.Peer]--; cns.OfPeer[con.Peer] == 0 {
		delete(cns.OfPeer, con.Peer)
	}
}
