package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// TransferSender implements knapweedpulley.TransferForwarder over gRPC.
type TransferSender struct {
	connections *Connections
}

// NewTransferSender returns a sender that uses the given connections.
func NewTransferSender(connections *Connections) *TransferSender {
	return &TransferSender{connections: connections}
}

// ForwardAcquire implements knapweedpulley.TransferForwarder.
func (s *TransferSender) ForwardAcquire(
	ctx context.Context, to knapweedpulley.Member, t knapweedpulley.TransferRequest,
) (bool, error) {
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return false, err
	}
	answer, err := linkpb.NewRationServiceClient(conn).Ask(ctx, encodeTransferRequest(t))
	if err != nil {
		return false, errors.Wrapf(err, "request a transfer from %s", to.Entry)
	}
	if r := answer.GetRefusal(); r != nil {
		return false, decodeRefusal(r)
	}
	return answer.GetGranted(), nil
}

// ForwardDone implements knapweedpulley.TransferForwarder.
func (s *TransferSender) ForwardDone(
	ctx context.Context, to knapweedpulley.Member, t knapweedpulley.TransferRequest,
) error {
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return err
	}
	_, err = linkpb.NewRationServiceClient(conn).Done(ctx, encodeTransferRequest(t))
	return errors.Wrapf(err, "report the end of a transfer to %s", to.Entry)
}

// transferServer passes the transfer requests of other entry processes to a limiter.
type transferServer struct {
	linkpb.UnimplementedRationServiceServer
	limiter knapweedpulley.TransferLimiter
}

// RegisterTransfers registers the service that passes the transfer requests of other
// entry processes to limiter, which must not forward them again.
func RegisterTransfers(r grpc.ServiceRegistrar, limiter knapweedpulley.TransferLimiter) {
	linkpb.RegisterRationServiceServer(r, &transferServer{limiter: limiter})
}

// Ask implements linkpb.RationServiceServer.
func (s *transferServer) Ask(ctx context.Context, m *linkpb.TransferRequest) (*linkpb.TransferResponse, error) {
	granted, err := s.limiter.Acquire(ctx, decodeTransferRequest(m))
	if err != nil {
		return &linkpb.TransferResponse{Refusal: encodeRefusal(err, knapweedpulley.CodeOverloaded)}, nil
	}
	return &linkpb.TransferResponse{Granted: granted}, nil
}

// Done implements linkpb.RationServiceServer.
func (s *transferServer) Done(ctx context.Context, m *linkpb.TransferRequest) (*linkpb.TransferDone, error) {
	return &linkpb.TransferDone{}, s.limiter.Done(ctx, decodeTransferRequest(m))
}

func encodeTransferRequest(t knapweedpulley.TransferRequest) *linkpb.TransferRequest {
	return &linkpb.TransferRequest{
		Kind:                string(t.Kind),
		Entry:               string(t.Entry),
		Model:               string(t.Model),
		Adapter:             string(t.Adapter),
		Customer:            string(t.Customer),
		TimeoutNanoseconds:  int64(t.Timeout),
		DurationNanoseconds: int64(t.Duration),
		Background:          t.Background,
	}
}

func decodeTransferRequest(m *linkpb.TransferRequest) knapweedpulley.TransferRequest {
	return knapweedpulley.TransferRequest{
		Kind:       knapweedpulley.TransferKind(m.GetKind()),
		Entry:      knapweedpulley.EntryID(m.GetEntry()),
		Model:      knapweedpulley.ModelID(m.GetModel()),
		Adapter:    knapweedpulley.AdapterID(m.GetAdapter()),
		Customer:   knapweedpulley.CustomerID(m.GetCustomer()),
		Timeout:    time.Duration(m.GetTimeoutNanoseconds()),
		Duration:   time.Duration(m.GetDurationNanoseconds()),
		Background: m.GetBackground(),
	}
}
