package link

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// maxStreams bounds the open calls of a connection. Another process of the system has a call for
	// each request that waits for tokens, and few others.
	maxStreams = 1000
	// maxHeaderListBytes bounds the header of a call. Calls between processes have short ones.
	maxHeaderListBytes = 16 << 10
	// connectionDivisor gives the part of the descriptors for connections from other processes, and
	// minConnections and maxConnections bound it. Each of 103 gateways opens up to four.
	connectionDivisor = 8
	minConnections    = 16
	maxConnections    = 512
)

// limitedListener closes new connections while there are as many as it allows. Its server closes those
// whose peer doesn't complete the handshake.
type limitedListener struct {
	net.Listener
	maximum int64
	open    atomic.Int64
}

func newLimitedListener(l net.Listener) *limitedListener {
	return &limitedListener{
		Listener: l, maximum: int64(min(maxConnections, max(minConnections, machine.Descriptors(0)/connectionDivisor))),
	}
}

// Accept implements net.Listener. The server waits after a temporary error, as when no descriptor is left.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maximum {
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

// countedConn is a connection of a limitedListener.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
