package link

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/knapweedpulley/knapweedpulley"
)

// promptLender lends what is requested.
type promptLender struct {
	knapweedpulley.AllowanceLender
}

func (promptLender) Lend(_ knapweedpulley.CustomerID, n knapweedpulley.Tokens) knapweedpulley.Tokens {
	return n
}

// startLender starts a server that lends, at the given address.
func startLender(t *testing.T, address string) (string, knapweedpulley.Cleanup) {
	t.Helper()
	server, cleanup, err := NewServer(address, nil, func(r grpc.ServiceRegistrar) {
		RegisterAllowances(r, promptLender{})
	})
	is.New(t).NoErr(err)
	return server.Address(), cleanup
}

func TestRestartedLenderIsReachedAtOnce(t *testing.T) {
	is := is.New(t)
	address, stop := startLender(t, "127.0.0.1:0")
	connections, closeConnections := NewConnections(nil)
	defer closeConnections()
	borrower := NewAllowanceBorrower(connections)
	from := knapweedpulley.Member{Entry: "two", Address: address}
	_, err := borrower.Borrow(t.Context(), from, "acme", 5)
	is.NoErr(err)
	stop()
	_, err = borrower.Borrow(t.Context(), from, "acme", 5)
	is.True(err != nil)
	_, stop = startLender(t, address)
	defer stop()
	// gRPC updates the state of the connection shortly after the call has failed.
	connections.conns[address].WaitForStateChange(t.Context(), connectivity.Connecting)
	lent, err := borrower.Borrow(t.Context(), from, "acme", 5)
	is.NoErr(err)
	is.Equal(lent, knapweedpulley.Tokens(5))
}
