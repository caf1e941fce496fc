package contract

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// lendFraction is the fraction of its tokens that a holder lends at most at once.
	lendFraction = 0.6
	// startFraction is the fraction of its burst that a holder starts with. The tokens may have
	// been spent before a restart, but a restart takes about as long as these tokens take to
	// accrue, a second or more.
	startFraction = 0.5
	// acquireDelay is the time from which on a gateway that becomes a holder while others remain
	// lets its part accrue: until then the gateway that held the part before may not know. A gateway
	// that has just started waits for firstAcquireDelay, because the others learn of it while it
	// starts.
	acquireDelay      = 2500 * time.Millisecond
	firstAcquireDelay = time.Second
	// creditTime is how long a gateway that is no holder may use tokens that it has borrowed or
	// that were returned to it.
	creditTime = time.Second
	// reserveFraction is the fraction of its part that a gateway may use whose permission has ended,
	// while others may have taken the part over. Operators allow so much beyond a contract. Half of it
	// accrues over time. The other half is the burst, that of reserveTime, so that it admits requests
	// of a common size.
	reserveFraction = 0.1
	reserveTime     = 4 * time.Second
)

// Allowances are a gateway's parts of the customers' contracts. Each contract is divided equally
// among its holders, see [Holders]. A part is a token bucket. It starts empty. If all gateways hold
// parts, it is raised to startFraction of its burst once their number is known.
// When the gateway's permission has ended, its parts lapse to a small reserve, and it borrows what that
// lacks.
// Allowances implements [knapweedpulley.AllowanceLender] and is safe for concurrent use.
type Allowances struct {
	clock knapweedpulley.Clock
	self  knapweedpulley.EntryID
	mu    sync.Mutex
	// members lists the gateways. It is nil before the first call of Assign; until then the
	// contracts are divided among assumed gateways.
	members []knapweedpulley.Member
	assumed int
	// permission is nil if parts never lapse. lapsed is set once that was found to have ended.
	permission knapweedpulley.Permission
	lapsed     bool
	parts      map[knapweedpulley.CustomerID]*allowance
	// queues is set if calls queue for the tokens of a contract.
	queues bool
}

// allowance is a gateway's part of one contract.
type allowance struct {
	contract knapweedpulley.Contract
	bucket   bucket
	// holders lists the gateways that hold a part. It is nil if all do.
	holders []knapweedpulley.Member
	// holderCount is the number of gateways among which the contract is divided.
	holderCount int
	// holding is set if this gateway holds a part. accruesFrom is when that begins to accrue.
	holding     bool
	accruesFrom knapweedpulley.Instant
	// creditUntil is when the tokens of a gateway without a part expire.
	creditUntil knapweedpulley.Instant
	// lapsed is set while the gateway uses only reserve instead of its part.
	lapsed  bool
	reserve bucket
	// line is where calls wait for the part's tokens. It is nil until the first of them.
	line *line
}

// NewAllowances returns the allowances of a gateway, without contracts. Until Assign is called,
// the contracts are divided among the given number of gateways.
func NewAllowances(clock knapweedpulley.Clock, self knapweedpulley.EntryID, gateways int) *Allowances {
	return &Allowances{
		clock:   clock,
		self:    self,
		assumed: gateways,
		parts:   make(map[knapweedpulley.CustomerID]*allowance),
	}
}

// Bind makes the parts depend on a permission. It must be called before the allowances are used.
func (a *Allowances) Bind(permission knapweedpulley.Permission) {
	a.permission = permission
}

// Configure replaces the contracts in force.
func (a *Allowances) Configure(contracts []knapweedpulley.Contract) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkPermission()
	kept := make(knapweedpulley.Set[knapweedpulley.CustomerID], len(contracts))
	for _, c := range contracts {
		kept.Add(c.Customer)
		part, known := a.parts[c.Customer]
		if !known {
			part = &allowance{bucket: bucket{updated: a.clock.Now()}, reserve: bucket{updated: a.clock.Now()}}
			a.parts[c.Customer] = part
		}
		part.contract = c
		a.resize(part)
	}
	for id, part := range a.parts {
		if !kept.Has(id) {
			part.clearLine()
			delete(a.parts, id)
		}
	}
}

