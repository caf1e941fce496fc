package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
)

const (
	// borrowTimeout bounds the wait for the answer of one gateway. It allows for several round
	// trips within a region to a slow machine.
	borrowTimeout = 60 * time.Millisecond
	// borrowBackoff is the time for which no tokens of a customer are requested after the other
	// gateways could not lend enough.
	borrowBackoff = 100 * time.Millisecond
	// maxLenders bounds the number of gateways from which tokens are requested for one call.
	maxLenders = 3
	// rateWaitDivisor divides a route's latency objective to give the time for which a request
	// may wait for its customer's rate. After a short wait it is answered sooner than after a
	// refusal and a retry by the caller.
	rateWaitDivisor = 3
)

// RateLimiter enforces the rates of the customers' contracts over all gateways. Each gateway that
// holds a part of a contract borrows tokens from the other holders when its part runs out. The
// gateways without a part borrow what each request needs.
type RateLimiter struct {
	allowances *contract.Allowances
	link       knapweedpulley.AllowanceLink
	group      knapweedpulley.Group
	clock      knapweedpulley.Clock
	log        log.Interface

	mu           sync.Mutex
	backoffUntil map[knapweedpulley.CustomerID]knapweedpulley.Instant
	// silentUntil is when a holder of a queue that didn't answer is asked again.
	silentUntil map[knapweedpulley.EntryID]knapweedpulley.Instant
}

// NewRateLimiter returns the rate limiter of one gateway of a group.
func NewRateLimiter(
	allowances *contract.Allowances, link knapweedpulley.AllowanceLink, group knapweedpulley.Group,
	clock knapweedpulley.Clock, log log.Interface,
) *RateLimiter {
	return &RateLimiter{
		allowances: allowances, link: link, group: group, clock: clock, log: log,
		backoffUntil: make(map[knapweedpulley.CustomerID]knapweedpulley.Instant),
		silentUntil:  make(map[knapweedpulley.EntryID]knapweedpulley.Instant),
	}
}

// Charge takes n tokens from a customer's contract, and waits up to maxWait until they are
// available. The error is a *knapweedpulley.Refusal if they are not available by then or ctx ends.
func (r *RateLimiter) Charge(
	ctx context.Context, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens, maxWait time.Duration,
) error {
	return r.chargeFor(ctx, &TokenRequest{
		Reservation: knapweedpulley.Reservation{Customer: customer, Tokens: n}, ChargeWait: maxWait,
	})
}

// chargeFor takes the tokens of a request, and waits up to its ChargeWait until they are available.
func (r *RateLimiter) chargeFor(ctx context.Context, t *TokenRequest) error {
	customer, n, maxWait := t.Customer, t.Tokens, t.ChargeWait
	c := r.allowances.Take(customer, n, 0)
	if !c.Taken {
		r.borrow(ctx, customer, c.Lacking)
		c = r.allowances.Take(customer, n, maxWait)
	}
	if !c.Taken && c.Borrowing && c.Wait <= 2*maxWait {
		// The holders may have the tokens soon. Each of them has only a part of what accrues.
		if err := t.pause(ctx, min(maxWait, c.Wait)); err != nil {
			return err
		}
		r.borrow(ctx, customer, c.Lacking)
		c = r.allowances.Take(customer, n, 0)
	}
	if !c.Taken {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun,
			"customer %s is over its rate", customer).WithRetryAfter(c.Wait)
	}
	err := t.pause(ctx, c.Wait)
	if err != nil {
		// The tokens were taken in advance.
		r.allowances.Return(customer, n)
	}
	return err
}

// Return returns the tokens of a request that has not run.
func (r *RateLimiter) Return(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) {
	r.allowances.Return(customer, n)
}

// borrow requests the missing tokens from other holders, starting with a random one.
func (r *RateLimiter) borrow(ctx context.Context, customer knapweedpulley.CustomerID, lacking knapweedpulley.Tokens) {
	if r.inBackoff(customer) {
		return
	}
	members, some := r.allowances.Lenders(customer)
	if !some {
		members = r.group.Members()
	}
	first := rand.IntN(max(1, len(members))) //nolint:gosec // The order is not security-relevant.
	requests := 0
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.Entry == r.group.Self().Entry {
			continue
		}
		if requests++; requests > maxLenders {
			break
		}
		lent := r.borrowFrom(ctx, m, customer, lacking)
		r.allowances.Receive(customer, lent)
		if lacking -= lent; lacking <= 0 {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[customer] = r.clock.Now().Add(borrowBackoff)
}

func (r *RateLimiter) borrowFrom(
	ctx context.Context, m knapweedpulley.Member, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) knapweedpulley.Tokens {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	lent, err := r.link.Borrow(ctx, m, customer, n)
	if err != nil {
		r.log.WithField("gateway", m.Entry).WithField("customer", customer).WithError(err).
			Warn("borrowing tokens from a gateway failed; continuing without them")
		return 0
	}
	return lent
}

func (r *RateLimiter) inBackoff(customer knapweedpulley.CustomerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backoffUntil[customer].After(r.clock.Now())
}
