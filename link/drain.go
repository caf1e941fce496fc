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

// NewDrainSender returns a sender that uses the given connections. The function
// locate returns the address of the agent of an endpoint, if it is known.
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
			"the agent at %s does not serve endpoint %q", address, endpoint)
	case codes.Unimplemented:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"the agent of endpoint %q does not support draining", endpoint)
	default:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun,
			"the agent of endpoint %q did not answer the drain request: %s", endpoint, err)
	}
}

// drainServer handles requests to drain the endpoint of an agent.
type drainServer struct {
	linkpb.UnimplementedDrainServiceServer
	endpoint knapweedpulley.EndpointID
	agent    knapweedpulley.DrainableAgent
}

// RegisterDrain registers the service that handles requests to drain the endpoint of
// an agent.
func RegisterDrain(
	r grpc.ServiceRegistrar, endpoint knapweedpulley.EndpointID, agent knapweedpulley.DrainableAgent,
) {
	linkpb.RegisterDrainServiceServer(r, &drainServer{endpoint: endpoint, agent: agent})
}

// Drain implements linkpb.DrainServiceServer.
func (s *drainServer) Drain(_ context.Context, m *linkpb.DrainRequest) (*linkpb.DrainResponse, error) {
	if knapweedpulley.EndpointID(m.GetEndpoint()) != s.endpoint {
		return nil, status.Errorf(codes.NotFound, "this agent serves endpoint %s", s.endpoint)
	}
	s.agent.StartDrain()
	return &linkpb.DrainResponse{}, nil
}
