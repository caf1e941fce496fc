package machine_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/machine"
)

// Guards against a reader that doesn't read being taken for one that does.
func TestUnacknowledged(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.Equal(machine.Unacknowledged(c), 0) // nothing was written
	is.NoErr(c.SetWriteDeadline(time.Now().Add(time.Second)))
	for err == nil {
		_, err = c.Write(make([]byte, 1<<16))
	}
	is.True(machine.Unacknowledged(c) > 0) // nobody reads

	pipe, other := net.Pipe()
	defer func() { _, _ = pipe.Close(), other.Close() }()
	is.Equal(machine.Unacknowledged(pipe), 0) // a pipe has no buffer
}
