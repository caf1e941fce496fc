package model

import (
	"context"
	"time"
)

const (
	// longPollTimeout is the time after which an entry process answers a waiting call of
	// another one even if there is no result yet, so that the caller can tell a slow
	// result from a failed process.
	longPollTimeout = 500 * time.Millisecond
	// peerTimeout is the time after which an entry process that didn't answer such a
	// call is considered unresponsive.
	peerTimeout = 3 * longPollTimeout
	// defaultTimeout is the time left that is assumed for a context without a deadline,
	// and the least bound of a merged load.
	defaultTimeout = time.Minute
)

// timeLeft returns the time until the deadline of ctx.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return time.Until(deadline)
}
