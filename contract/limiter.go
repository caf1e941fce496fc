package contract

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// tickPeriod is the time between two rounds of messages to all other members.
	tickPeriod = 500 * time.Millisecond
	// exchangeTimeout bounds the wait for the answer of one member in a round.
	exchangeTimeout = 400 * time.Millisecond
	// maxChargeAttempts bounds the attempts at one charge. More than one is needed because a
	// concurrent charge may take the tokens that were pulled for this one.
	maxChargeAttempts = 4
)

// shares is a snapshot of the member's shares. It is replaced as a whole when customers are
// added or removed.
type shares map[knapweedpulley.CustomerID]*share

// Limiter limits the rate of all customers at one member, by the member's shares of their
// contracts. It exchanges portions and tokens with the other members. It implements
// [knapweedpulley.RateLimiter] and [knapweedpulley.ShareService].
type Limiter struct {
	clock    knapweedpulley.Clock
	registry knapweedpulley.Registry
	link     knapweedpulley.ShareLink
	shares   atomic.Pointer[shares]

	// mu serializes all changes of portions. A charge doesn't lock it unless it pulls tokens.
	mu          sync.Mutex
	protocol    *Protocol
	peers       map[knapweedpulley.MemberID]*peer
	lastRecount recountScope
	lastTick    knapweedpulley.Instant
	departing   bool
	// round counts the ticks.
	round int
	// changed holds the shares whose changes are reported in this round.
	changed []knapweedpulley.ShareDemand
}

// NewLimiter returns the limiter of the registry's own member, which holds no shares yet. Pass a
// nil link for an entry process without other members. The clean-up stops the exchange with the
// other members.
func NewLimiter(
	clock knapweedpulley.Clock, registry knapweedpulley.Registry, link knapweedpulley.ShareLink,
) (*Limiter, knapweedpulley.Cleanup) {
	l := &Limiter{
		clock:    clock,
		registry: registry,
		link:     link,
		protocol: NewProtocol(registry.Self().ID()),
		peers:    make(map[knapweedpulley.MemberID]*peer),
		lastTick: clock.Now(),
	}
	l.shares.Store(&shares{})
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { l.run(stop) })
	return l, func() {
		close(stop)
		done.Wait()
	}
}

// SetCustomers replaces the contracts in force. The member's share of a changed contract keeps
// its portion, so that its rate and burst change in proportion. Tokens above a lowered burst
// are lost at once.
func (l *Limiter) SetCustomers(contracts []knapweedpulley.Contract) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	old := *l.shares.Load()
	next := make(shares, len(contracts))
	for _, c := range contracts {
		s, ok := old[c.Customer]
		if !ok {
			s = newShare(c, now)
			s.addPortion(now, l.protocol.Held(c.Customer), 0)
		}
		s.setContract(now, c)
		next[c.Customer] = s
	}
	for id, s := range old {
		if _, ok := next[id]; !ok {
			s.setContract(now, knapweedpulley.Contract{Customer: id})
		}
	}
	l.shares.Store(&next)
	l.refreshView()
	l.recountAlone(now)
}

// Charge implements knapweedpulley.RateLimiter. If the own share has too few tokens, it pulls
// tokens from other members, and waits for them for up to pullTimeout at each attempt.
func (l *Limiter) Charge(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) (knapweedpulley.Receipt, error) {
	s, ok := (*l.shares.Load())[customer]
	if !ok {
		return knapweedpulley.Receipt{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeForbidden, knapweedpulley.NotRun, "customer %q has no contract", customer)
	}
	for attempt := range maxChargeAttempts {
		// The lease may have lapsed during the wait for other members.
		now := l.clock.Now()
		if !l.registry.Valid() {
			return knapweedpulley.Receipt{}, leaseLapsed()
		}
		if s.charge(now, float64(n), attempt == 0) {
			return knapweedpulley.Receipt{Customer: customer, Charged: n, At: now}, nil
		}
		if !l.pull(s, float64(n)) {
			break
		}
	}
	return knapweedpulley.Receipt{}, s.refusal(float64(n))
}

// leaseLapsed returns the refusal of a charge while the member has no valid lease.
func leaseLapsed() *knapweedpulley.Refusal {
	return knapweedpulley.NewRefusal(
		knapweedpulley.CodeNotReady, knapweedpulley.NotRun, "the lease of the entry process has lapsed",
	).WithRetryAfter(time.Second)
}

// Settle implements knapweedpulley.RateLimiter.
func (l *Limiter) Settle(receipt knapweedpulley.Receipt, used knapweedpulley.Tokens) {
	if s, ok := (*l.shares.Load())[receipt.Customer]; ok {
		s.settle(l.clock.Now(), receipt, float64(used))
	}
}

// Share returns the member's current share of a customer's contract.
func (l *Limiter) Share(customer knapweedpulley.CustomerID) knapweedpulley.ShareDemand {
	s, ok := (*l.shares.Load())[customer]
	if !ok {
		return knapweedpulley.ShareDemand{Customer: customer}
	}
	return s.shareDemand(l.clock.Now())
}

// addGrants adds the portions and tokens of grants that the protocol has applied to the shares.
func (l *Limiter) addGrants(now knapweedpulley.Instant, grants []knapweedpulley.Grant) {
	all := *l.shares.Load()
	for _, g := range grants {
		if s, ok := all[g.Customer]; ok {
			s.addPortion(now, g.Portion, g.Level)
		}
	}
}

// grant moves a portion and up to level tokens from a share to another member. It changes
// nothing if that member is not active.
func (l *Limiter) grant(
	now knapweedpulley.Instant, to knapweedpulley.MemberID, s *share, p knapweedpulley.Portion, level float64,
) {
	if p == 0 || !l.protocol.active(to) {
		return
	}
	p, level = s.cutPortion(now, p, level)
	g := knapweedpulley.Grant{Customer: s.customer, Portion: p, Level: level}
	if p > 0 && !l.protocol.Grant(to, g) {
		s.addPortion(now, p, level)
	}
}
