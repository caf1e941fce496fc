// Package holdback decides what happens to calls while all of their endpoints want no requests. It
// is made for an overload that some endpoints of a service report at once: the calls that can still
// be answered in time wait, and the others are refused at once.
//
// Calls that wait are not all sent when the first endpoint takes requests again, as that would
// overload it once more. They are spread over a short window, in order of their priority; a call
// that can't wait so long is sent earlier. Callers that are refused come back spread over a longer
// window.
//
// # Usage
//
//	g := gateway.New(gateway.Options{HoldPolicy: holdback.Spread{}, …})
package holdback

import (
	"math/rand/v2"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// releaseWindow is the time over which waiting calls are sent.
	releaseWindow = 200 * time.Millisecond
	// priorities is the number of priorities that are told apart.
	priorities = 10
	// minReturnWindow is the least time over which refused callers come back. It grows with the time
	// for which they are refused.
	minReturnWindow = 200 * time.Millisecond
	returnFraction  = 4
)

// Spread implements knapweedpulley.HoldPolicy.
type Spread struct{}

// Wait implements knapweedpulley.HoldPolicy.
func (Spread) Wait(c knapweedpulley.HeldCall) (time.Duration, bool) {
	hold := max(0, c.FreeAt.Sub(c.Now))
	slack := c.LatestStart.Sub(c.FreeAt)
	if slack < 0 {
		window := max(minReturnWindow, hold/returnFraction)
		return hold + rand.N(window), false //nolint:gosec // The spread needn't be unpredictable.
	}
	rank := time.Duration(min(max(c.Priority, 0), priorities-1))
	share := releaseWindow / priorities
	delay := rank*share + rand.N(share) //nolint:gosec // The spread needn't be unpredictable.
	return hold + min(delay, slack), true
}
