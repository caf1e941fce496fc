package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link"
)

// decider answers wakes and tickets, and keeps what it was asked.
type decider struct {
	wake   knapweedpulley.LoadRequest
	ticket knapweedpulley.TransferRequest
	answer knapweedpulley.LoadResponse
	err    error
}

func (d *decider) Join(_ context.Context, w knapweedpulley.LoadRequest) (knapweedpulley.LoadResponse, error) {
	d.wake = w
	return d.answer, d.err
}

func (d *decider) Acquire(_ context.Context, t knapweedpulley.TransferRequest) (bool, error) {
	d.ticket = t
	return d.err == nil, d.err
}

func (d *decider) Done(_ context.Context, t knapweedpulley.TransferRequest) error {
	d.ticket = t
	return nil
}

// serveDecider serves d and returns connections to it and its address.
func serveDecider(t *testing.T, d *decider) (*link.Connections, knapweedpulley.Member) {
	t.Helper()
	server, stop, err := link.NewServer("127.0.0.1:0", nil, func(r grpc.ServiceRegistrar) {
		link.RegisterWakes(r, d)
		link.RegisterTransfers(r, d)
	})
	is.New(t).NoErr(err)
	t.Cleanup(stop)
	connections, cleanup := link.NewConnections(nil)
	t.Cleanup(cleanup)
	return connections, knapweedpulley.Member{Entry: "n", Address: server.Address()}
}

func assertSameRefusal(t *testing.T, err error, want *knapweedpulley.Refusal) {
	t.Helper()
	is := is.New(t)
	var got *knapweedpulley.Refusal
	is.True(errors.As(err, &got))
	is.Equal(*got, *want)
}

func TestDecisionsOverLinks(t *testing.T) {
	refusal := knapweedpulley.NewRefusal(
		knapweedpulley.CodeOverloaded, knapweedpulley.NotRun, "busy").WithRetryAfter(3 * time.Second)
	wake := knapweedpulley.LoadRequest{
		Model: "m", Adapter: knapweedpulley.Some[knapweedpulley.AdapterID]("a"), Customer: "c", Zone: "z",
		Timeout: 5 * time.Second,
	}
	ticket := knapweedpulley.TransferRequest{
		Kind: knapweedpulley.TransferModel, Entry: "n", Model: "m", Adapter: "a", Customer: "c",
		Timeout: time.Second, Duration: time.Minute, Background: true,
	}
	d := &decider{}
	connections, to := serveDecider(t, d)
	wakes, transfers := link.NewWakeSender(connections), link.NewTransferSender(connections)
	t.Run("a wake and its endpoint arrive whole", func(t *testing.T) {
		is := is.New(t)
		d.answer.Endpoint = knapweedpulley.Some[knapweedpulley.EndpointID]("e")
		answer, err := wakes.ForwardLoad(t.Context(), to, wake)
		is.NoErr(err)
		is.Equal(answer, d.answer)
		is.Equal(d.wake, wake)
	})
	t.Run("a ticket arrives whole, and so does its end", func(t *testing.T) {
		is := is.New(t)
		granted, err := transfers.ForwardAcquire(t.Context(), to, ticket)
		is.NoErr(err)
		is.True(granted)
		is.Equal(d.ticket, ticket)
		is.NoErr(transfers.ForwardDone(t.Context(), to, ticket))
	})
	t.Run("refusals keep code, verdict and time to retry", func(t *testing.T) {
		d.err = refusal
		_, err := wakes.ForwardLoad(t.Context(), to, wake)
		assertSameRefusal(t, err, refusal)
		_, err = transfers.ForwardAcquire(t.Context(), to, ticket)
		assertSameRefusal(t, err, refusal)
	})
	t.Run("a lost answer is no refusal", func(t *testing.T) {
		_, err := wakes.ForwardLoad(t.Context(), knapweedpulley.Member{Address: "127.0.0.1:1"}, wake)
		var r *knapweedpulley.Refusal
		is.New(t).True(err != nil && !errors.As(err, &r))
	})
}
