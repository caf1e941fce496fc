package ratequeue_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/ratequeue"
)

// holder gives a queue its tokens.
type holder struct {
	t      *testing.T
	queue  *ratequeue.Queue
	supply ratequeue.Supply
	now    knapweedpulley.Instant
	// ended holds the outcomes so far.
	ended map[ratequeue.Ticket]ratequeue.Outcome
	last  knapweedpulley.Fingerprint
}

func newHolder(t *testing.T) *holder {
	t.Helper()
	return &holder{
		t: t, queue: ratequeue.New(), now: knapweedpulley.Instant(time.Hour), ended: make(map[ratequeue.Ticket]ratequeue.Outcome),
		supply: ratequeue.Supply{Rate: 1000, Burst: 2000, Parts: 1},
	}
}

// pass lets time pass, in which tokens accrue.
func (h *holder) pass(d time.Duration) {
	for end := h.now.Add(d); end.After(h.now); {
		step := min(10*time.Millisecond, end.Sub(h.now))
		h.now = h.now.Add(step)
		h.supply.Level = min(h.supply.Burst, h.supply.Level+h.supply.Rate*step.Seconds())
		h.queue.Advance(h.now, &h.supply)
		h.collect()
	}
}

func (h *holder) collect() {
	for _, o := range h.queue.Outcomes() {
		h.ended[o.Ticket] = o
	}
}

// ask asks for tokens as a gateway does: without waiting first. The ticket is zero if they were granted then.
func (h *holder) ask(route knapweedpulley.RouteID, priority int, n knapweedpulley.Tokens, wait time.Duration) ratequeue.Ticket {
	h.last++
	return h.askAgain(h.last, route, priority, n, wait)
}

func (h *holder) askAgain(
	f knapweedpulley.Fingerprint, route knapweedpulley.RouteID, priority int, n knapweedpulley.Tokens, wait time.Duration,
) ratequeue.Ticket {
	r := ratequeue.Request{Route: route, Priority: priority, Tokens: n, LatestStart: h.now.Add(wait), Fingerprint: f}
	if granted, _ := h.queue.Probe(h.now, &h.supply, r); granted {
		h.collect()
		return 0
	}
	ticket := h.queue.Enter(h.now, &h.supply, r)
	h.collect()
	return ticket
}

// overload lets a route ask for several times the rate for a while.
func (h *holder) overload(route knapweedpulley.RouteID, wait time.Duration) {
	for range 150 {
		h.ask(route, 1, 400, wait)
		h.pass(100 * time.Millisecond)
	}
	is.New(h.t).True(h.queue.Scarce())
}

func (h *holder) assertGranted(ticket ratequeue.Ticket, want bool) {
	h.t.Helper()
	is.New(h.t).Equal(h.ended[ticket].Granted, want)
}

