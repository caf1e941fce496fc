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

// NewKeepers returns a client that uses the given connections.
func NewKeepers(connections *Connections) *Keepers {
	return &Keepers{connections: connections}
}

// OpenStream implements knapweedpulley.KeeperLink. After the stream has failed, the
// next stream uses a new connection, because the old connection may have stopped
// delivering data.
func (k *Keepers) OpenStream(ctx context.Context, address string) (knapweedpulley.KeeperStream, error) {
	conn, err := k.connections.To(address)
	if err != nil {
		return nil, err
	}
	stream, err := linkpb.NewKeepersClient(conn).Attend(ctx)
	if err != nil {
		k.connections.Discard(address)
		return nil, errors.Wrapf(err, "open a stream to the keeper at %s", address)
	}
	return &keeperStream{stream: stream, closeConnection: func() { k.connections.Discard(address) }}, nil
}

// keeperStream implements knapweedpulley.KeeperStream.
type keeperStream struct {
	stream          grpc.BidiStreamingClient[linkpb.KeeperNote, linkpb.KeeperReport]
	closeConnection func()
	// last is the last report received. The next one omits what is unchanged since.
	last knapweedpulley.EngineReport
}

// Send implements knapweedpulley.KeeperStream.
func (s *keeperStream) Send(n knapweedpulley.GatewayMessage) error {
	return errors.Wrap(s.stream.Send(encodeGatewayMessage(n)), "send a message to the keeper")
}

// Receive implements knapweedpulley.KeeperStream.
func (s *keeperStream) Receive() (knapweedpulley.EngineReport, error) {
	m, err := s.stream.Recv()
	if err != nil {
		s.closeConnection()
		return knapweedpulley.EngineReport{}, errors.Wrap(err, "receive a report from the keeper")
	}
	s.last = decodeReportChange(m, &s.last)
	return s.last, nil
}

// keeperServer serves the streams of gateways to a keeper.
type keeperServer struct {
	linkpb.UnimplementedKeepersServer
	keeper knapweedpulley.EngineKeeper
}

// RegisterKeeper registers the service through which gateways connect to a keeper.
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
	// last is the last report sent, or nil. The next one omits what is unchanged since.
	last *knapweedpulley.EngineReport
}

// Send implements knapweedpulley.GatewayStream.
func (s *gatewayStream) Send(r knapweedpulley.EngineReport) error {
	m := encodeReportChange(&r, s.last)
	s.last = &r
	return errors.Wrap(s.stream.Send(m), "send a report to the gateway")
}

// Receive implements knapweedpulley.GatewayStream.
func (s *gatewayStream) Receive() (knapweedpulley.GatewayMessage, error) {
	m, err := s.stream.Recv()
	if err != nil {
		return knapweedpulley.GatewayMessage{}, errors.Wrap(err, "receive a message from the gateway")
	}
	return decodeGatewayMessage(m), nil
}
