package knapweedpulley

import "time"

// Instant is a time on a machine's boot-time clock, which goes on while the
// machine is suspended. Instants of two machines can't be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// After reports whether i is later than j.
func (i Instant) After(j Instant) bool {
	return i > j
}

// Clock reads a machine's boot-time clock.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}

// Cleanup releases what a constructor acquired: it stops goroutines and closes
// connections, and returns once they have ended. It may be called only once.
type Cleanup func()
