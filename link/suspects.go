package link

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// maxSuspectAttempts bounds the attempts to send one report. There is one more than the
	// timeouts that replace a connection.
	maxSuspectAttempts = maxConsecutiveTimeouts + 1
	// suspectAttemptTimeout bounds one attempt. suspectRetryDelay is the time between two.
	suspectAttemptTimeout = 200 * time.Millisecond
	suspectRetryDelay     = 50 * time.Millisecond
)

// SuspectSender implements knapweedpulley.SuspectPeer over gRPC.
type SuspectSender struct {
	connections *Connections
	timeouts    *timeoutCounter
}

// NewSuspectSender returns a sender that uses the given connections. It closes those that
// have stopped delivering data, so no other calls should use them.
func NewSuspectSender(connections *Connections) *SuspectSender {
	return &SuspectSender{connections: connections, timeouts: newTimeoutCounter(0)}
}

// SendSuspects implements knapweedpulley.SuspectPeer. Reports are idempotent, so a failed
// attempt is repeated unless the member's process has ended.
func (s *SuspectSender) SendSuspects(
	ctx context.Context, to knapweedpulley.Member, r knapweedpulley.SuspectReport,
) error {
	message := encodeSuspects(r)
	err := s.attempt(ctx, to.Address, message)
	for n := 1; n < maxSuspectAttempts && err != nil && !errors.Is(err, knapweedpulley.ErrNoListener); n++ {
		if machine.Pause(ctx, suspectRetryDelay) != nil {
			break
		}
		err = s.attempt(ctx, to.Address, message)
	}
	return errors.Wrapf(err, "send suspects to %s", to.Entry)
}

// attempt sends a report once. The error is knapweedpulley.ErrNoListener if the address
// refuses connections.
func (s *SuspectSender) attempt(ctx context.Context, address string, m *linkpb.SuspectsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, suspectAttemptTimeout)
	defer cancel()
	s.connections.DiscardFailed(address)
	conn, err := s.connections.To(address)
	if err != nil {
		return err
	}
	_, err = linkpb.NewSuspectServiceClient(conn).SendSuspects(ctx, m)
	code := grpcstatus.Code(err)
	if s.timeouts.record(address, code == codes.DeadlineExceeded) {
		s.connections.Discard(address)
	}
	if code == codes.Unavailable && machine.RefusesConnections(ctx, &net.Dialer{}, address) {
		return knapweedpulley.ErrNoListener
	}
	return err
}

// FetchSuspects implements knapweedpulley.SuspectFetcher. It makes one attempt. A member that doesn't
// know the method has nothing to tell.
func (s *SuspectSender) FetchSuspects(
	ctx context.Context, from knapweedpulley.Member,
) ([]knapweedpulley.SuspectReport, error) {
	ctx, cancel := context.WithTimeout(ctx, suspectAttemptTimeout)
	defer cancel()
	s.connections.DiscardFailed(from.Address)
	conn, err := s.connections.To(from.Address)
	if err != nil {
		return nil, err
	}
	m, err := linkpb.NewSuspectServiceClient(conn).FetchSuspects(ctx, &linkpb.FetchSuspectsRequest{})
	switch code := grpcstatus.Code(err); {
	case err == nil:
	case code == codes.Unimplemented:
		return nil, nil
	case code == codes.Unavailable && machine.RefusesConnections(ctx, &net.Dialer{}, from.Address):
		return nil, knapweedpulley.ErrNoListener
	default:
		return nil, errors.Wrapf(err, "fetch suspects from %s", from.Entry)
	}
	reports := make([]knapweedpulley.SuspectReport, 0, len(m.GetReports()))
	for _, r := range m.GetReports() {
		reports = append(reports, decodeSuspects(r))
	}
	return reports, nil
}

// RequestProbe implements knapweedpulley.SuspectPeer. It makes one attempt, because a repeated request
// would be counted twice. A member that doesn't know the method grants no probe.
func (s *SuspectSender) RequestProbe(
	ctx context.Context, to knapweedpulley.Member, r knapweedpulley.ProbeRequest,
) (bool, error) {
	s.connections.DiscardFailed(to.Address)
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return false, err
	}
	m, err := linkpb.NewSuspectServiceClient(conn).RequestProbe(ctx, &linkpb.RequestProbeRequest{
		Content: uint64(r.Content), Parts: encodeFingerprints(r.Parts),
	})
	if grpcstatus.Code(err) == codes.Unimplemented {
		return false, nil
	}
	return m.GetGranted(), errors.Wrapf(err, "request a probe from %s", to.Entry)
}

