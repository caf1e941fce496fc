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
	knapweedpulley.AllowanceLender
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

// queueLender answers reservations with a fixed result, and keeps the last of them. left is closed when the caller
// of a reservation without tokens has left.
type queueLender struct {
	knapweedpulley.AllowanceLender
	last   knapweedpulley.Reservation
	result knapweedpulley.ReservationResult
	err    error
	left   chan struct{}
}

func (l *queueLender) Reserve(ctx context.Context, r knapweedpulley.Reservation) (knapweedpulley.ReservationResult, error) {
	if r.Tokens == 0 {
		<-ctx.Done()
		close(l.left)
		return knapweedpulley.ReservationResult{}, ctx.Err()
	}
	l.last = r
	return l.result, l.err
}

// TestReservation guards against reservations that lose a part on the way, and against calls that keep their place
// in a holder's queue after they have left.
func TestReservation(t *testing.T) {
	is := is.New(t)
	lender := &queueLender{left: make(chan struct{})}
	server, closeServer, err := link.NewServer("127.0.0.1:0", nil, func(r grpc.ServiceRegistrar) {
		link.RegisterAllowances(r, lender)
	})
	is.NoErr(err)
	t.Cleanup(closeServer)
	connections, closeConnections := link.NewConnections(nil)
	t.Cleanup(closeConnections)
	borrower := link.NewAllowanceBorrower(connections)
	holder := knapweedpulley.Member{Entry: "two", Address: server.Address()}
	sent := knapweedpulley.Reservation{
		Customer: "acme", Tokens: 4700, Route: "chat", Priority: 2, MaxWait: 7800 * time.Millisecond, Fingerprint: 1 << 63,
	}

	t.Run("the reservation and its result arrive as they were sent", func(t *testing.T) {
		is := is.New(t)
		lender.result = knapweedpulley.ReservationResult{RetryAfter: 1300 * time.Millisecond}
		result, err := borrower.Reserve(t.Context(), holder, sent)
		is.NoErr(err)
		is.Equal(result, lender.result)
		is.Equal(lender.last, sent)
	})
	t.Run("a gateway without a queue is told from one that doesn't answer", func(t *testing.T) {
		is := is.New(t)
		lender.err = knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun, "no queue")
		_, err := borrower.Reserve(t.Context(), holder, sent)
		is.Equal(knapweedpulley.RefusalOf(err, knapweedpulley.CodeInternal).Code, knapweedpulley.CodeNotReady)
	})
	t.Run("the holder learns that the caller has left", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := borrower.Reserve(ctx, holder, knapweedpulley.Reservation{Customer: "acme", MaxWait: time.Minute})
		is.New(t).True(err != nil)
		<-lender.left
	})
}
