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
	message := &linkpb.SuspectsRequest{
		Endpoint: string(r.Endpoint), Start: r.Start, Isolated: r.Isolated,
		Fingerprints:     encodeFingerprints(r.Fingerprints),
		Parts:            encodeFingerprints(r.Parts),
		AnsweredContents: encodeFingerprints(r.AnsweredContents),
		AnsweredParts:    encodeFingerprints(r.AnsweredParts),
		RefusedParts:     encodeFingerprints(r.RefusedParts),
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
	s.merger.Merge(knapweedpulley.SuspectReport{
		Endpoint:         knapweedpulley.EndpointID(m.GetEndpoint()),
		Start:            m.GetStart(),
		Isolated:         m.GetIsolated(),
		Fingerprints:     decodeFingerprints[knapweedpulley.Fingerprint](m.GetFingerprints()),
		Parts:            decodeFingerprints[knapweedpulley.PartFingerprint](m.GetParts()),
		AnsweredContents: decodeFingerprints[knapweedpulley.Fingerprint](m.GetAnsweredContents()),
		AnsweredParts:    decodeFingerprints[knapweedpulley.PartFingerprint](m.GetAnsweredParts()),
		RefusedParts:     decodeFingerprints[knapweedpulley.PartFingerprint](m.GetRefusedParts()),
	})
	return &linkpb.SuspectsResponse{}, nil
}

func encodeFingerprints[T ~uint64](list []T) []uint64 {
	encoded := make([]uint64, 0, len(list))
	for _, f := range list {
		encoded = append(encoded, uint64(f))
	}
	return encoded
}

func decodeFingerprints[T ~uint64](encoded []uint64) []T {
	list := make([]T, 0, len(encoded))
	for _, f := range encoded {
		list = append(list, T(f))
	}
	return list
}
