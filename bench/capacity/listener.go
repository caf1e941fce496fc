package capacity

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// CountingListener is a listener that counts the bytes of its connections in both
// directions, without TCP and IP headers.
type CountingListener struct {
	net.Listener
	count *atomic.Int64
}

// Listen returns a listener on a free port of the loopback address that adds the bytes
// of its connections to count.
func Listen(count *atomic.Int64) (*CountingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a free loopback port")
	}
	return &CountingListener{Listener: l, count: count}, nil
}

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, count: l.count}, nil
}

// countedConn is a connection that adds the bytes it reads and writes to count.
type countedConn struct {
	net.Conn
	count *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}
