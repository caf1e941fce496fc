package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link"
)

// heldLender lends what is requested once it is released.
type heldLender struct {
	requested chan struct{}
	release   chan struct{}
}

func (l *heldLender) Lend(_ knapweedpulley.CustomerID, n knapweedpulley.Tokens) knapweedpulley.Tokens {
	l.requested <- struct{}{}
	<-l.release
	return n
}

// assertLoanSurvives requires that a loan in progress is answered although another one on
// its connection ends before the answer.
func assertLoanSurvives(t *testing.T, end func(ctx context.Context) (context.Context, context.CancelFunc)) {
	t.Helper()
	is := is.New(t)
	lender := &heldLender{requested: make(chan struct{}, 8), release: make(chan struct{})}
	server, closeServer, err := link.NewServer("127.0.0.1:0", nil, func(r grpc.ServiceRegistrar) {
		link.RegisterAllowances(r, lender)
	})
	is.NoErr(err)
	t.Cleanup(closeServer)
	connections, closeConnections := link.NewConnections(nil)
	t.Cleanup(closeConnections)
	borrower := link.NewAllowanceBorrower(connections)
	from := knapweedpulley.Member{Entry: "two", Address: server.Address()}

	type loan struct {
		tokens knapweedpulley.Tokens
		err    error
	}
	first := make(chan loan, 1)
	go func() {
		n, err := borrower.Borrow(t.Context(), from, "acme", 5)
		first <- loan{n, err}
	}()
	<-lender.requested
	ctx, cancel := end(t.Context())
	defer cancel()
	_, err = borrower.Borrow(ctx, from, "acme", 5)
	is.True(err != nil)
	close(lender.release)
	l := <-first
	is.NoErr(l.err)
	is.Equal(l.tokens, knapweedpulley.Tokens(5))
}

func TestEndedLoanLeavesOtherCalls(t *testing.T) {
	t.Run("a loan that times out", func(t *testing.T) {
		assertLoanSurvives(t, func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 60*time.Millisecond)
		})
	})
	t.Run("a loan whose caller leaves", func(t *testing.T) {
		assertLoanSurvives(t, func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(20*time.Millisecond, cancel)
			return ctx, cancel
		})
	})
}