func TestQueue(t *testing.T) {
	t.Run("the request with the earliest latest start goes first", func(t *testing.T) {
		h := newHolder(t)
		late, early := h.ask("a", 1, 1000, 9*time.Second), h.ask("a", 1, 1000, 5*time.Second)
		h.pass(1500 * time.Millisecond)
		h.assertGranted(early, true)
		h.assertGranted(late, false)
	})
	t.Run("a small request doesn't pass a large one", func(t *testing.T) {
		h := newHolder(t)
		large, small := h.ask("a", 1, 1900, 9*time.Second), h.ask("a", 1, 100, 9*time.Second)
		h.pass(1500 * time.Millisecond)
		h.assertGranted(small, false)
		h.pass(600 * time.Millisecond)
		h.assertGranted(large, true)
		h.assertGranted(small, true)
	})
	t.Run("a request larger than the burst is granted when the part is full", func(t *testing.T) {
		h := newHolder(t)
		ticket := h.ask("a", 1, 5000, 3*time.Second)
		h.pass(2100 * time.Millisecond)
		h.assertGranted(ticket, true)
		is.New(t).True(h.supply.Level < -2800)
	})
	t.Run("a request that can't be granted in time is refused at once", func(t *testing.T) {
		is := is.New(t)
		h := newHolder(t)
		h.ask("a", 1, 1500, 9*time.Second)
		o, known := h.ended[h.ask("a", 1, 1500, time.Second)]
		is.True(known)
		is.True(o.RetryAfter >= time.Second)
		is.True(o.RetryAfter <= 3*time.Second)
	})
	t.Run("a request that would make one ahead of it late is refused", func(t *testing.T) {
		h := newHolder(t)
		first := h.ask("a", 1, 1500, 1600*time.Millisecond)
		h.ask("a", 1, 500, time.Second)
		h.pass(1600 * time.Millisecond)
		h.assertGranted(first, true)
	})
	t.Run("a caller that leaves frees its place", func(t *testing.T) {
		h := newHolder(t)
		first, second := h.ask("a", 1, 1000, 3*time.Second), h.ask("a", 1, 1000, 4*time.Second)
		h.queue.Leave(first)
		h.pass(1100 * time.Millisecond)
		h.assertGranted(second, true)
	})
	t.Run("the number of requests that wait is bounded", func(t *testing.T) {
		h := newHolder(t)
		for range 3000 {
			h.ask("a", 1, 1, time.Hour)
		}
		waiting, _ := h.queue.Waiting()
		is.New(t).True(waiting <= 1024)
	})
}

func TestKeptPlaces(t *testing.T) {
	// refused returns a request that was refused and has a place.
	refused := func(h *holder) (knapweedpulley.Fingerprint, ratequeue.Outcome) {
		h.overload("a", 2*time.Second)
		for range 100 {
			o := h.ended[h.ask("a", 1, 400, 2*time.Second)]
			if o.Kept {
				return h.last, o
			}
			h.pass(50 * time.Millisecond)
		}
		h.t.Fatal("no place is kept")
		return 0, ratequeue.Outcome{}
	}
	t.Run("a caller that returns in time is granted before newcomers", func(t *testing.T) {
		h := newHolder(t)
		f, o := refused(h)
		for began := h.now; h.now.Sub(began) < o.RetryAfter; h.pass(50 * time.Millisecond) {
			h.ask("a", 1, 400, 2*time.Second)
		}
		ticket := h.askAgain(f, "a", 1, 400, 2*time.Second)
		h.pass(2 * time.Second)
		is.New(t).True(ticket == 0 || h.ended[ticket].Granted)
	})
	t.Run("a place ends if its caller doesn't return", func(t *testing.T) {
		is := is.New(t)
		h := newHolder(t)
		_, o := refused(h)
		h.pass(o.RetryAfter + 1100*time.Millisecond)
		_, places := h.queue.Waiting()
		is.Equal(places, 0)
	})
	t.Run("the tokens of callers that don't return are granted to others", func(t *testing.T) {
		h := newHolder(t)
		h.overload("a", 2*time.Second)
		before, tickets := len(h.ended), 0
		for range 1200 {
			if h.ask("a", 1, 400, 2*time.Second) == 0 {
				tickets++
			}
			h.pass(50 * time.Millisecond)
		}
		granted := 0
		for _, o := range h.ended {
			if o.Granted {
				granted++
			}
		}
		is.New(t).True(before > 0)
		is.New(t).True(float64(granted*400) >= 0.97*75*1000) // in the 75 s altogether
	})
	t.Run("the number of places is bounded", func(t *testing.T) {
		h := newHolder(t)
		h.supply.Rate, h.supply.Burst = 1e6, 1e6
		h.supply.Level = -1e6
		for range 200_000 {
			h.ask("a", 1, 400, 700*time.Millisecond)
		}
		_, places := h.queue.Waiting()
		is.New(t).True(places > 0 && places <= 64)
	})
}

