package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// LoadSender implements knapweedpulley.LoadForwarder over gRPC.
type LoadSender struct {
	connections *Connections
}

// NewLoadSender returns a sender that uses the given connections.
func NewLoadSender(connections *Connections) *LoadSender {
	return &LoadSender{connections: connections}
}

// ForwardLoad implements knapweedpulley.LoadForwarder.
func (s *LoadSender) ForwardLoad(
	ctx context.Context, to knapweedpulley.Member, refusal knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return knapweedpulley.LoadResponse{}, err
	}
	answer, err := linkpb.NewWakeServiceClient(conn).Wake(ctx, &linkpb.WakeModelRequest{
		Model:              string(refusal.Model),
		Adapter:            string(refusal.Adapter.Or("")),
		Customer:           string(refusal.Customer),
		Zone:               string(refusal.Zone),
		TimeoutNanoseconds: int64(refusal.Timeout),
	})
	if err != nil {
		return knapweedpulley.LoadResponse{}, errors.Wrapf(err, "forward load request to %s", to.Entry)
	}
	if r := answer.GetRefusal(); r != nil {
		return knapweedpulley.LoadResponse{}, decodeRefusal(r)
	}
	if answer.GetEndpoint() == "" {
		return knapweedpulley.LoadResponse{}, nil
	}
	return knapweedpulley.LoadResponse{
		Endpoint: knapweedpulley.Some(knapweedpulley.EndpointID(answer.GetEndpoint())),
	}, nil
}

// loadServer passes the load requests of other entry processes to a merger.
type loadServer struct {
	linkpb.UnimplementedWakeServiceServer
	merger knapweedpulley.LoadMerger
}

// RegisterLoads registers the service that passes the load requests of other entry
// processes to merger.
func RegisterLoads(r grpc.ServiceRegistrar, merger knapweedpulley.LoadMerger) {
	linkpb.RegisterWakeServiceServer(r, &loadServer{merger: merger})
}

// Wake implements linkpb.WakeServiceServer.
func (s *loadServer) Wake(
	ctx context.Context, m *linkpb.WakeModelRequest,
) (*linkpb.WakeModelResponse, error) {
	r := knapweedpulley.LoadRequest{
		Model:    knapweedpulley.ModelID(m.GetModel()),
		Customer: knapweedpulley.CustomerID(m.GetCustomer()),
		Zone:     knapweedpulley.ZoneID(m.GetZone()),
		Timeout:  time.Duration(m.GetTimeoutNanoseconds()),
	}
	if m.GetAdapter() != "" {
		r.Adapter = knapweedpulley.Some(knapweedpulley.AdapterID(m.GetAdapter()))
	}
	answer, err := s.merger.Join(ctx, r)
	if err != nil {
		return &linkpb.WakeModelResponse{Refusal: encodeRefusal(err, knapweedpulley.CodeOverloaded)}, nil
	}
	return &linkpb.WakeModelResponse{Endpoint: string(answer.Endpoint.Or(""))}, nil
}
