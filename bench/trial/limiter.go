package trial

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// tokenBucket is the token bucket of a customer. Its rate is in tokens per second.
type tokenBucket struct {
	rate    float64
	burst   float64
	level   float64
	updated time.Time
}

// globalLimiter implements knapweedpulley.RateLimiter with one bucket per customer:
// the contract as if there were a single entry process.
type globalLimiter struct {
	mu      sync.Mutex
	buckets map[knapweedpulley.CustomerID]*tokenBucket
}

// newGlobalLimiter returns a limiter with full buckets for a fraction of each contract.
func newGlobalLimiter(list []knapweedpulley.Contract, fraction float64) *globalLimiter {
	l := &globalLimiter{buckets: make(map[knapweedpulley.CustomerID]*tokenBucket)}
	for _, c := range list {
		burst := fraction * float64(c.Burst)
		l.buckets[c.Customer] = &tokenBucket{
			rate: fraction * float64(c.Rate), burst: burst, level: burst, updated: time.Now(),
		}
	}
	return l
}

// Charge implements knapweedpulley.RateLimiter.
func (l *globalLimiter) Charge(
	customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Receipt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	b.level = min(b.level+b.rate*time.Since(b.updated).Seconds(), b.burst)
	b.updated = time.Now()
	if b.level < float64(n) {
		return knapweedpulley.Receipt{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun, "rate of customer %s exceeded", customer)
	}
	b.level -= float64(n)
	return knapweedpulley.Receipt{Customer: customer, Charged: n}, nil
}

// Settle implements knapweedpulley.RateLimiter.
func (l *globalLimiter) Settle(receipt knapweedpulley.Receipt, used knapweedpulley.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[receipt.Customer]
	b.level = min(b.level+float64(receipt.Charged-used), b.burst)
}
