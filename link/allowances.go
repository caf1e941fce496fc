package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// AllowanceBorrower implements knapweedpulley.AllowanceLink over gRPC.
type AllowanceBorrower struct {
	connections *Connections
}

// NewAllowanceBorrower returns a borrower that uses the given connections.
func NewAllowanceBorrower(connections *Connections) *AllowanceBorrower {
	return &AllowanceBorrower{connections: connections}
}

// Borrow implements knapweedpulley.AllowanceLink.
func (b *AllowanceBorrower) Borrow(
	ctx context.Context, from knapweedpulley.Member, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Tokens, error) {
	conn, err := b.connections.To(from.Address)
	if err != nil {
		return 0, err
	}
	answer, err := linkpb.NewAllowancesClient(conn).Lend(ctx, &linkpb.LendRequest{
		Customer: string(customer), Tokens: int64(n),
	})
	if err != nil {
		// The connection may have stopped delivering data, so it is not reused.
		b.connections.Discard(from.Address)
		return 0, errors.Wrapf(err, "borrow tokens from %s", from.Entry)
	}
	return knapweedpulley.Tokens(answer.GetTokens()), nil
}

// allowanceServer lends tokens to other gateways.
type allowanceServer struct {
	linkpb.UnimplementedAllowancesServer
	lender knapweedpulley.AllowanceLender
}

// RegisterAllowances registers the service through which other gateways borrow
// tokens from lender.
func RegisterAllowances(r grpc.ServiceRegistrar, lender knapweedpulley.AllowanceLender) {
	linkpb.RegisterAllowancesServer(r, &allowanceServer{lender: lender})
}

// Lend implements linkpb.AllowancesServer.
func (s *allowanceServer) Lend(_ context.Context, m *linkpb.LendRequest) (*linkpb.LendResponse, error) {
	n := s.lender.Lend(knapweedpulley.CustomerID(m.GetCustomer()), knapweedpulley.Tokens(m.GetTokens()))
	return &linkpb.LendResponse{Tokens: int64(n)}, nil
}
