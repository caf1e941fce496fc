package holdback_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/holdback"
)

const hold = 2 * time.Second

// waits returns the decisions on many equal calls that are held back for hold, and asserts that they
// agree on whether the call can be answered in time.
func waits(t *testing.T, priority int, latestStart time.Duration, inTime bool) []time.Duration {
	t.Helper()
	list := make([]time.Duration, 100)
	for i := range list {
		d, ok := holdback.Spread{}.Wait(knapweedpulley.HeldCall{
			Now: 1, FreeAt: knapweedpulley.Instant(1).Add(hold),
			LatestStart: knapweedpulley.Instant(1).Add(latestStart), Priority: priority,
		})
		is.New(t).Equal(ok, inTime)
		list[i] = d
	}
	return list
}

// assertWithin asserts that all waits last from the end of the hold up to most.
func assertWithin(t *testing.T, list []time.Duration, most time.Duration) {
	t.Helper()
	for _, d := range list {
		is.New(t).True(d >= hold && d <= most)
	}
}

func TestSpread(t *testing.T) {
	t.Run("a call that can be answered in time waits until the hold is over", func(t *testing.T) {
		assertWithin(t, waits(t, 0, time.Minute, true), hold+time.Second)
	})
	t.Run("a call is never sent later than it can wait", func(t *testing.T) {
		assertWithin(t, waits(t, 9, hold+time.Millisecond, true), hold+time.Millisecond)
	})
	t.Run("urgent calls are sent first", func(t *testing.T) {
		is := is.New(t)
		urgent, other := waits(t, 0, time.Minute, true), waits(t, 1, time.Minute, true)
		for i := range urgent {
			is.True(urgent[i] <= other[i])
		}
	})
	t.Run("odd priorities count as the nearest valid one", func(t *testing.T) {
		assertWithin(t, waits(t, -5, time.Minute, true), hold+time.Second)
		assertWithin(t, waits(t, 1000, time.Minute, true), hold+time.Second)
	})
	t.Run("a caller that is refused comes back after the hold, but not with all others", func(t *testing.T) {
		list := waits(t, 0, hold-time.Millisecond, false)
		assertWithin(t, list, 2*hold)
		different := knapweedpulley.NewSet(list...)
		is.New(t).True(len(different) > 1)
	})
}
