package link

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// DrainSender implements knapweedpulley.Drainer over gRPC.
type DrainSender struct {
	connections *Connections
	locate      func(knapweedpulley.EndpointID) (string, bool)
}

// NewDrainSender returns a sender that finds the agent of an endpoint with
// locate.
func NewDrainSender(
	connections *Connections, locate func(knapweedpulley.EndpointID) (string, bool),
) *DrainSender {
	return &DrainSender{connections: connections, locate: locate}
}

// Drain implements knapweedpulley.Drainer. Its errors are
// *knapweedpulley.Refusal.
func (s *DrainSender) Drain(ctx context.Context, endpoint knapweedpulley.EndpointID) error {
	address, ok := s.locate(endpoint)
	if !ok {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeEndpointNotFound, knapweedpulley.NotRun,
			"there is no endpoint %q", endpoint)
	}
	conn, err := s.connections.To(address)
	if err != nil {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.NotRun, "%s", err)
	}
	_, err = linkpb.NewDrainServiceClient(conn).Drain(ctx, &linkpb.DrainRequest{Endpoint: string(endpoint)})
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.NotFound:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeEndpointNotFound, knapweedpulley.NotRun,
			"%s serves another endpoint than %q", address, endpoint)
	case codes.Unimplemented:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"the agent of endpoint %q can't be drained", endpoint)
	default:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun,
			"the agent of endpoint %q gave no answer: %s", endpoint, err)
	}
}

// drainServer tells an agent to drain.
type drainServer struct {
	linkpb.UnimplementedDrainServiceServer
	endpoint knapweedpulley.EndpointID
	agent    knapweedpulley.DrainableAgent
}

// RegisterDrain serves requests to drain the endpoint of an agent.
func RegisterDrain(
	r grpc.ServiceRegistrar, endpoint knapweedpulley.EndpointID, agent knapweedpulley.DrainableAgent,
) {
	linkpb.RegisterDrainServiceServer(r, &drainServer{endpoint: endpoint, agent: agent})
}

// Drain implements linkpb.DrainServiceServer.
func (s *drainServer) Drain(_ context.Context, m *linkpb.DrainRequest) (*linkpb.DrainResponse, error) {
	if knapweedpulley.EndpointID(m.GetEndpoint()) != s.endpoint {
		return nil, status.Errorf(codes.NotFound, "this is the agent of %s", s.endpoint)
	}
	s.agent.StartDrain()
	return &linkpb.DrainResponse{}, nil
}
