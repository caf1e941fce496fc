// Package fake provides a clock for tests that run in virtual time, and addresses on which nothing listens.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		follower, cleanup := installation.NewFollower(installation.Options{Clock: fake.Clock{}, …})
//	})
package fake

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Clock reads the clock of the time package, which is virtual in a synctest bubble.
type Clock struct{}

// Now implements knapweedpulley.Clock.
func (Clock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}
