package warmup_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/warmup"
)

// start is when the tests begin, long after the gateways have learned of each other.
const start = knapweedpulley.Instant(time.Hour)

// at returns the instant d after the start.
func at(d time.Duration) knapweedpulley.Instant {
	return start.Add(d)
}

func members(n int) []knapweedpulley.Member {
	list := make([]knapweedpulley.Member, 0, n)
	for i := range n {
		list = append(list, knapweedpulley.Member{Entry: knapweedpulley.EntryID(fmt.Sprint("g", i))})
	}
	return list
}

func limit(requestsPerSecond float64) knapweedpulley.Option[knapweedpulley.WarmUpLimit] {
	return knapweedpulley.Some(knapweedpulley.WarmUpLimit{Duration: 3 * time.Second, RequestsPerSecond: requestsPerSecond})
}

// coldEndpoint returns an endpoint that is cold for 3 s from the start, as the gateway g0 of n knows it.
func coldEndpoint(n int, requestsPerSecond float64) *warmup.Endpoint {
	e := warmup.NewEndpoint("e", warmup.NewGateways("g0", members(n), nil, 1))
	e.SetLimit(limit(requestsPerSecond), start)
	e.Register(warmup.Registration{Start: 1, Arrived: start, ColdFor: 3 * time.Second}, start)
	return e
}

// takeAll takes what is free of the share at an instant, and returns how much that was.
func takeAll(e *warmup.Endpoint, now knapweedpulley.Instant) int {
	for n := range 5000 {
		if _, taken := e.Take(e.MomentAt(now)); !taken {
			return n
		}
	}
	return 5000
}

func assertTaken(t *testing.T, e *warmup.Endpoint, now knapweedpulley.Instant, want int) {
	t.Helper()
	is.New(t).Equal(takeAll(e, now), want)
}

func assertCold(t *testing.T, e *warmup.Endpoint, now knapweedpulley.Instant, want bool) {
	t.Helper()
	_, cold := e.FreeAt(e.MomentAt(now))
	is.New(t).Equal(cold, want)
}

// Guards against gateways that together send more than the limit, and against a limit that isn't used.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for _, n := range []int{1, 4, 11, 26, 103} {
		t.Run(fmt.Sprint(n, " gateways"), func(t *testing.T) {
			is := is.New(t)
			for k := range 50 {
				total, least, most := 0, 11, 0
				for _, m := range members(n) {
					e := warmup.NewEndpoint(knapweedpulley.EndpointID(fmt.Sprint("e", k)), warmup.NewGateways(m.Entry, members(n), nil, 1))
					e.SetLimit(limit(11.9), start)
					total, least, most = total+e.Share(), min(least, e.Share()), max(most, e.Share())
				}
				is.Equal(total, 11)
				is.True(most-least <= 1)
			}
		})
	}
	t.Run("a limit out of range is bounded", func(t *testing.T) {
		is := is.New(t)
		is.Equal(coldEndpoint(1, 0.2).Share(), 1)
		is.Equal(coldEndpoint(1, 1e300).Share(), 1000)
	})
	t.Run("a gateway that isn't listed has none", func(t *testing.T) {
		assertTaken(t, coldEndpoint(0, 11), start, 0)
	})
}

