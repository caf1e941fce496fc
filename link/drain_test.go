package link_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link"
)

// drainCounter counts the calls of StartDrain.
type drainCounter struct{ atomic.Int64 }

func (c *drainCounter) StartDrain() {
	c.Add(1)
}

func assertCode(t *testing.T, err error, want knapweedpulley.Code) {
	t.Helper()
	var r *knapweedpulley.Refusal
	if !errors.As(err, &r) || r.Code != want {
		t.Errorf("error is %v, want a refusal with code %s", err, want)
	}
}

func TestDrain(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	agent := new(drainCounter)
	server, stop, err := link.Serve(listener, nil, func(r grpc.ServiceRegistrar) {
		link.RegisterDrain(r, "endpoint-1", agent)
	})
	is.NoErr(err)
	defer stop()
	connections, disconnect := link.NewConnections(nil)
	defer disconnect()
	sender := link.NewDrainSender(connections, func(e knapweedpulley.EndpointID) (string, bool) {
		return server.Address(), e != "endpoint-3"
	})
	t.Run("the agent of the endpoint starts to drain", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(sender.Drain(t.Context(), "endpoint-1"))
		is.Equal(agent.Load(), int64(1))
	})
	t.Run("a request for an endpoint that the agent does not serve is refused", func(t *testing.T) {
		assertCode(t, sender.Drain(t.Context(), "endpoint-2"), knapweedpulley.CodeEndpointNotFound)
		is.Equal(agent.Load(), int64(1))
	})
	t.Run("an endpoint without a known address is refused", func(t *testing.T) {
		assertCode(t, sender.Drain(t.Context(), "endpoint-3"), knapweedpulley.CodeEndpointNotFound)
	})
}
