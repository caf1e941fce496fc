package knapweedpulley

import "time"

// HeldCall is a call all of whose endpoints want no requests for a while.
type HeldCall struct {
	// Now is the present, and FreeAt is when the first of the endpoints takes requests again.
	Now    Instant
	FreeAt Instant
	// LatestStart is when the call must be sent at the latest to be answered in time.
	LatestStart Instant
	// Priority ranks calls; zero is the most urgent.
	Priority int
}

// HoldPolicy decides what happens to a call that can't be sent because all of its endpoints want no
// requests for a while.
type HoldPolicy interface {
	// Wait returns how long the call waits before it is sent. If it can't be answered in time, it
	// returns false and the time after which the caller may come back.
	Wait(c HeldCall) (time.Duration, bool)
}
