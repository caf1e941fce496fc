package contract

import (
	"math"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// demandSmoothing is the weight of the latest tick in the moving average of the demand.
	demandSmoothing = 0.3
	// minReportedChange is the change of the level, as a fraction of the burst, that a share
	// may accumulate before it is reported to the other members again.
	minReportedChange = 0.125
)

// share is what this member holds of one customer's contract: a portion, and a token bucket
// that enforces the portion's rate and burst.
type share struct {
	customer knapweedpulley.CustomerID

	mu       sync.Mutex
	contract knapweedpulley.Contract
	portion  knapweedpulley.Portion
	bucket   bucket
	// reported is the demand that was last reported to the other members.
	reported knapweedpulley.ShareDemand
	// requestedTokens is the sum of the tokens requested since the last tick.
	requestedTokens float64
	averageDemand   float64
	// pulling is closed when the pull in flight ends. It is nil while there is none.
	pulling chan struct{}
	// pausedUntil is the time until which charges start no further pull, because the last one
	// yielded too few tokens.
	pausedUntil knapweedpulley.Instant
}

func newShare(c knapweedpulley.Contract, now knapweedpulley.Instant) *share {
	return &share{customer: c.Customer, contract: c, bucket: bucket{updated: now}}
}

// charge takes n tokens, or none if the bucket holds fewer. Only the first attempt at a
// charge counts as demand.
func (s *share) charge(now knapweedpulley.Instant, n float64, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.requestedTokens += n
	}
	return s.bucket.take(now, n)
}

// settle refunds the tokens that were charged but not used, or deducts those that were used
// beyond the charge.
func (s *share) settle(now knapweedpulley.Instant, r knapweedpulley.Receipt, used float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unused := float64(r.Charged) - used
	if unused < 0 {
		s.bucket.deduct(now, -unused)
		return
	}
	s.bucket.refund(now, r.At, unused)
	s.requestedTokens = max(0, s.requestedTokens-unused)
}

// setContract replaces the contract. Tokens above the new burst are lost.
func (s *share) setContract(now knapweedpulley.Instant, c knapweedpulley.Contract) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contract == c {
		return
	}
	s.contract = c
	s.resize(now, s.portion, 0)
}

// addPortion adds a portion to the share, with the given number of tokens.
func (s *share) addPortion(now knapweedpulley.Instant, p knapweedpulley.Portion, level float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resize(now, s.portion+p, level)
}

// cutPortion removes a portion and up to level tokens from the share, and returns what was
// removed: at most the portion held, and at most the burst of the removed portion.
func (s *share) cutPortion(
	now knapweedpulley.Instant, p knapweedpulley.Portion, level float64,
) (knapweedpulley.Portion, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket.advance(now)
	p = min(p, s.portion)
	level = max(0, min(level, s.bucket.level, p.Of(float64(s.contract.Burst))))
	s.resize(now, s.portion-p, -level)
	return p, level
}

// resize sets the portion and changes the level by the given number of tokens.
func (s *share) resize(now knapweedpulley.Instant, p knapweedpulley.Portion, change float64) {
	s.portion = p
	s.bucket.resize(now, p.Of(float64(s.contract.Rate)), p.Of(float64(s.contract.Burst)), change)
}

// burstOf returns the burst of a portion in tokens.
func (s *share) burstOf(p knapweedpulley.Portion) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.Of(float64(s.contract.Burst))
}

// updateDemand adds the tokens requested since the last tick to the moving average.
func (s *share) updateDemand(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if elapsed <= 0 {
		return
	}
	rate := s.requestedTokens / elapsed.Seconds()
	s.averageDemand += demandSmoothing * (rate - s.averageDemand)
	s.requestedTokens = 0
}

// shareDemand returns the state of the share as it is reported to the other members.
func (s *share) shareDemand(now knapweedpulley.Instant) knapweedpulley.ShareDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket.advance(now)
	return knapweedpulley.ShareDemand{
		Customer: s.customer,
		Held:     s.portion,
		Level:    s.bucket.level,
		Rate:     knapweedpulley.TokensPerSecond(s.averageDemand),
	}
}

// changed returns the state of the share, and true if it has changed enough since the
// last report to be reported again. It then records the state as reported.
func (s *share) changed(now knapweedpulley.Instant) (knapweedpulley.ShareDemand, bool) {
	demand := s.shareDemand(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if demand.Held == s.reported.Held &&
		math.Abs(demand.Level-s.reported.Level) <= minReportedChange*s.bucket.burst {
		return demand, false
	}
	s.reported = demand
	return demand, true
}

// refusal returns the reason why n tokens can't be charged, with the time after which the
// charge may succeed.
func (s *share) refusal(n float64) *knapweedpulley.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > float64(s.contract.Burst) {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun,
			"request of %.0f tokens exceeds the contract's burst of %d tokens", n, s.contract.Burst)
	}
	refusal := knapweedpulley.NewRefusal(knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun,
		"contract's rate of %.0f tokens per second is exhausted", float64(s.contract.Rate))
	return refusal.WithRetryAfter(s.waitTime(n))
}

// pausePulls pauses pulls until the rate of the whole contract can have yielded the tokens
// that the share now lacks of n.
func (s *share) pausePulls(now knapweedpulley.Instant, n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket.advance(now)
	whole := bucket{rate: float64(s.contract.Rate), burst: n, level: s.bucket.level}
	waitTime, ok := whole.waitTime(n)
	if !ok {
		waitTime = maxPullPause
	}
	s.pausedUntil = now.Add(min(maxPullPause, max(minPullPause, waitTime)))
}

// waitTime returns the time until the share holds n tokens. For a share whose burst is below
// n, it uses the rate and burst of the whole contract, because such a share grows at the next
// tick. The caller holds the mutex.
func (s *share) waitTime(n float64) time.Duration {
	if d, ok := s.bucket.waitTime(n); ok {
		return d
	}
	whole := s.bucket
	whole.rate = float64(s.contract.Rate)
	whole.burst = float64(s.contract.Burst)
	d, _ := whole.waitTime(n)
	return d
}
