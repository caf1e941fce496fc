package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// Keepers implements knapweedpulley.KeeperLink over gRPC.
type Keepers struct {
	connections *Connections
}

// NewKeepers returns a link that uses the given connections.
func NewKeepers(connections *Connections) *Keepers {
	return &Keepers{connections: connections}
}

// OpenStream implements knapweedpulley.KeeperLink. Once the stream has failed, the
// next one uses a new connection, as the old one may have gone silent.
func (k *Keepers) OpenStream(ctx context.Context, address string) (knapweedpulley.KeeperStream, error) {
	conn, err := k.connections.To(address)
	if err != nil {
		return nil, err
	}
	stream, err := linkpb.NewKeepersClient(conn).Attend(ctx)
	if err != nil {
		k.connections.Forget(address)
		return nil, errors.Wrapf(err, "attend the keeper at %s", address)
	}
	return &keeperStream{stream: stream, forget: func() { k.connections.Forget(address) }}, nil
}

// keeperStream implements knapweedpulley.KeeperStream.
type keeperStream struct {
	stream grpc.BidiStreamingClient[linkpb.KeeperNote, linkpb.KeeperReport]
	forget func()
	// last is the report that the next one builds on.
	last knapweedpulley.EngineReport
}

// Send implements knapweedpulley.KeeperStream.
func (s *keeperStream) Send(n knapweedpulley.GatewayMessage) error {
	return errors.Wrap(s.stream.Send(encodeNote(n)), "send a note")
}

// Receive implements knapweedpulley.KeeperStream.
func (s *keeperStream) Receive() (knapweedpulley.EngineReport, error) {
	m, err := s.stream.Recv()
	if err != nil {
		s.forget()
		return knapweedpulley.EngineReport{}, errors.Wrap(err, "receive a report")
	}
	s.last = decodeReportChange(m, &s.last)
	return s.last, nil
}

// keeperServer serves a keeper to the gateways.
type keeperServer struct {
	linkpb.UnimplementedKeepersServer
	keeper knapweedpulley.EngineKeeper
}

// RegisterKeeper serves a keeper to the gateways.
func RegisterKeeper(r grpc.ServiceRegistrar, keeper knapweedpulley.EngineKeeper) {
	linkpb.RegisterKeepersServer(r, &keeperServer{keeper: keeper})
}

// Attend implements linkpb.KeepersServer.
func (s *keeperServer) Attend(stream grpc.BidiStreamingServer[linkpb.KeeperNote, linkpb.KeeperReport]) error {
	return s.keeper.ServeGateway(stream.Context(), &gatewayStream{stream: stream})
}

// gatewayStream implements knapweedpulley.GatewayStream.
type gatewayStream struct {
	stream grpc.BidiStreamingServer[linkpb.KeeperNote, linkpb.KeeperReport]
	// last is the report that the next one builds on.
	last *knapweedpulley.EngineReport
}

// Send implements knapweedpulley.GatewayStream.
func (s *gatewayStream) Send(r knapweedpulley.EngineReport) error {
	m := encodeReportChange(&r, s.last)
	s.last = &r
	return errors.Wrap(s.stream.Send(m), "send a report")
}

// Receive implements knapweedpulley.GatewayStream.
func (s *gatewayStream) Receive() (knapweedpulley.GatewayMessage, error) {
	m, err := s.stream.Recv()
	if err != nil {
		return knapweedpulley.GatewayMessage{}, errors.Wrap(err, "receive a note")
	}
	return decodeNote(m), nil
}
