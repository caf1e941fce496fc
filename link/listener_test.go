package link

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against connections to the port for other processes that use up all descriptors.
func TestLimitedListener(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newLimitedListener(inner)
	l.maximum = 1
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	dial()
	first := <-accepted
	_, err = dial().Read(make([]byte, 1))
	is.True(err != nil) // The second connection is closed.
	_ = first.Close()
	_ = first.Close()
	dial()
	is.True(<-accepted != nil)
	is.Equal(l.open.Load(), int64(1))
}
