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

// recordingDecider answers load requests and transfer requests, and records them.
type recordingDecider struct {
	loadRequest knapweedpulley.LoadRequest
	transfer    knapweedpulley.TransferRequest
	response    knapweedpulley.LoadResponse
	err         error
}

func (d *recordingDecider) Join(_ context.Context, w knapweedpulley.LoadRequest) (knapweedpulley.LoadResponse, error) {
	d.loadRequest = w
	return d.response, d.err
}

func (d *recordingDecider) Acquire(_ context.Context, t knapweedpulley.TransferRequest) (bool, error) {
	d.transfer = t
	return d.err == nil, d.err
}

func (d *recordingDecider) Done(_ context.Context, t knapweedpulley.TransferRequest) error {
	d.transfer = t
	return nil
}

// serveRecordingDecider serves d and returns connections and the member to reach it.
func serveRecordingDecider(t *testing.T, d *recordingDecider) (*link.Connections, knapweedpulley.Member) {
	t.Helper()
	server, stop, err := link.NewServer("127.0.0.1:0", nil, func(r grpc.ServiceRegistrar) {
		link.RegisterLoads(r, d)
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

func TestForwardedRequests(t *testing.T) {
	refusal := knapweedpulley.NewRefusal(
		knapweedpulley.CodeOverloaded, knapweedpulley.NotRun, "busy").WithRetryAfter(3 * time.Second)
	loadRequest := knapweedpulley.LoadRequest{
		Model: "m", Adapter: knapweedpulley.Some[knapweedpulley.AdapterID]("a"), Customer: "c", Zone: "z",
		Timeout: 5 * time.Second,
	}
	transfer := knapweedpulley.TransferRequest{
		Kind: knapweedpulley.TransferModel, Entry: "n", Model: "m", Adapter: "a", Customer: "c",
		Timeout: time.Second, Duration: time.Minute, Background: true,
	}
	d := &recordingDecider{}
	connections, to := serveRecordingDecider(t, d)
	loads, transfers := link.NewLoadSender(connections), link.NewTransferSender(connections)
	t.Run("a load request and its response arrive with all their fields", func(t *testing.T) {
		is := is.New(t)
		d.response.Endpoint = knapweedpulley.Some[knapweedpulley.EndpointID]("e")
		response, err := loads.ForwardLoad(t.Context(), to, loadRequest)
		is.NoErr(err)
		is.Equal(response, d.response)
		is.Equal(d.loadRequest, loadRequest)
	})
	t.Run("a transfer request and the report of its end are forwarded", func(t *testing.T) {
		is := is.New(t)
		granted, err := transfers.ForwardAcquire(t.Context(), to, transfer)
		is.NoErr(err)
		is.True(granted)
		is.Equal(d.transfer, transfer)
		is.NoErr(transfers.ForwardDone(t.Context(), to, transfer))
	})
	t.Run("refusals keep their code, verdict and retry time", func(t *testing.T) {
		d.err = refusal
		_, err := loads.ForwardLoad(t.Context(), to, loadRequest)
		assertSameRefusal(t, err, refusal)
		_, err = transfers.ForwardAcquire(t.Context(), to, transfer)
		assertSameRefusal(t, err, refusal)
	})
	t.Run("the error of a connection is not a refusal", func(t *testing.T) {
		_, err := loads.ForwardLoad(t.Context(), knapweedpulley.Member{Address: "127.0.0.1:1"}, loadRequest)
		var r *knapweedpulley.Refusal
		is.New(t).True(err != nil && !errors.As(err, &r))
	})
}
