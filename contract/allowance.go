package contract

import (
	"math"
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
)

// Allowances are a gateway's parts of the customers' contracts. Each contract is divided equally
// among the gateways, which are the holders of its parts. A part is a token bucket. It starts
// empty, and is raised to startFraction of its burst once the number of holders is known.
// Allowances implements [knapweedpulley.AllowanceLender] and is safe for concurrent use.
type Allowances struct {
	clock knapweedpulley.Clock
	mu    sync.Mutex
	// holdersKnown is set by the first call of Divide.
	holdersKnown bool
	holders      int
	parts        map[knapweedpulley.CustomerID]*allowance
}

// allowance is a gateway's part of one contract.
type allowance struct {
	contract knapweedpulley.Contract
	bucket   bucket
}

// NewAllowances returns the allowances of a gateway, without contracts. Until Divide is called,
// the contracts are divided among the given number of holders.
func NewAllowances(clock knapweedpulley.Clock, holders int) *Allowances {
	return &Allowances{
		clock:   clock,
		holders: holders,
		parts:   make(map[knapweedpulley.CustomerID]*allowance),
	}
}

// Configure replaces the contracts in force.
func (a *Allowances) Configure(contracts []knapweedpulley.Contract) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := make(knapweedpulley.Set[knapweedpulley.CustomerID], len(contracts))
	for _, c := range contracts {
		kept.Add(c.Customer)
		part, known := a.parts[c.Customer]
		if !known {
			part = &allowance{bucket: bucket{updated: a.clock.Now()}}
			a.parts[c.Customer] = part
		}
		part.contract = c
		a.resize(part)
	}
	for id := range a.parts {
		if !kept.Has(id) {
			delete(a.parts, id)
		}
	}
}

// Divide sets the number of holders among which the contracts are divided. It ignores numbers
// below one. The first call raises each part to at least startFraction of its burst.
func (a *Allowances) Divide(holders int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if holders < 1 || (holders == a.holders && a.holdersKnown) {
		return
	}
	a.holders = holders
	for _, part := range a.parts {
		a.resize(part)
		if !a.holdersKnown {
			part.bucket.level = max(part.bucket.level, startFraction*part.bucket.burst)
		}
	}
	a.holdersKnown = true
}

// resize sets the rate and burst of a part by its contract and the number of holders.
func (a *Allowances) resize(part *allowance) {
	n := float64(a.holders)
	part.bucket.resize(a.clock.Now(), float64(part.contract.Rate)/n, float64(part.contract.Burst)/n, 0)
}

// TakeResult is the outcome of taking tokens from a part.
type TakeResult struct {
	// Taken is set if the tokens were taken.
	Taken bool
	// Wait is the time after which the tokens may be used, or, if they were not taken, after
	// which taking them may succeed.
	Wait time.Duration
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
	now := a.clock.Now()
	part.bucket.advance(now)
	need := min(float64(n), part.bucket.burst)
	if part.bucket.level >= need {
		part.bucket.deduct(now, float64(n))
		return TakeResult{Taken: true}
	}
	result := TakeResult{Lacking: knapweedpulley.Tokens(math.Ceil(need - part.bucket.level))}
	waitTime, possible := part.bucket.waitTime(need)
	result.Wait = waitTime
	if possible && waitTime <= maxWait {
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

// add adds n tokens to a customer's part, up to its burst.
func (a *Allowances) add(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	part, known := a.parts[customer]
	if !known {
		return
	}
	part.bucket.advance(a.clock.Now())
	part.bucket.level = min(part.bucket.burst, part.bucket.level+float64(n))
}

// Lend implements knapweedpulley.AllowanceLender. It keeps some tokens for the holder's own
// requests.
func (a *Allowances) Lend(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) knapweedpulley.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	part, known := a.parts[customer]
	if !known || part.contract.Rate <= 0 {
		return 0
	}
	now := a.clock.Now()
	part.bucket.advance(now)
	given := math.Floor(min(float64(n), part.bucket.level*lendFraction))
	if given <= 0 {
		return 0
	}
	part.bucket.deduct(now, given)
	return knapweedpulley.Tokens(given)
}
