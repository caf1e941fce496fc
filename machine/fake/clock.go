// Package fake has a clock for tests that run in virtual time.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		follower, cleanup := installation.NewFollower(objects, translator, fake.Clock{}, …)
//	})
package fake

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Clock follows the time package, which is virtual in a test's bubble.
type Clock struct{}

// Now implements knapweedpulley.Clock.
func (Clock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}
