package soak_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/faults/soak"
)

// assertNoOrderlyEnd asserts that a client gets no orderly end of a connection through a proxy that
// dropped bytes in mode m before the server closed it.
func assertNoOrderlyEnd(t *testing.T, m soak.Mode) {
	t.Helper()
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	is.NoErr(free.Close())
	proxy, err := soak.NewProxy(address, server.Addr().String())
	is.NoErr(err)
	defer proxy.Close()
	client, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	c, err := server.Accept()
	is.NoErr(err)
	_, err = io.WriteString(c, "first")
	is.NoErr(err)
	first := make([]byte, len("first"))
	_, err = io.ReadFull(client, first)
	is.NoErr(err)
	proxy.SetMode(m)
	_, err = io.WriteString(c, "second")
	is.NoErr(err)
	is.NoErr(c.Close())
	is.NoErr(client.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
	_, err = client.Read(first)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

func TestProxyEndsNoConnectionInOrderAfterDroppedBytes(t *testing.T) {
	t.Run("silence", func(t *testing.T) { assertNoOrderlyEnd(t, soak.Silence) })
	t.Run("cut from the server", func(t *testing.T) { assertNoOrderlyEnd(t, soak.CutFromServer) })
}

// Guards against a soak that fails because a program that it is starting still holds a closed listener.
func TestProxyListensOnceItsAddressIsReleased(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	held, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	time.AfterFunc(300*time.Millisecond, func() { _ = held.Close() })
	p, err := soak.NewProxy(held.Addr().String(), "127.0.0.1:9")
	is.NoErr(err)
	p.Close()
}
