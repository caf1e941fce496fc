package fake_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

func assertRefused(t *testing.T, address string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
	}
	is.New(t).True(errors.Is(err, syscall.ECONNREFUSED))
}

func TestReserveAddress(t *testing.T) {
	t.Run("a reserved address refuses connections, and nothing else can listen there", func(t *testing.T) {
		is := is.New(t)
		address, cleanup, err := fake.ReserveAddress()
		is.NoErr(err)
		defer cleanup()
		assertRefused(t, address)
		_, err = net.Listen("tcp", address)
		is.True(errors.Is(err, syscall.EADDRINUSE))
		assertRefused(t, address)
	})
}
