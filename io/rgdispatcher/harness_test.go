package rgdispatcher

import (
	"net"
	"time"
)

// discardConn is a connection that takes everything that is written and never delivers anything.
type discardConn struct{ net.Conn }

func (discardConn) Write(raw []byte) (int, error)    { return len(raw), nil }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }
func (discardConn) Close() error                     { return nil }
