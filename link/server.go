package link

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/knapweedpulley/knapweedpulley"
)

// stopTimeout bounds the wait for open calls when a server stops. They are then
// canceled.
const stopTimeout = 2 * time.Second

// handshakeTimeout bounds the handshake of a new connection. Stopping the server
// waits for connections whose peer has sent nothing.
const handshakeTimeout = 2 * time.Second

// Server is the gRPC server of one process, for calls from other processes.
type Server struct {
	server   *grpc.Server
	listener net.Listener
}

// NewServer listens on address and serves the services that register adds. If
// creds is nil, it uses plain TCP. The clean-up stops the server. The error tells
// that it can't listen on address.
func NewServer(
	address string, creds credentials.TransportCredentials, register func(grpc.ServiceRegistrar),
) (*Server, knapweedpulley.Cleanup, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", address)
	}
	return Serve(listener, creds, register)
}

// Serve serves the services that register adds on an open listener, as NewServer
// does. Its error is always nil.
func Serve(
	listener net.Listener, creds credentials.TransportCredentials, register func(grpc.ServiceRegistrar),
) (*Server, knapweedpulley.Cleanup, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.ReadBufferSize(connectionBufferSize),
		grpc.WriteBufferSize(connectionBufferSize),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.MaxSendMsgSize(maxMessageSize),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	register(server)
	s := &Server{server: server, listener: listener}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(newLimitedListener(listener))
	}()
	return s, func() { s.stop(done) }, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

func (s *Server) stop(done <-chan struct{}) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.server.GracefulStop()
	}()
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
		s.server.Stop()
	}
	<-done
}
