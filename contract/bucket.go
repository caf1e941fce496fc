package contract

import (
	"math"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// bucket is a token bucket. Its level is between zero and its burst. Usage beyond what was
// charged takes the level below zero.
type bucket struct {
	rate            float64
	burst           float64
	level           float64
	updated         knapweedpulley.Instant
	headroomHistory headroomHistory
}

// advance adds the tokens that have accrued since the last call.
func (b *bucket) advance(now knapweedpulley.Instant) {
	if !now.After(b.updated) {
		return
	}
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
}

// take removes n tokens and returns true, or removes nothing if the bucket holds fewer.
func (b *bucket) take(now knapweedpulley.Instant, n float64) bool {
	b.advance(now)
	if b.level < n {
		return false
	}
	b.headroomHistory.record(b.updated, b.burst-b.level)
	b.level -= n
	return true
}

// refund puts back up to n of the tokens that were taken at the given instant. Afterwards the
// bucket holds no more than it would hold if they had never been taken: the tokens that have
// accrued only because of the headroom that they left are subtracted.
func (b *bucket) refund(now, taken knapweedpulley.Instant, n float64) {
	b.advance(now)
	n = min(n, b.burst-b.level)
	n = b.headroomHistory.refund(taken, n)
	b.level += max(0, n)
}

// deduct removes n tokens even if the bucket holds fewer.
func (b *bucket) deduct(now knapweedpulley.Instant, n float64) {
	b.advance(now)
	b.headroomHistory.record(b.updated, b.burst-b.level)
	b.level -= n
}

// resize sets the rate and burst, and changes the level by the given number of tokens.
func (b *bucket) resize(now knapweedpulley.Instant, rate, burst, change float64) {
	b.advance(now)
	b.headroomHistory.record(b.updated, b.burst-b.level)
	b.rate = rate
	b.burst = burst
	b.level = min(burst, b.level+change)
	b.headroomHistory.record(b.updated, b.burst-b.level)
}

// waitTime returns the time until the bucket holds n tokens, and false if it never will.
func (b *bucket) waitTime(n float64) (time.Duration, bool) {
	if n > b.burst || b.rate <= 0 {
		return 0, false
	}
	seconds := max(0, n-b.level) / b.rate
	if seconds > math.MaxInt64/float64(time.Second) {
		return 0, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
