package link

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// keepalivePeriod is the time without traffic after which gRPC sends a keepalive
	// probe on a connection.
	keepalivePeriod = 10 * time.Second
	// keepaliveTimeout bounds the wait for the response to a keepalive probe.
	keepaliveTimeout = 2 * time.Second
	// connectionBufferSize is the size in bytes of the read buffer and of the write
	// buffer of a connection. Most connections carry some hundred bytes a second, and
	// a process may have hundreds of them; gRPC's default is 32 KB for each buffer.
	connectionBufferSize = int(4 * knapweedpulley.KiB)
	// maxMessageSize bounds the size in bytes of a message between two processes.
	maxMessageSize = int(16 * knapweedpulley.MiB)
)

// Connections holds one gRPC connection per address.
type Connections struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	creds credentials.TransportCredentials
}

// NewConnections returns an empty set of connections. If creds is nil, they use
// plain TCP. The clean-up closes all connections.
func NewConnections(creds credentials.TransportCredentials) (*Connections, knapweedpulley.Cleanup) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	c := &Connections{conns: make(map[string]*grpc.ClientConn), creds: creds}
	return c, c.close
}

// To returns the connection to address. A new connection is established when the
// first call is made over it.
func (c *Connections) To(address string) (grpc.ClientConnInterface, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithReadBufferSize(connectionBufferSize),
		grpc.WithWriteBufferSize(connectionBufferSize),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize), grpc.MaxCallSendMsgSize(maxMessageSize)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c.conns[address] = conn
	return conn, nil
}

// Discard closes the connection to address, so that the next call of To returns a
// new one. An open connection can stop delivering data permanently while new
// connections to the same address work.
func (c *Connections) Discard(address string) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}

// DiscardFailed discards the connection to address if the last attempt to establish it
// failed, so that the next call doesn't fail because of gRPC's reconnect backoff.
func (c *Connections) DiscardFailed(address string) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	failed := ok && conn.GetState() == connectivity.TransientFailure
	if failed {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	if failed {
		_ = conn.Close()
	}
}

func (c *Connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}
