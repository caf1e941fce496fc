package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// minLenderSilence is the time for which loans on a connection must have timed out before
// it is replaced.
const minLenderSilence = 2 * time.Second

// AllowanceBorrower implements knapweedpulley.AllowanceLink over gRPC.
type AllowanceBorrower struct {
	connections *Connections
	timeouts    *timeoutCounter
}

// NewAllowanceBorrower returns a borrower that uses the given connections.
func NewAllowanceBorrower(connections *Connections) *AllowanceBorrower {
	return &AllowanceBorrower{connections: connections, timeouts: newTimeoutCounter(minLenderSilence)}
}

// Borrow implements knapweedpulley.AllowanceLink.
func (b *AllowanceBorrower) Borrow(
	ctx context.Context, from knapweedpulley.Member, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Tokens, error) {
	b.connections.DiscardFailed(from.Address)
	conn, err := b.connections.To(from.Address)
	if err != nil {
		return 0, err
	}
	answer, err := linkpb.NewAllowancesClient(conn).Lend(ctx, &linkpb.LendRequest{
		Customer: string(customer), Tokens: int64(n),
	})
	if err != nil {
		b.handleError(from.Address, err)
		return 0, errors.Wrapf(err, "borrow tokens from %s", from.Entry)
	}
	b.timeouts.record(from.Address, false)
	return knapweedpulley.Tokens(answer.GetTokens()), nil
}

// Reserve implements knapweedpulley.AllowanceLink.
func (b *AllowanceBorrower) Reserve(
	ctx context.Context, at knapweedpulley.Member, r knapweedpulley.Reservation,
) (knapweedpulley.ReservationResult, error) {
	b.connections.DiscardFailed(at.Address)
	conn, err := b.connections.To(at.Address)
	if err != nil {
		return knapweedpulley.ReservationResult{}, err
	}
	answer, err := linkpb.NewAllowancesClient(conn).Reserve(ctx, &linkpb.ReserveRequest{
		Customer: string(r.Customer), Tokens: int64(r.Tokens), Route: string(r.Route), Priority: int64(r.Priority),
		MaxWaitNanoseconds: int64(r.MaxWait), Fingerprint: uint64(r.Fingerprint),
	})
	if grpcstatus.Code(err) == codes.FailedPrecondition {
		b.timeouts.record(at.Address, false)
		return knapweedpulley.ReservationResult{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeNotReady, knapweedpulley.NotRun, "gateway %s has no queue for customer %s", at.Entry, r.Customer)
	}
	if err != nil {
		b.handleError(at.Address, err)
		return knapweedpulley.ReservationResult{}, errors.Wrapf(err, "reserve tokens at %s", at.Entry)
	}
	b.timeouts.record(at.Address, false)
	return knapweedpulley.ReservationResult{
		Granted: answer.GetGranted(), RetryAfter: time.Duration(answer.GetRetryAfterNanoseconds()),
	}, nil
}

// handleError closes the connection to address if loans have timed out on it for long
// enough. Until then other calls on it may still get their answers.
func (b *AllowanceBorrower) handleError(address string, err error) {
	switch grpcstatus.Code(err) {
	case codes.Canceled:
	case codes.DeadlineExceeded:
		if b.timeouts.record(address, true) {
			b.connections.Discard(address)
		}
	default:
		b.timeouts.record(address, false)
	}
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

// Reserve implements linkpb.AllowancesServer.
func (s *allowanceServer) Reserve(ctx context.Context, m *linkpb.ReserveRequest) (*linkpb.ReserveResponse, error) {
	result, err := s.lender.Reserve(ctx, knapweedpulley.Reservation{
		Customer: knapweedpulley.CustomerID(m.GetCustomer()), Tokens: knapweedpulley.Tokens(m.GetTokens()),
		Route: knapweedpulley.RouteID(m.GetRoute()), Priority: int(m.GetPriority()),
		MaxWait: time.Duration(m.GetMaxWaitNanoseconds()), Fingerprint: knapweedpulley.Fingerprint(m.GetFingerprint()),
	})
	switch {
	case ctx.Err() != nil:
		return nil, grpcstatus.FromContextError(ctx.Err()).Err()
	case err != nil:
		return nil, grpcstatus.Error(codes.FailedPrecondition, err.Error())
	}
	return &linkpb.ReserveResponse{Granted: result.Granted, RetryAfterNanoseconds: int64(result.RetryAfter)}, nil
}
