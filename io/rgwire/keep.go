package rgwire

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"ragwortgap/io/rgclock"
)

const (
	// keepDialTimeout is short, because a machine without power does not refuse a connection.
	keepDialTimeout = 500 * time.Millisecond
	// redialShort and redialLong bound the pause between attempts; each doubles the last one.
	redialShort = 50 * time.Millisecond
	redialLong  = time.Second
)

// lastConnection numbers the connections of the process.
var lastConnection atomic.Uint64

// Connection is an open connection with a number that no other one of the process has.
type Connection struct {
	ID   uint64
	conn net.Conn
}

// NewConnection assigns a number to an open connection.
func NewConnection(con net.Conn) *Connection {
	return &Connection{ID: lastConnection.Add(1), conn: con}
}

// Serve exchanges notifications until the connection is lost or ctx ends. It sends first, unless that is nil, passes the
// outbox to opened and calls hdl for each message that arrives.
func (cn *Connection) Serve(ctx context.Context, first Message, hdl func(Message), opened func(*Outbox)) {
	obx := StartOutbox(ctx, cn.conn)
	if first != nil {
		obx.Send(first)
	}
	opened(obx)
	obx.Read(hdl)
}

// MaintainConnection connects to the address, and reconnects after each loss, until ctx ends. It passes each connection to
// attend, which returns when the connection is lost.
func MaintainConnection(ctx context.Context, adr string, attend func(ctx context.Context, con *Connection)) {
	wait := redialShort
	for ctx.Err() == nil {
		dlr := net.Dialer{Timeout: keepDialTimeout}
		con, err := dlr.DialContext(ctx, "tcp", adr)
		if err == nil {
			wait = redialShort
			attend(ctx, NewConnection(con))
		}
		// The random part keeps the fleet from dialling a returned entry in step.
		if !rgclock.Pause(ctx, wait/2+rand.N(wait)) {
			return
		}
		wait = min(2*wait, redialLong)
	}
}

// PeerAddresses returns the addresses at which entries on the machines of the seeds listen for peers.
func PeerAddresses(seeds []string, port int) []string {
	ads := make([]string, 0, len(seeds))
	for _, sed := range seeds {
		// The settings are checked; a seed that is no address names no machine.
		if adr, err := netip.ParseAddrPort(sed); err == nil {
			ads = append(ads, PeerAddress(adr.Addr().String(), port))
		}
	}
	return ads
}

// PeerAddress joins the address of a machine and a port.
func PeerAddress(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
