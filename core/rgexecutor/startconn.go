package rgexecutor

import "ragwortgap/core/rgmodel"

// maxStartConns is the number of connections for start orders. More tasks than that are rarely started at the same moment, and an executor
// accepts a limited number of connections.
const maxStartConns = 8

type (
	// StartConn is a connection to the executor over which start orders are sent. An order over it reaches no other incarnation than the
	// one that has named its start time over it, however late it is sent.
	StartConn struct {
		ID rgmodel.ExecutorConnID
		// Incarnation is the incarnation at the other end. It is zero until the poll that opens the connection is answered.
		Incarnation rgmodel.ExecutorIncarnation
		// Busy is set while an order is in flight.
		Busy bool
	}

	// CloseConn closes a connection for start orders.
	CloseConn struct{ Conn rgmodel.ExecutorConnID }
)

func (CloseConn) isEffect() {}
