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
	// reconnectDialTimeout is short, because dialing a host that is down fails only by timeout.
	reconnectDialTimeout = 500 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts, which doubles with each attempt. The longest one is
	// short, because an entry that has restarted cannot serve its callers before its sidecars have connected.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 100 * time.Millisecond
)

// lastConnectionID is the ID of the newest connection of the process.
var lastConnectionID atomic.Uint64

// Connection is an open connection with an ID that is unique within the process.
type Connection struct {
	ID   uint64
	conn net.Conn
}

// NewConnection assigns an ID to an open connection.
func NewConnection(con net.Conn) *Connection {
	return &Connection{ID: lastConnectionID.Add(1), conn: con}
}

// ServeNotifications exchanges notifications until the connection is lost or ctx ends. It sends first, unless that is nil, passes
// the NotificationConn to opened and calls hdl for each message that arrives.
func (cn *Connection) ServeNotifications(ctx context.Context, first Message, hdl func(Message), opened func(*NotificationConn)) {
	nc := StartNotificationConn(ctx, cn.conn)
	if first != nil {
		nc.Send(first)
	}
	opened(nc)
	nc.Read(hdl)
}

// MaintainConnection connects to the address, and reconnects after each loss, until ctx ends. It passes each connection to
// serve, which returns when the connection is lost.
func MaintainConnection(ctx context.Context, adr string, serve func(ctx context.Context, con *Connection)) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		dlr := net.Dialer{Timeout: reconnectDialTimeout}
		con, err := dlr.DialContext(ctx, "tcp", adr)
		if err == nil {
			delay = minRedialDelay
			serve(ctx, NewConnection(con))
		}
		// The random part prevents all processes from dialing a restarted entry at the same time.
		if !rgclock.Sleep(ctx, delay/2+rand.N(delay)) {
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// PeerAddresses returns the peer addresses of the entries on the machines of the seeds.
func PeerAddresses(seeds []string, port int) []string {
	ads := make([]string, 0, len(seeds))
	for _, sed := range seeds {
		// Settings are validated when they are read, so invalid seeds do not occur in a running process.
		if adr, err := netip.ParseAddrPort(sed); err == nil {
			ads = append(ads, PeerAddress(adr.Addr().String(), port))
		}
	}
	return ads
}

// PeerAddress joins an IP address and a port. Processes are told apart by their addresses, so there is one spelling of each.
func PeerAddress(ip string, port int) string {
	if adr, err := netip.ParseAddr(ip); err == nil {
		ip = adr.Unmap().String()
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