// Assign sets the gateways among which the contracts are divided. It ignores an empty list. The
// slice must not be changed afterwards. The first call raises each part to at least startFraction
// of its burst if all gateways hold parts.
func (a *Allowances) Assign(members []knapweedpulley.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkPermission()
	if len(members) == 0 || slices.EqualFunc(members, a.members, func(m, n knapweedpulley.Member) bool { return m.Entry == n.Entry }) {
		return
	}
	first := a.members == nil
	a.members = members
	for _, part := range a.parts {
		a.resize(part)
		if first && part.holders == nil {
			part.bucket.level = max(part.bucket.level, startFraction*part.bucket.burst)
		}
		if first && part.holders != nil && part.holding {
			part.accruesFrom = a.clock.Now().Add(firstAcquireDelay)
		}
	}
}

// Assume sets the number of gateways among which the contracts are divided until Assign is called.
func (a *Allowances) Assume(gateways int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.assumed == gateways || a.members != nil {
		return
	}
	a.assumed = gateways
	for _, part := range a.parts {
		a.resize(part)
	}
}

// Lenders returns the other gateways that hold parts of a customer's contract, and false if all
// gateways hold parts.
func (a *Allowances) Lenders(customer knapweedpulley.CustomerID) ([]knapweedpulley.Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkPermission()
	part, known := a.parts[customer]
	if !known || part.holders == nil {
		return nil, false
	}
	return slices.DeleteFunc(slices.Clone(part.holders), func(m knapweedpulley.Member) bool { return m.Entry == a.self }), true
}

// checkPermission lets the parts lapse if the gateway's permission has ended, and restores them if the
// gateway has it again.
func (a *Allowances) checkPermission() {
	lapsed := a.permission != nil && !a.permission.Held()
	if lapsed == a.lapsed {
		return
	}
	a.lapsed = lapsed
	for _, part := range a.parts {
		a.resize(part)
	}
}

// resize sets the rate and burst of a part by its contract and the gateways.
func (a *Allowances) resize(part *allowance) {
	now := a.clock.Now()
	defer func() {
		if !a.serves(part) {
			part.clearLine()
		}
	}()
	a.advance(part, now)
	if part.lapsed && !a.lapsed {
		part.reserve.advance(now)
		part.lapsed = false
		part.bucket.level = part.reserve.level
	}
	a.resizePart(part, now)
	if !a.lapsed {
		return
	}
	if !part.lapsed {
		part.lapsed = true
		part.reserve = bucket{updated: now, level: part.bucket.level}
		part.bucket.level, part.creditUntil = 0, now
	}
	part.bucket.rate = 0
	part.resizeReserve(now)
}

// resizePart sets the rate and burst of a part that has not lapsed.
func (a *Allowances) resizePart(part *allowance, now knapweedpulley.Instant) {
	if a.members == nil {
		part.divide(now, a.assumed)
		return
	}
	holders := a.holdersOf(part.contract)
	if len(holders) == len(a.members) && !a.queues {
		part.holders, part.holding, part.accruesFrom = nil, true, 0
		part.divide(now, len(holders))
		return
	}
	held := part.holding
	part.holders = holders
	part.holding = slices.ContainsFunc(holders, func(m knapweedpulley.Member) bool { return m.Entry == a.self })
	if part.holding && !held {
		part.accruesFrom = now.Add(acquireDelay)
	}
	if !part.holding {
		part.creditUntil = now.Add(creditTime)
	}
	part.divide(now, len(holders))
	if !part.holding || part.accruesFrom.After(now) {
		part.bucket.rate = 0
	}
}

// resizeReserve sets the rate and burst of the reserve of a part that has lapsed.
func (p *allowance) resizeReserve(now knapweedpulley.Instant) {
	if p.holders != nil && !p.holding {
		p.reserve.resize(now, 0, 0, 0)
		return
	}
	n := float64(p.holderCount)
	rate := reserveFraction * float64(p.contract.Rate) / n / 2
	p.reserve.resize(now, rate, reserveFraction*float64(p.contract.Burst)/n+rate*reserveTime.Seconds(), 0)
}

// borrowsAll reports whether the gateway holds no part, or none any more, and borrows all that its
// requests need.
func (p *allowance) borrowsAll() bool {
	return p.lapsed || p.holders != nil && !p.holding
}

// divide gives the part its share of the contract.
func (p *allowance) divide(now knapweedpulley.Instant, holders int) {
	p.holderCount = holders
	n := float64(holders)
	p.bucket.resize(now, float64(p.contract.Rate)/n, float64(p.contract.Burst+p.contract.Slack)/n, 0)
}

