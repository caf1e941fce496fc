package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// SuspectSender implements knapweedpulley.SuspectPeer over gRPC.
type SuspectSender struct {
	connections *Connections
}

// NewSuspectSender returns a sender that uses the given connections.
func NewSuspectSender(connections *Connections) *SuspectSender {
	return &SuspectSender{connections: connections}
}

// SendSuspects implements knapweedpulley.SuspectPeer.
func (s *SuspectSender) SendSuspects(
	ctx context.Context, to knapweedpulley.Member, r knapweedpulley.SuspectReport,
) error {
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return err
	}
	message := &linkpb.SuspectsRequest{Endpoint: string(r.Endpoint), Start: r.Start, Isolated: r.Isolated}
	for _, f := range r.Fingerprints {
		message.Fingerprints = append(message.Fingerprints, uint64(f))
	}
	_, err = linkpb.NewSuspectServiceClient(conn).SendSuspects(ctx, message)
	return errors.Wrapf(err, "send suspects to %s", to.Entry)
}

// suspectServer passes the suspect reports of other entry processes to a merger.
type suspectServer struct {
	linkpb.UnimplementedSuspectServiceServer
	merger knapweedpulley.SuspectMerger
}

// RegisterSuspects registers the service that passes the suspect reports of other
// entry processes to merger.
func RegisterSuspects(r grpc.ServiceRegistrar, merger knapweedpulley.SuspectMerger) {
	linkpb.RegisterSuspectServiceServer(r, &suspectServer{merger: merger})
}

// SendSuspects implements linkpb.SuspectServiceServer.
func (s *suspectServer) SendSuspects(
	_ context.Context, m *linkpb.SuspectsRequest,
) (*linkpb.SuspectsResponse, error) {
	r := knapweedpulley.SuspectReport{
		Endpoint: knapweedpulley.EndpointID(m.GetEndpoint()),
		Start:    m.GetStart(),
		Isolated: m.GetIsolated(),
	}
	for _, f := range m.GetFingerprints() {
		r.Fingerprints = append(r.Fingerprints, knapweedpulley.Fingerprint(f))
	}
	s.merger.Merge(r)
	return &linkpb.SuspectsResponse{}, nil
}
