package web_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/intake"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// Guards against a stop that closes a listener while connections wait to be accepted, which resets them.
func TestGuardedListenerTellsOfPendingConnections(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = inner.Close() }()
	guard := web.NewGuard(intake.NewLimits(144*knapweedpulley.MiB, 1024), machine.NewClock())
	guarded := guard.Listen(inner, web.NewConnections(), 1)
	is.True(!machine.HasPending(guarded))
	dial(t, inner.Addr().String())
	for end := time.Now().Add(10 * time.Second); !machine.HasPending(guarded) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(machine.HasPending(guarded))
}
