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

// HeartbeatSender implements knapweedpulley.HeartbeatLink over gRPC.
type HeartbeatSender struct {
	connections *Connections
	timeouts    *timeoutCounter
}

// NewHeartbeatSender returns a sender that uses the given connections.
func NewHeartbeatSender(connections *Connections) *HeartbeatSender {
	return &HeartbeatSender{connections: connections, timeouts: newTimeoutCounter(0)}
}

// Heartbeat implements knapweedpulley.HeartbeatLink.
func (s *HeartbeatSender) Heartbeat(
	ctx context.Context, to knapweedpulley.Member, h knapweedpulley.Heartbeat,
) (knapweedpulley.Heartbeat, error) {
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return knapweedpulley.Heartbeat{}, err
	}
	answer, err := linkpb.NewMemberServiceClient(conn).Heartbeat(ctx, encodeHeartbeat(h))
	if err != nil {
		return knapweedpulley.Heartbeat{}, s.classifyError(ctx, to, err)
	}
	s.timeouts.record(to.Address, false)
	return decodeHeartbeat(answer), nil
}

// classifyError returns knapweedpulley.ErrNoListener if the address of to refuses
// connections, so that the process has ended, and err with context otherwise. It
// closes the connection after maxConsecutiveTimeouts timeouts.
func (s *HeartbeatSender) classifyError(ctx context.Context, to knapweedpulley.Member, err error) error {
	code := grpcstatus.Code(err)
	if code == codes.Unavailable && machine.RefusesConnections(ctx, &net.Dialer{}, to.Address) {
		return knapweedpulley.ErrNoListener
	}
	if s.timeouts.record(to.Address, code == codes.DeadlineExceeded) {
		s.connections.Discard(to.Address)
	}
	return errors.Wrapf(err, "heartbeat to %s", to.Entry)
}

// memberServer answers the heartbeats of other entry processes.
type memberServer struct {
	linkpb.UnimplementedMemberServiceServer
	service knapweedpulley.HeartbeatService
}

// RegisterMembers registers the service that passes the heartbeats of other entry
// processes to service.
func RegisterMembers(r grpc.ServiceRegistrar, service knapweedpulley.HeartbeatService) {
	linkpb.RegisterMemberServiceServer(r, &memberServer{service: service})
}

// Heartbeat implements linkpb.MemberServiceServer.
func (s *memberServer) Heartbeat(
	_ context.Context, m *linkpb.HeartbeatMessage,
) (*linkpb.HeartbeatMessage, error) {
	return encodeHeartbeat(s.service.HandleHeartbeat(decodeHeartbeat(m))), nil
}

func encodeHeartbeat(h knapweedpulley.Heartbeat) *linkpb.HeartbeatMessage {
	return &linkpb.HeartbeatMessage{
		From:           encodeMember(h.From),
		View:           uint64(h.View),
		AgeNanoseconds: int64(h.Age),
		InForce:        h.InForce,
		Evicted:        encodeMembers(h.Evicted),
		Silent:         encodeMembers(h.Silent),
		Digest:         uint64(h.Digest),
	}
}

func decodeHeartbeat(m *linkpb.HeartbeatMessage) knapweedpulley.Heartbeat {
	return knapweedpulley.Heartbeat{
		From:    decodeMember(m.GetFrom()),
		View:    knapweedpulley.Revision(m.GetView()),
		Age:     time.Duration(m.GetAgeNanoseconds()),
		InForce: m.GetInForce(),
		Evicted: decodeMembers(m.GetEvicted()),
		Silent:  decodeMembers(m.GetSilent()),
		Digest:  knapweedpulley.Fingerprint(m.GetDigest()),
	}
}

func encodeMember(id knapweedpulley.MemberID) *linkpb.MemberRef {
	return &linkpb.MemberRef{Entry: string(id.Entry), Incarnation: uint64(id.Incarnation)}
}

func decodeMember(m *linkpb.MemberRef) knapweedpulley.MemberID {
	return knapweedpulley.MemberID{
		Entry:       knapweedpulley.EntryID(m.GetEntry()),
		Incarnation: knapweedpulley.Incarnation(m.GetIncarnation()),
	}
}

func encodeMembers(ids []knapweedpulley.MemberID) []*linkpb.MemberRef {
	list := make([]*linkpb.MemberRef, 0, len(ids))
	for _, id := range ids {
		list = append(list, encodeMember(id))
	}
	return list
}

func decodeMembers(refs []*linkpb.MemberRef) []knapweedpulley.MemberID {
	var list []knapweedpulley.MemberID
	for _, r := range refs {
		list = append(list, decodeMember(r))
	}
	return list
}
