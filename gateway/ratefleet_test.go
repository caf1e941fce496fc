package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

const (
	// fleetSize is the number of gateways of our users' largest installation.
	fleetSize = 103
	// smallRate is the contract of one of its small customers, in tokens and tokens per second.
	// requestTokens is the mean size of a request.
	smallRate     = 12_600
	requestTokens = 1600
	// quotaWindow, quotaOverage and quotaSlack are the bounds within which all gateways together
	// must keep a contract.
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 11_000
	// listDelay is the time in which gateways learn of one that has come or gone.
	listDelay = 3500 * time.Millisecond
)

// rateFleet is the rate limiters of a whole fleet.
type rateFleet struct {
	t          *testing.T
	random     *rand.Rand
	members    []knapweedpulley.Member
	allowances map[knapweedpulley.EntryID]*contract.Allowances
	limiters   map[knapweedpulley.EntryID]*gateway.RateLimiter
	peers      map[knapweedpulley.EntryID]*gateway.Peers
	dead       knapweedpulley.Set[knapweedpulley.EntryID]
	// admitted holds the times and tokens of all admitted requests.
	admitted []admission
}

type admission struct {
	at     time.Time
	tokens knapweedpulley.Tokens
	// customer is empty if there is only one.
	customer knapweedpulley.CustomerID
}

func newRateFleet(t *testing.T, size int) *rateFleet {
	t.Helper()
	f := &rateFleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)),
		allowances: make(map[knapweedpulley.EntryID]*contract.Allowances),
		limiters:   make(map[knapweedpulley.EntryID]*gateway.RateLimiter),
		peers:      make(map[knapweedpulley.EntryID]*gateway.Peers),
		dead:       make(knapweedpulley.Set[knapweedpulley.EntryID]),
	}
	for n := range size {
		f.members = append(f.members, knapweedpulley.Member{Entry: knapweedpulley.EntryID(fmt.Sprintf("front-%d", n))})
	}
	for _, m := range f.members {
		f.start(m)
	}
	f.publish()
	time.Sleep(10 * time.Second)
	return f
}

// start starts the rate limiter of a gateway, or restarts it.
func (f *rateFleet) start(m knapweedpulley.Member) {
	a := contract.NewAllowances(fake.Clock{}, m.Entry, 50)
	a.Configure([]knapweedpulley.Contract{{Customer: testCustomer, Rate: smallRate, Burst: smallRate}})
	f.allowances[m.Entry] = a
	f.peers[m.Entry] = gateway.NewPeers(m)
	f.limiters[m.Entry] = gateway.NewRateLimiter(a, f, f.peers[m.Entry], fake.Clock{},
		logbook.New(io.Discard, log.InfoLevel, "test", "test"))
	f.dead.Remove(m.Entry)
}

// publish tells all gateways which of them live.
func (f *rateFleet) publish() {
	var live []knapweedpulley.Member
	for _, m := range f.members {
		if !f.dead.Has(m.Entry) {
			live = append(live, m)
		}
	}
	for _, m := range live {
		f.peers[m.Entry].SetMembers(live)
		f.allowances[m.Entry].Assign(live)
	}
}

// Borrow implements knapweedpulley.AllowanceLink.
func (f *rateFleet) Borrow(
	_ context.Context, from knapweedpulley.Member, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Tokens, error) {
	time.Sleep(2 * time.Millisecond)
	if f.dead.Has(from.Entry) {
		time.Sleep(60 * time.Millisecond)
		return 0, errors.New("no answer")
	}
	return f.allowances[from.Entry].Lend(customer, n), nil
}

// Reserve implements knapweedpulley.AllowanceLink.
func (f *rateFleet) Reserve(
	ctx context.Context, at knapweedpulley.Member, r knapweedpulley.Reservation,
) (knapweedpulley.ReservationResult, error) {
	return f.allowances[at.Entry].Reserve(ctx, r)
}

