package machine_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/machine"
)

// A gateway that stopped reset the connections that callers had made and that it hadn't accepted yet.
func TestPendingConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	assertPending := func(want bool) {
		t.Helper()
		is.Equal(machine.HasPending(l), want)
	}
	assertPending(false)
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	assertPending(true)
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	assertPending(false)
	is.NoErr(l.Close())
	assertPending(false)
}
