package gateway_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

const testCustomer knapweedpulley.CustomerID = "firm"

// fakeAllowanceLink is a link to the other gateways' allowances. It counts the requests.
type fakeAllowanceLink struct {
	allowances map[knapweedpulley.EntryID]*contract.Allowances
	requests   int
	// loseReplies makes the link lose the replies after the tokens were taken.
	loseReplies bool
}

func (l *fakeAllowanceLink) Borrow(
	_ context.Context, from knapweedpulley.Member, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Tokens, error) {
	l.requests++
	lent := l.allowances[from.Entry].Lend(customer, n)
	if l.loseReplies {
		return 0, errors.New("reply lost")
	}
	return lent, nil
}

func (l *fakeAllowanceLink) Reserve(
	ctx context.Context, at knapweedpulley.Member, r knapweedpulley.Reservation,
) (knapweedpulley.ReservationResult, error) {
	return l.allowances[at.Entry].Reserve(ctx, r)
}

func newAllowances() *contract.Allowances {
	a := contract.NewAllowances(fake.Clock{}, "one", 2)
	a.Configure([]knapweedpulley.Contract{{Customer: testCustomer, Rate: 1000, Burst: 1000}})
	return a
}

// newRateLimiter returns the rate limiter of the first of two gateways, and its link to the second.
func newRateLimiter() (*gateway.RateLimiter, *fakeAllowanceLink) {
	one, two := knapweedpulley.Member{Entry: "one"}, knapweedpulley.Member{Entry: "two"}
	l := &fakeAllowanceLink{allowances: map[knapweedpulley.EntryID]*contract.Allowances{"two": newAllowances()}}
	peers := gateway.NewPeers(one)
	peers.SetMembers([]knapweedpulley.Member{one, two})
	return gateway.NewRateLimiter(newAllowances(), l, peers, fake.Clock{}, logbook.New(io.Discard, log.InfoLevel, "test", "test")), l
}

func assertCharge(t *testing.T, r *gateway.RateLimiter, n knapweedpulley.Tokens, maxWait time.Duration, want bool) {
	t.Helper()
	is := is.New(t)
	err := r.Charge(t.Context(), testCustomer, n, maxWait)
	is.Equal(err == nil, want)
	if err != nil {
		is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
	}
}

func inBubble(name string, t *testing.T, f func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

func TestRateLimiter(t *testing.T) {
	inBubble("missing tokens are borrowed from the other gateway", t, func(t *testing.T) {
		r, l := newRateLimiter()
		time.Sleep(time.Minute)
		assertCharge(t, r, 450, 0, true)
		assertCharge(t, r, 200, 0, true)
		is.New(t).Equal(l.requests, 1)
	})
	inBubble("a lost reply loses the lent tokens and creates none", t, func(t *testing.T) {
		r, l := newRateLimiter()
		time.Sleep(time.Minute)
		l.loseReplies = true
		assertCharge(t, r, 450, 0, true)
		assertCharge(t, r, 200, 0, false)
		is.New(t).True(!l.allowances["two"].Take(testCustomer, 450, 0).Taken)
	})
	inBubble("a request whose tokens are available soon waits for them", t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newRateLimiter()
		began := time.Now()
		assertCharge(t, r, 100, 300*time.Millisecond, true)
		is.Equal(time.Since(began), 200*time.Millisecond)
	})
	inBubble("a gateway that had no tokens to lend is not asked again at once", t, func(t *testing.T) {
		r, l := newRateLimiter()
		for range 10 {
			assertCharge(t, r, 400, 0, false)
		}
		is.New(t).Equal(l.requests, 1)
	})
	inBubble("the tokens of a caller that disconnects while waiting are returned", t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newRateLimiter()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		is.True(r.Charge(ctx, testCustomer, 100, 300*time.Millisecond) != nil)
		time.Sleep(150 * time.Millisecond)
		assertCharge(t, r, 95, 0, true)
	})
}
