package contract_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/membership"
)

const customer = knapweedpulley.CustomerID("iturralde")

// bubbleClock reads the time of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

func newSingleLimiter(t testing.TB, rate knapweedpulley.TokensPerSecond, burst knapweedpulley.Tokens) *contract.Limiter {
	t.Helper()
	self := knapweedpulley.Member{Entry: "entry-1", Incarnation: 1}
	limiter, cleanup := contract.NewLimiter(bubbleClock{}, membership.NewSingle(self), nil)
	t.Cleanup(cleanup)
	limiter.SetCustomers([]knapweedpulley.Contract{{Customer: customer, Rate: rate, Burst: burst}})
	return limiter
}

func assertCharged(t *testing.T, l *contract.Limiter, n knapweedpulley.Tokens) knapweedpulley.Receipt {
	t.Helper()
	receipt, err := l.Charge(customer, n)
	is.New(t).NoErr(err)
	return receipt
}

func assertRefused(t *testing.T, l *contract.Limiter, n knapweedpulley.Tokens, after time.Duration) {
	t.Helper()
	is := is.New(t)
	_, err := l.Charge(customer, n)
	var refusal *knapweedpulley.Refusal
	is.True(errors.As(err, &refusal))                           // the error is a refusal
	is.Equal(refusal.Code, knapweedpulley.CodeRateExceeded)     // its code
	is.Equal(refusal.Verdict, knapweedpulley.NotRun)            // its verdict
	is.Equal(refusal.RetryAfter.Round(time.Millisecond), after) // its time to retry
}

func TestCharge(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("allows the burst and then the rate", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		assertCharged(t, l, 200)
		assertRefused(t, l, 50, 500*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		assertCharged(t, l, 50)
		assertRefused(t, l, 1, 10*time.Millisecond)
	})
	run("refuses more than the burst", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		assertRefused(t, l, 201, 0)
	})
	run("refuses an unknown customer", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		_, err := l.Charge("nobody", 1)
		is.New(t).Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
	})
	run("a lowered contract reduces the tokens at once", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		l.SetCustomers([]knapweedpulley.Contract{{Customer: customer, Rate: 10, Burst: 20}})
		assertRefused(t, l, 21, 0)
		assertCharged(t, l, 20)
		assertRefused(t, l, 10, time.Second)
	})
	run("a raised contract adds no tokens by itself", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		l.SetCustomers([]knapweedpulley.Contract{{Customer: customer, Rate: 1000, Burst: 2000}})
		assertCharged(t, l, 200)
		assertRefused(t, l, 1000, time.Second)
	})
	run("a customer that is removed and added again has no tokens", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		l.SetCustomers(nil)
		l.SetCustomers([]knapweedpulley.Contract{{Customer: customer, Rate: 100, Burst: 200}})
		assertRefused(t, l, 100, time.Second)
	})
}

func TestSettle(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("refunds the tokens that were not used", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		receipt := assertCharged(t, l, 200)
		l.Settle(receipt, 50)
		assertCharged(t, l, 150)
		assertRefused(t, l, 1, 10*time.Millisecond)
	})
	run("never raises the level above the burst", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		receipt := assertCharged(t, l, 200)
		for range 5 {
			l.Settle(receipt, 0)
		}
		assertCharged(t, l, 200)
		assertRefused(t, l, 1, 10*time.Millisecond)
	})
	run("a late refund leaves no more tokens than if nothing had been charged", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		receipt := assertCharged(t, l, 150)
		time.Sleep(2 * time.Second)
		assertCharged(t, l, 200)
		l.Settle(receipt, 0)
		assertRefused(t, l, 1, 10*time.Millisecond)
	})
	run("deducts usage beyond the charge", func(t *testing.T) {
		l := newSingleLimiter(t, 100, 200)
		receipt := assertCharged(t, l, 100)
		l.Settle(receipt, 250)
		assertRefused(t, l, 50, time.Second)
	})
}

func BenchmarkCharge(b *testing.B) {
	l := newSingleLimiter(b, 1e12, 1e15)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			receipt, err := l.Charge(customer, 100)
			if err != nil {
				b.Fatal(err)
			}
			l.Settle(receipt, 50)
		}
	})
}