// play sends requests for d that sum up to the given share of the contract, to gateways at random,
// and returns the share that was admitted.
func (f *rateFleet) play(d time.Duration, share float64) float64 {
	f.t.Helper()
	pause := time.Duration(float64(time.Second) * requestTokens / (share * smallRate))
	sent, admitted := 0, 0
	for end := time.Now().Add(d); time.Now().Before(end); {
		next := time.Now().Add(time.Duration(f.random.ExpFloat64() * float64(pause)))
		m := f.members[f.random.IntN(len(f.members))]
		if f.dead.Has(m.Entry) {
			continue
		}
		n := knapweedpulley.Tokens(requestTokens/2 + f.random.IntN(requestTokens))
		sent++
		if f.limiters[m.Entry].Charge(f.t.Context(), testCustomer, n, 200*time.Millisecond) == nil {
			admitted++
			f.admitted = append(f.admitted, admission{at: time.Now(), tokens: n})
		}
		time.Sleep(time.Until(next))
	}
	return float64(admitted) / float64(sent)
}

// assertWithinContract requires that in each window no more was admitted than the bounds allow.
func (f *rateFleet) assertWithinContract() {
	f.t.Helper()
	limit := (smallRate*quotaWindow.Seconds()+smallRate)*(1+quotaOverage) + quotaSlack
	for i := range f.admitted {
		sum := knapweedpulley.Tokens(0)
		for _, a := range f.admitted[i:] {
			if a.at.Sub(f.admitted[i].at) >= quotaWindow {
				break
			}
			sum += a.tokens
		}
		if float64(sum) > limit {
			f.t.Fatalf("%d tokens in a window, at most %.0f are allowed", sum, limit)
		}
	}
}

func withRateFleet(name string, t *testing.T, test func(f *rateFleet)) {
	t.Helper()
	for _, size := range []int{4, 24, fleetSize} {
		t.Run(fmt.Sprintf("%s, with %d gateways", name, size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newRateFleet(t, size)) })
		})
	}
}

func TestSmallCustomerInLargeFleet(t *testing.T) {
	withRateFleet("a customer below its rate is served wherever it calls", t, func(f *rateFleet) {
		is.New(f.t).True(f.play(time.Minute, 0.55) >= 0.99)
		f.assertWithinContract()
	})
	withRateFleet("a customer at six times its rate gets its rate and no more", t, func(f *rateFleet) {
		is := is.New(f.t)
		before := len(f.admitted)
		f.play(time.Minute, 6)
		tokens := knapweedpulley.Tokens(0)
		for _, a := range f.admitted[before:] {
			tokens += a.tokens
		}
		is.True(float64(tokens) >= 0.8*smallRate*time.Minute.Seconds())
		f.assertWithinContract()
	})
	withRateFleet("a customer is served again soon after the gateways that hold its contract have died", t, func(f *rateFleet) {
		is := is.New(f.t)
		for _, m := range contract.Holders(knapweedpulley.Contract{Customer: testCustomer, Burst: smallRate}, f.members)[:1] {
			f.dead.Add(m.Entry)
		}
		is.True(f.play(listDelay, 0.4) >= 0.7)
		f.publish()
		f.play(3*time.Second, 0.4)
		is.True(f.play(20*time.Second, 0.4) >= 0.99)
		f.assertWithinContract()
	})
	withRateFleet("restarts of holders create no tokens", t, func(f *rateFleet) {
		for range 4 {
			holders := contract.Holders(knapweedpulley.Contract{Customer: testCustomer, Burst: smallRate}, f.members)
			f.dead.Add(holders[0].Entry)
			f.play(listDelay, 6)
			f.publish()
			f.play(5*time.Second, 6)
			f.start(holders[0])
			// It learns of the others at once, they learn of it later.
			f.peers[holders[0].Entry].SetMembers(f.members)
			f.allowances[holders[0].Entry].Assign(f.members)
			f.play(listDelay, 6)
			f.publish()
			f.play(5*time.Second, 6)
		}
		f.assertWithinContract()
	})
}