// Guards against bursts at the border of two seconds, and against concurrent calls that take one part.
func TestShareIsTakenOnceInAnySecond(t *testing.T) {
	t.Run("whenever it is used", func(t *testing.T) {
		e := coldEndpoint(4, 11)
		share := e.Share()
		_, _ = e.Take(e.MomentAt(at(900 * time.Millisecond)))
		assertTaken(t, e, at(time.Second), share-1)
		assertTaken(t, e, at(1900*time.Millisecond-1), 0)
		assertTaken(t, e, at(1900*time.Millisecond), 1)
		assertTaken(t, e, at(2*time.Second), share-1)
		assertTaken(t, e, at(3*time.Second), 5000) // It is warm.
	})
	t.Run("by concurrent calls and reservations", func(t *testing.T) {
		// The choice of one of many parts takes long, so that calls often choose the same one.
		for range 20 {
			e := coldEndpoint(1, 1000)
			var taken atomic.Int32
			var group sync.WaitGroup
			for range 8 {
				group.Go(func() {
					taken.Add(int32(takeAll(e, start))) //nolint:gosec // It is at most 5000.
					if _, from, reserved := e.Reserve(e.MomentAt(start), start); reserved && from < at(time.Second) {
						taken.Add(1)
					}
				})
			}
			group.Wait()
			is.New(t).Equal(taken.Load(), int32(1000))
		}
	})
	t.Run("unless its request was not sent", func(t *testing.T) {
		e := coldEndpoint(1, 2)
		ticket, _ := e.Take(e.MomentAt(start))
		ticket.Return()
		assertTaken(t, e, start, 2)
	})
}

// Guards against calls that wait for a share and are refused late, and against late calls that exceed it.
func TestReservation(t *testing.T) {
	reserve := func(e *warmup.Endpoint, now knapweedpulley.Instant) (warmup.Ticket, time.Duration, bool) {
		ticket, from, reserved := e.Reserve(e.MomentAt(now), now)
		return ticket, from.Sub(start), reserved
	}
	t.Run("each has its own time, until the endpoint is warm", func(t *testing.T) {
		is := is.New(t)
		e := coldEndpoint(1, 1)
		assertTaken(t, e, start, 1)
		_, first, _ := reserve(e, start)
		_, second, _ := reserve(e, start)
		_, _, third := reserve(e, start)
		is.Equal(first, time.Second)
		is.True(second-first >= time.Second)
		is.True(!third)
		assertTaken(t, e, at(time.Second), 0) // Nobody takes the place of one who waits.
	})
	t.Run("one that is late can't be used", func(t *testing.T) {
		is := is.New(t)
		e := coldEndpoint(1, 1)
		assertTaken(t, e, start, 1)
		ticket, from, _ := reserve(e, start)
		is.True(!e.Redeem(e.MomentAt(at(from-1)), ticket))
		is.True(e.Redeem(e.MomentAt(at(from)), ticket))
		is.True(e.Redeem(e.MomentAt(at(from+100*time.Millisecond)), ticket))
		is.True(!e.Redeem(e.MomentAt(at(from+101*time.Millisecond)), ticket))
		assertTaken(t, e, at(from+1100*time.Millisecond-1), 0)
	})
	t.Run("one that is no longer of the gateway's share can't be used", func(t *testing.T) {
		is := is.New(t)
		e := coldEndpoint(1, 1)
		assertTaken(t, e, start, 1)
		ticket, from, _ := reserve(e, start)
		e.SetGateways(warmup.NewGateways("g0", members(3)[1:], nil, start))
		is.True(!e.Redeem(e.MomentAt(at(from)), ticket))
		e.SetGateways(warmup.NewGateways("g0", members(1), nil, start))
		is.True(e.Redeem(e.MomentAt(at(from)), ticket))
	})
	t.Run("one that is given back is free for another", func(t *testing.T) {
		e := coldEndpoint(1, 1)
		assertTaken(t, e, start, 1)
		ticket, _, _ := reserve(e, start)
		ticket.Return()
		assertTaken(t, e, at(time.Second), 1)
	})
}

// held is a permission that a test ends.
type held bool

// Held implements knapweedpulley.Permission.
func (h *held) Held() bool { return bool(*h) }