// advance brings a part up to date: it lets it accrue once that may begin, and drops expired
// tokens.
func (a *Allowances) advance(part *allowance, now knapweedpulley.Instant) {
	if !part.lapsed && part.holders != nil && part.holding && part.accruesFrom != 0 && !part.accruesFrom.After(now) {
		part.bucket.advance(part.accruesFrom)
		part.accruesFrom = 0
		part.bucket.rate = float64(part.contract.Rate) / float64(len(part.holders))
	}
	part.bucket.advance(now)
	if part.borrowsAll() && now.After(part.creditUntil) {
		part.bucket.level = 0
	}
}

// TakeResult is the outcome of taking tokens from a part.
type TakeResult struct {
	// Taken is set if the tokens were taken.
	Taken bool
	// Wait is the time after which the tokens may be used, or, if they were not taken, after
	// which taking them may succeed.
	Wait time.Duration
	// Borrowing is set if this gateway holds no part, so that the tokens must be borrowed.
	Borrowing bool
	// Lacking is the number of tokens that the part lacks to take them without waiting.
	Lacking knapweedpulley.Tokens
}

// Take takes n tokens from a customer's part if they are there or accrue within maxWait. A
// charge beyond the burst of the part succeeds when the part is full, and takes its level below
// zero, so that the next charge has to wait until the debt is repaid. Customers without a
// contract or rate are not limited.
func (a *Allowances) Take(
	customer knapweedpulley.CustomerID, n knapweedpulley.Tokens, maxWait time.Duration,
) TakeResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	part, known := a.parts[customer]
	if !known || part.contract.Rate <= 0 {
		return TakeResult{Taken: true}
	}
	a.checkPermission()
	now := a.clock.Now()
	a.advance(part, now)
	if part.lapsed && part.reserve.take(now, float64(n)) {
		return TakeResult{Taken: true}
	}
	need := min(float64(n), part.bucket.burst)
	if part.borrowsAll() {
		need = float64(n)
	}
	if part.bucket.level >= need && !part.busy() {
		part.bucket.deduct(now, float64(n))
		return TakeResult{Taken: true}
	}
	result := TakeResult{Borrowing: part.borrowsAll(), Lacking: knapweedpulley.Tokens(math.Ceil(need - part.bucket.level))}
	waitTime, possible := part.bucket.waitTime(need)
	result.Wait = waitTime
	if !possible && (part.holders != nil || part.lapsed) {
		// The time in which a holder accrues the tokens.
		result.Wait = time.Duration(need * float64(part.holderCount) / float64(part.contract.Rate) * float64(time.Second))
	}
	if possible && waitTime <= maxWait && !part.busy() {
		part.bucket.deduct(now, float64(n))
		result.Taken = true
	}
	return result
}

// Return puts back the tokens of a request that did not run.
func (a *Allowances) Return(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) {
	a.add(customer, n)
}

// Receive adds tokens that another holder has lent.
func (a *Allowances) Receive(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) {
	a.add(customer, n)
}

// add adds n tokens to a customer's part, up to its burst. Borrowed tokens of a gateway without a
// part expire soon, and are not limited.
func (a *Allowances) add(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	part, known := a.parts[customer]
	if !known {
		return
	}
	a.checkPermission()
	now := a.clock.Now()
	a.advance(part, now)
	part.bucket.level += float64(n)
	if !part.borrowsAll() {
		part.bucket.level = min(part.bucket.burst, part.bucket.level)
	}
	part.creditUntil = now.Add(creditTime)
	a.serveLine(part, now)
}

// Lend implements knapweedpulley.AllowanceLender. If all gateways hold parts, it keeps some tokens
// for the holder's own requests. Otherwise it lends all that a request needs or nothing.
func (a *Allowances) Lend(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) knapweedpulley.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	part, known := a.parts[customer]
	if !known || part.contract.Rate <= 0 {
		return 0
	}
	a.checkPermission()
	if part.lapsed {
		return 0
	}
	now := a.clock.Now()
	a.advance(part, now)
	if part.holders != nil {
		if !part.holding || part.busy() || part.bucket.level < min(float64(n), part.bucket.burst) {
			return 0
		}
		part.bucket.deduct(now, float64(n))
		return n
	}
	given := math.Floor(min(float64(n), part.bucket.level*lendFraction))
	if given <= 0 {
		return 0
	}
	part.bucket.deduct(now, given)
	return knapweedpulley.Tokens(given)
}