// suspectServer exchanges the suspect reports of a store with other entry processes.
type suspectServer struct {
	linkpb.UnimplementedSuspectServiceServer
	store knapweedpulley.SuspectStore
}

// RegisterSuspects registers the service that passes the suspect reports of other
// entry processes to store, and its reports to them.
func RegisterSuspects(r grpc.ServiceRegistrar, store knapweedpulley.SuspectStore) {
	linkpb.RegisterSuspectServiceServer(r, &suspectServer{store: store})
}

// SendSuspects implements linkpb.SuspectServiceServer.
func (s *suspectServer) SendSuspects(
	_ context.Context, m *linkpb.SuspectsRequest,
) (*linkpb.SuspectsResponse, error) {
	s.store.Merge(decodeSuspects(m))
	return &linkpb.SuspectsResponse{}, nil
}

// FetchSuspects implements linkpb.SuspectServiceServer.
func (s *suspectServer) FetchSuspects(
	context.Context, *linkpb.FetchSuspectsRequest,
) (*linkpb.FetchSuspectsResponse, error) {
	reports := s.store.Snapshot()
	m := &linkpb.FetchSuspectsResponse{Reports: make([]*linkpb.SuspectsRequest, 0, len(reports))}
	for _, r := range reports {
		m.Reports = append(m.Reports, encodeSuspects(r))
	}
	return m, nil
}

// RequestProbe implements linkpb.SuspectServiceServer.
func (s *suspectServer) RequestProbe(
	_ context.Context, m *linkpb.RequestProbeRequest,
) (*linkpb.RequestProbeResponse, error) {
	granted := s.store.GrantProbe(knapweedpulley.ProbeRequest{
		Content: knapweedpulley.Fingerprint(m.GetContent()),
		Parts:   decodeFingerprints[knapweedpulley.PartFingerprint](m.GetParts()),
	})
	return &linkpb.RequestProbeResponse{Granted: granted}, nil
}

func encodeSuspects(r knapweedpulley.SuspectReport) *linkpb.SuspectsRequest {
	return &linkpb.SuspectsRequest{
		Endpoint: string(r.Endpoint), Start: r.Start, Isolated: r.Isolated, AgeNanoseconds: int64(r.Age),
		Fingerprints:     encodeFingerprints(r.Fingerprints),
		Parts:            encodeFingerprints(r.Parts),
		AnsweredContents: encodeFingerprints(r.AnsweredContents),
		AnsweredParts:    encodeFingerprints(r.AnsweredParts),
		PartStates:       encodePartStates(r.PartStates),
	}
}

func decodeSuspects(m *linkpb.SuspectsRequest) knapweedpulley.SuspectReport {
	return knapweedpulley.SuspectReport{
		Endpoint:         knapweedpulley.EndpointID(m.GetEndpoint()),
		Start:            m.GetStart(),
		Isolated:         m.GetIsolated(),
		Age:              time.Duration(m.GetAgeNanoseconds()),
		Fingerprints:     decodeFingerprints[knapweedpulley.Fingerprint](m.GetFingerprints()),
		Parts:            decodeFingerprints[knapweedpulley.PartFingerprint](m.GetParts()),
		AnsweredContents: decodeFingerprints[knapweedpulley.Fingerprint](m.GetAnsweredContents()),
		AnsweredParts:    decodeFingerprints[knapweedpulley.PartFingerprint](m.GetAnsweredParts()),
		PartStates:       decodePartStates(m.GetPartStates()),
	}
}

func encodeFingerprints[T ~uint64](list []T) []uint64 {
	encoded := make([]uint64, 0, len(list))
	for _, f := range list {
		encoded = append(encoded, uint64(f))
	}
	return encoded
}

func decodeFingerprints[T ~uint64](encoded []uint64) []T {
	var list []T
	for _, f := range encoded {
		list = append(list, T(f))
	}
	return list
}

func encodePartStates(states []knapweedpulley.PartState) []*linkpb.PartState {
	encoded := make([]*linkpb.PartState, 0, len(states))
	for _, s := range states {
		encoded = append(encoded, &linkpb.PartState{
			Part: uint64(s.Part), Round: s.Round, Answered: s.Answered, Probes: s.Probes, ReturnedProbes: s.ReturnedProbes,
		})
	}
	return encoded
}

func decodePartStates(encoded []*linkpb.PartState) []knapweedpulley.PartState {
	var states []knapweedpulley.PartState
	for _, s := range encoded {
		states = append(states, knapweedpulley.PartState{
			Part: knapweedpulley.PartFingerprint(s.GetPart()), Round: s.GetRound(), Answered: s.GetAnswered(),
			Probes: s.GetProbes(), ReturnedProbes: s.GetReturnedProbes(),
		})
	}
	return states
}