// Guards against a share that two gateways use in the same second while their lists change.
func TestShareThatIsTakenOver(t *testing.T) {
	t.Run("is used a second later", func(t *testing.T) {
		e := coldEndpoint(26, 2)
		before := e.Share()
		e.SetGateways(warmup.NewGateways("g0", members(1), nil, start))
		assertTaken(t, e, start, before)
		assertTaken(t, e, at(time.Second-1), 0)
		assertTaken(t, e, at(time.Second), 2)
	})
	t.Run("is used a second after the start of a gateway", func(t *testing.T) {
		e := warmup.NewEndpoint("e", nil)
		e.SetLimit(limit(2), start)
		e.Register(warmup.Registration{Arrived: start, ColdFor: 3 * time.Second}, start)
		assertTaken(t, e, start, 0)
		e.SetGateways(warmup.NewGateways("g0", members(1), nil, start))
		assertTaken(t, e, start, 0)
		assertTaken(t, e, at(time.Second), 2)
	})
	t.Run("is not used by a gateway that isn't confirmed", func(t *testing.T) {
		h := held(true)
		e := warmup.NewEndpoint("e", warmup.NewGateways("g0", members(1), &h, 1))
		e.SetLimit(limit(4), start)
		e.Register(warmup.Registration{Arrived: start, ColdFor: 3 * time.Second}, start)
		h = false
		assertTaken(t, e, start, 0)
		h = true
		assertTaken(t, e, start, 4)
	})
	t.Run("is not doubled by a new limit", func(t *testing.T) {
		e := coldEndpoint(1, 4)
		assertTaken(t, e, start, 4)
		e.SetLimit(limit(6), start)
		assertTaken(t, e, at(time.Second-1), 0)
		assertTaken(t, e, at(time.Second), 6)
	})
}

// Guards against endpoints that are taken for warm too early, or for cold without end.
func TestColdTime(t *testing.T) {
	warm := func() *warmup.Endpoint {
		e := coldEndpoint(1, 1)
		e.Register(warmup.Registration{Start: 1, Arrived: start}, start)
		return e
	}
	t.Run("is what the last registration states, from its arrival", func(t *testing.T) {
		e := coldEndpoint(1, 1)
		assertCold(t, e, at(3*time.Second-1), true)
		assertCold(t, e, at(3*time.Second), false)
		e.Register(warmup.Registration{Start: 1, Arrived: at(time.Second)}, at(time.Second))
		assertCold(t, e, at(time.Second), false)
	})
	t.Run("is not prolonged by a registration that is passed on again", func(t *testing.T) {
		e := coldEndpoint(1, 1)
		e.Register(warmup.Registration{Start: 1, Arrived: start, ColdFor: 3 * time.Second}, at(2*time.Second))
		assertCold(t, e, at(3*time.Second), false)
	})
	t.Run("is assumed after a start that only a report tells", func(t *testing.T) {
		e := warm()
		e.ReportStart(1, start)
		assertCold(t, e, start, false)
		e.ReportStart(2, start)
		e.ReportStart(2, at(time.Second))
		assertCold(t, e, at(3*time.Second-1), true)
		assertCold(t, e, at(3*time.Second), false)
		e.Register(warmup.Registration{Start: 1, Arrived: at(time.Second)}, at(time.Second))
		assertCold(t, e, at(time.Second), true)
		e.Register(warmup.Registration{Start: 2, Arrived: at(time.Second)}, at(time.Second))
		assertCold(t, e, at(time.Second), false)
	})
	t.Run("is assumed when a zone is given back, until a later registration", func(t *testing.T) {
		e := warm()
		e.AssumeCold(at(time.Millisecond), at(time.Millisecond))
		e.Register(warmup.Registration{Start: 1, Arrived: start}, at(2*time.Millisecond))
		assertCold(t, e, at(time.Second), true)
		e.Register(warmup.Registration{Start: 1, Arrived: at(time.Second)}, at(time.Second))
		assertCold(t, e, at(time.Second), false)
	})
	t.Run("doesn't matter without a limit", func(t *testing.T) {
		e := coldEndpoint(1, 1)
		e.SetLimit(knapweedpulley.None[knapweedpulley.WarmUpLimit](), start)
		is.New(t).True(!e.Limited())
		assertTaken(t, e, start, 5000)
	})
}
