package trial

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// bucket is a token bucket.
type bucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Time
}

// wholeLimiter implements knapweedpulley.RateLimiter with one bucket per customer:
// the contract as if there were a single entry process.
type wholeLimiter struct {
	mu      sync.Mutex
	buckets map[knapweedpulley.CustomerID]*bucket
}

// newWholeLimiter returns full buckets for a part of each contract.
func newWholeLimiter(list []knapweedpulley.Contract, part float64) *wholeLimiter {
	l := &wholeLimiter{buckets: make(map[knapweedpulley.CustomerID]*bucket)}
	for _, c := range list {
		burst := part * float64(c.Burst)
		l.buckets[c.Customer] = &bucket{rate: part * float64(c.Rate), burst: burst, level: burst, at: time.Now()}
	}
	return l
}

// Charge implements knapweedpulley.RateLimiter.
func (l *wholeLimiter) Charge(
	customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Receipt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[customer]
	b.level = min(b.level+b.rate*time.Since(b.at).Seconds(), b.burst)
	b.at = time.Now()
	if b.level < float64(n) {
		return knapweedpulley.Receipt{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun, "rate of %s", customer)
	}
	b.level -= float64(n)
	return knapweedpulley.Receipt{Customer: customer, Charged: n}, nil
}

// Settle implements knapweedpulley.RateLimiter.
func (l *wholeLimiter) Settle(receipt knapweedpulley.Receipt, used knapweedpulley.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[receipt.Customer]
	b.level = min(b.level+float64(receipt.Charged-used), b.burst)
}