// TestPlacesAndBurst guards against a full part that grants more than its burst together with the places.
func TestPlacesAndBurst(t *testing.T) {
	is := is.New(t)
	h := newHolder(t)
	kept := make(map[knapweedpulley.Fingerprint]knapweedpulley.Instant)
	for range 150 {
		if o := h.ended[h.ask("a", 1, 400, 2*time.Second)]; o.Kept {
			kept[h.last] = h.now.Add(o.RetryAfter)
		}
		h.pass(100 * time.Millisecond)
	}
	for h.supply.Level < 1100 {
		h.pass(10 * time.Millisecond)
	}
	h.pass(300 * time.Millisecond)
	returned := 0
	for f, at := range kept {
		if h.now.Sub(at) > 900*time.Millisecond {
			continue
		}
		if granted, _ := h.queue.Probe(h.now, &h.supply, ratequeue.Request{
			Route: "a", Priority: 1, Tokens: 400, LatestStart: h.now.Add(time.Second), Fingerprint: f,
		}); granted {
			returned += 400
		}
	}
	is.True(returned > 0)
	is.True(h.supply.Level+float64(returned) <= h.supply.Burst+1)
}

func TestSharesOfRoutes(t *testing.T) {
	// play lets two routes ask for the same, and returns the shares that they were granted once the rate was scarce.
	play := func(t *testing.T, pause, patience time.Duration) (urgent, patient float64) {
		t.Helper()
		h := newHolder(t)
		var tickets [2][]ratequeue.Ticket
		for n := range 600 {
			u, p := h.ask("urgent", 0, 200, patience), h.ask("patient", 1, 200, 8*time.Second)
			if n >= 200 {
				tickets[0], tickets[1] = append(tickets[0], u), append(tickets[1], p)
			}
			h.pass(pause)
		}
		share := func(list []ratequeue.Ticket) float64 {
			granted := 0
			for _, t := range list {
				if t == 0 || h.ended[t].Granted {
					granted++
				}
			}
			return float64(granted) / float64(len(list))
		}
		t.Logf("urgent %.3f, patient %.3f", share(tickets[0]), share(tickets[1]))
		return share(tickets[0]), share(tickets[1])
	}
	t.Run("a more urgent route gets a little more if both can wait as long", func(t *testing.T) {
		is := is.New(t)
		urgent, patient := play(t, 200*time.Millisecond, 8*time.Second)
		is.True(urgent > 1.02*patient)
		is.True(urgent < 1.15*patient)
	})
	t.Run("a route that can hardly wait gets no less", func(t *testing.T) {
		for _, pause := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond} {
			is := is.New(t)
			urgent, patient := play(t, pause, 100*time.Millisecond)
			is.True(urgent >= patient)
			is.True(urgent < 1.3*patient)
		}
	})
	t.Run("small and large requests of a route get the same share", func(t *testing.T) {
		is := is.New(t)
		h, random := newHolder(t), rand.New(rand.NewPCG(1, 2))
		granted, asked := map[knapweedpulley.Tokens]int{}, map[knapweedpulley.Tokens]int{}
		tickets := map[ratequeue.Ticket]knapweedpulley.Tokens{}
		for range 6000 {
			n := knapweedpulley.Tokens(100 + 800*random.IntN(2))
			asked[n]++
			if ticket := h.ask(knapweedpulley.RouteID([]string{"a", "b"}[random.IntN(2)]), 1, n, 8*time.Second); ticket != 0 {
				tickets[ticket] = n
			} else {
				granted[n]++
			}
			h.pass(200 * time.Millisecond)
		}
		for ticket, n := range tickets {
			if h.ended[ticket].Granted {
				granted[n]++
			}
		}
		small, large := float64(granted[100])/float64(asked[100]), float64(granted[900])/float64(asked[900])
		t.Logf("small %.3f, large %.3f", small, large)
		is.True(math.Abs(small-large) <= 0.05)
	})
}
