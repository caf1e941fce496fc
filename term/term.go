// Package term bounds how long a process uses what others have allowed it.
//
// A term ends on the clock of the holder, with nothing to be received: a holder that was cut off or
// suspended finds that it has ended. It is renewed by the echo of a message that the holder sent at a
// known instant, and counts from that instant, so that the delay of the echo doesn't lengthen it.
// Whoever promised the echo keeps the promise for longer than the term, counted from the arrival of the
// message.
//
// # Usage
//
//	t := term.New(clock)
//	t.Renew(sentAt.Add(promised-term.DriftMargin), delay)
//	if t.Held() {
//		…
//	}
package term

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// DriftMargin is the time by which a term ends before the promise does, for clocks that run at
// different speeds and for work that is under way when the term ends.
const DriftMargin = 500 * time.Millisecond

// span is the time in which a permission is held.
type span struct {
	from, until knapweedpulley.Instant
}

// Term implements [knapweedpulley.Permission]. It is safe for concurrent use.
type Term struct {
	clock knapweedpulley.Clock
	// mu is held to replace span.
	mu   sync.Mutex
	span atomic.Pointer[span]
}

// New returns a term that doesn't end before it was renewed for the first time.
func New(clock knapweedpulley.Clock) *Term {
	return &Term{clock: clock}
}

// Held implements knapweedpulley.Permission.
func (t *Term) Held() bool {
	s := t.span.Load()
	if s == nil {
		return true
	}
	now := t.clock.Now()
	return !s.from.After(now) && s.until.After(now)
}

// Renew lets the term end at the given instant, unless it ends later already. If it has ended, it begins
// again after a delay, in which those who have taken the permission over learn of its holder.
func (t *Term) Renew(until knapweedpulley.Instant, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	last := t.span.Load()
	switch {
	case last == nil:
		t.span.Store(&span{from: now, until: until})
	case !until.After(last.until):
	case last.until.After(now):
		t.span.Store(&span{from: last.from, until: until})
	case until.After(now):
		t.span.Store(&span{from: now.Add(delay), until: until})
	}
}
