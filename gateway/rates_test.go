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

const firm knapweedpulley.CustomerID = "firm"

// lenders is a link to the parts of other gateways.
type lenders struct {
	parts map[knapweedpulley.EntryID]*contract.Allowances
	asked int
	// losing loses the answers.
	losing bool
}

func (l *lenders) Borrow(
	_ context.Context, from knapweedpulley.Member, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Tokens, error) {
	l.asked++
	given := l.parts[from.Entry].Lend(customer, n)
	if l.losing {
		return 0, errors.New("no answer")
	}
	return given, nil
}

func newParts() *contract.Allowances {
	a := contract.NewAllowances(fake.Clock{}, 2)
	a.Configure([]knapweedpulley.Contract{{Customer: firm, Rate: 1000, Burst: 1000}})
	return a
}

// newRates returns the rates of the first of two gateways.
func newRates() (*gateway.Rates, *lenders) {
	one, two := knapweedpulley.Member{Entry: "one"}, knapweedpulley.Member{Entry: "two"}
	l := &lenders{parts: map[knapweedpulley.EntryID]*contract.Allowances{"two": newParts()}}
	peers := gateway.NewPeers(one)
	peers.Replace([]knapweedpulley.Member{one, two})
	return gateway.NewRates(newParts(), l, peers, fake.Clock{}, logbook.New(io.Discard, log.InfoLevel, "test", "test")), l
}

func assertCharge(t *testing.T, r *gateway.Rates, n knapweedpulley.Tokens, patience time.Duration, want bool) {
	t.Helper()
	is := is.New(t)
	err := r.Charge(t.Context(), firm, n, patience)
	is.Equal(err == nil, want)
	if err != nil {
		is.Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
	}
}

func inBubble(name string, t *testing.T, f func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

func TestRates(t *testing.T) {
	inBubble("what a part lacks is borrowed", t, func(t *testing.T) {
		r, l := newRates()
		time.Sleep(time.Minute)
		assertCharge(t, r, 450, 0, true)
		assertCharge(t, r, 200, 0, true)
		is.New(t).Equal(l.asked, 1)
	})
	inBubble("a lost answer loses tokens and makes none", t, func(t *testing.T) {
		r, l := newRates()
		time.Sleep(time.Minute)
		l.losing = true
		assertCharge(t, r, 450, 0, true)
		assertCharge(t, r, 200, 0, false)
		is.New(t).True(!l.parts["two"].Take(firm, 450, 0).Taken)
	})
	inBubble("a request waits a little for its rate", t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newRates()
		began := time.Now()
		assertCharge(t, r, 100, 300*time.Millisecond, true)
		is.Equal(time.Since(began), 200*time.Millisecond)
	})
	inBubble("others that have none aren't asked again at once", t, func(t *testing.T) {
		r, l := newRates()
		for range 10 {
			assertCharge(t, r, 400, 0, false)
		}
		is.New(t).Equal(l.asked, 1)
	})
	inBubble("a caller that leaves gets its tokens returned", t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newRates()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		is.True(r.Charge(ctx, firm, 100, 300*time.Millisecond) != nil)
		time.Sleep(150 * time.Millisecond)
		assertCharge(t, r, 95, 0, true)
	})
}
