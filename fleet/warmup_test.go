package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/term"
)

const (
	warmUpRate = 11.0
	coldTime   = 3 * time.Second
	// allowedPerSecond is the number of requests that a cold endpoint may get in any second.
	allowedPerSecond = 21
)

func warmUpLimits() map[knapweedpulley.ServiceID]knapweedpulley.WarmUpLimit {
	return map[knapweedpulley.ServiceID]knapweedpulley.WarmUpLimit{
		"llm": {Duration: coldTime, RequestsPerSecond: warmUpRate},
	}
}

// shareWarmUp makes a fleet that of the only gateway.
func shareWarmUp(f *fleet.Fleet) {
	f.ShareWarmUp("g0", nil)
	f.SetGateways([]knapweedpulley.Member{{Entry: "g0"}})
	f.ConfigureWarmUp(warmUpLimits())
	time.Sleep(time.Second)
}

// cold returns a registration of an endpoint that stays cold for coldTime.
func cold(r knapweedpulley.RegisteredEndpoint) knapweedpulley.RegisteredEndpoint {
	r.ColdFor = coldTime
	return r
}

// beginAll begins and ends 200 requests, as far as an endpoint takes them, and returns how many each has
// got.
func beginAll(f *fleet.Fleet, n fleet.Requirements) map[knapweedpulley.EndpointID]int {
	begun := make(map[knapweedpulley.EndpointID]int)
	for range 200 {
		if r, ok := f.Begin(n); ok {
			begun[r.ID()]++
			r.End(fleet.Answered)
		}
	}
	return begun
}

func TestColdEndpointInChoice(t *testing.T) {
	a, b := registration("a", "home", "m"), registration("b", "away", "m")
	b.Address = "10.0.0.2:1"
	inBubble("a warm endpoint is preferred unless it is much busier", t, func(t *testing.T, f *fleet.Fleet) {
		shareWarmUp(f)
		f.Update([]knapweedpulley.RegisteredEndpoint{cold(a), b})
		assertChoice(t, f, requirements("m"), "b")
		for range 30 {
			begin(t, f.Endpoints()["b"], 0)
		}
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("one without a share left is excluded, and it is known until when", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		shareWarmUp(f)
		f.Update([]knapweedpulley.RegisteredEndpoint{cold(a)})
		is.Equal(beginAll(f, requirements("m")), map[knapweedpulley.EndpointID]int{"a": 11})
		is.True(!f.Offers(f.Endpoints()["a"], requirements("m")))
		_, begun := f.Endpoints()["a"].TryBeginRequest(0)
		is.True(!begun)
		hold, held := f.Hold(requirements("m"))
		is.True(held)
		is.True(hold.Cold)
		is.Equal(hold.Until.Sub(fake.Clock{}.Now()), time.Second)
		_, held = f.Hold(requirements("n"))
		is.True(!held)
	})
	inBubble("a request that has to wait begins at the time that was reserved for it", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		shareWarmUp(f)
		f.Update([]knapweedpulley.RegisteredEndpoint{cold(a)})
		beginAll(f, requirements("m"))
		hold, _ := f.Hold(requirements("m"))
		r, reserved := f.Reserve(hold)
		is.True(reserved)
		_, begun := f.BeginReserved(r, requirements("m"))
		is.True(!begun)
		time.Sleep(r.At.Sub(fake.Clock{}.Now()))
		is.Equal(beginAll(f, requirements("m"))["a"], 10)
		_, begun = f.BeginReserved(r, requirements("m"))
		is.True(begun)
	})
	inBubble("a request that was not sent gives its part back", t, func(t *testing.T, f *fleet.Fleet) {
		shareWarmUp(f)
		f.Update([]knapweedpulley.RegisteredEndpoint{cold(a)})
		begin(t, f.Endpoints()["a"], 0).End(fleet.Unsent)
		is.New(t).Equal(beginAll(f, requirements("m"))["a"], 11)
	})
	inBubble("one that registers again or starts anew has no second share", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		shareWarmUp(f)
		f.Update([]knapweedpulley.RegisteredEndpoint{cold(a)})
		beginAll(f, requirements("m"))
		again := cold(a)
		again.Start++
		f.Update([]knapweedpulley.RegisteredEndpoint{again})
		is.Equal(len(beginAll(f, requirements("m"))), 0)
		f.Update(nil)
		f.Update([]knapweedpulley.RegisteredEndpoint{again})
		is.Equal(len(beginAll(f, requirements("m"))), 0)
	})
	inBubble("one whose zone is given back is cold until it says otherwise", t, func(t *testing.T, f *fleet.Fleet) {
		shareWarmUp(f)
		evacuated, warm := a, a
		evacuated.Evacuated = true
		evacuated.Arrived = fake.Clock{}.Now()
		warm.Arrived = evacuated.Arrived
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated})
		f.Update([]knapweedpulley.RegisteredEndpoint{warm, b})
		assertChoice(t, f, requirements("m"), "b")
		time.Sleep(time.Millisecond)
		warm.Arrived = fake.Clock{}.Now()
		f.Update([]knapweedpulley.RegisteredEndpoint{warm, b})
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("one whose start only its keeper tells is cold", t, func(t *testing.T, f *fleet.Fleet) {
		shareWarmUp(f)
		f.Update([]knapweedpulley.RegisteredEndpoint{a, b})
		f.ApplyReport(f.Endpoints()["a"], knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 2, Models: loaded("m")})
		assertChoice(t, f, requirements("m"), "b")
	})
	inBubble("all are cold after a suspension, until registrations that were sent later", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		shareWarmUp(f)
		f.Update([]knapweedpulley.RegisteredEndpoint{a})
		f.Tick()
		time.Sleep(1900 * time.Millisecond)
		is.Equal(beginAll(f, requirements("m"))["a"], 200)
		time.Sleep(100 * time.Millisecond)
		is.Equal(beginAll(f, requirements("m"))["a"], 11)
		time.Sleep(500 * time.Millisecond)
		f.Update([]knapweedpulley.RegisteredEndpoint{a}) // It may have been sent before.
		time.Sleep(500 * time.Millisecond)
		is.Equal(beginAll(f, requirements("m"))["a"], 11)
		time.Sleep(time.Millisecond)
		f.Update([]knapweedpulley.RegisteredEndpoint{a})
		is.Equal(beginAll(f, requirements("m"))["a"], 200)
	})
	inBubble("without a limit it is chosen as if it were warm", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{cold(a), b})
		is.New(t).Equal(beginAll(f, requirements("m"))["a"] > allowedPerSecond, true)
	})
}

// simulatedGateway is one of many gateways that send requests to the same cold endpoints.
type simulatedGateway struct {
	self  knapweedpulley.EntryID
	fleet *fleet.Fleet
	term  *term.Term
	// cutUntil is until when the gateway reaches no keeper, frozenUntil until when it does nothing,
	// and downUntil until when it isn't running.
	cutUntil, frozenUntil, downUntil time.Duration
	// lag is how much later than the keepers the gateway has a new list.
	lag time.Duration
}

func (g *simulatedGateway) restart() {
	g.term, g.fleet = term.New(fake.Clock{}), fleet.New(fake.Clock{}, "home")
	g.fleet.ShareWarmUp(g.self, g.term)
	g.fleet.ConfigureWarmUp(warmUpLimits())
}

// Times of the simulated gateways: the listing time, the pause between two updates of the list and the
// time between two registrations, all as in the running system, and the pause between two requests.
const (
	confirmedTime  = 3500 * time.Millisecond
	listPeriod     = 500 * time.Millisecond
	registerPeriod = 1200 * time.Millisecond
	phase          = 12 * time.Second
	tick           = 5 * time.Millisecond
)

// zone is a zone of endpoints that are all cold, with the gateways that send requests to them.
type zone struct {
	gateways  []*simulatedGateway
	endpoints []knapweedpulley.RegisteredEndpoint
	random    *rand.Rand
	sent      map[knapweedpulley.EndpointID][]time.Duration
	deferred  int
}

func newZone(gatewayCount, endpointCount int) *zone {
	z := &zone{random: rand.New(rand.NewPCG(1, 2)), sent: make(map[knapweedpulley.EndpointID][]time.Duration)}
	for i := range endpointCount {
		r := cold(registration(knapweedpulley.EndpointID(fmt.Sprint("e", i)), "home"))
		r.Address = fmt.Sprintf("10.0.0.%d:1", i+1)
		z.endpoints = append(z.endpoints, r)
	}
	for i := range gatewayCount {
		g := &simulatedGateway{self: knapweedpulley.EntryID(fmt.Sprint("g", i)), lag: time.Duration(i%5) * 250 * time.Millisecond}
		g.restart()
		z.gateways = append(z.gateways, g)
	}
	return z
}

// listed returns the gateways that the keepers list at a time: those that have been silent for less than
// the listing time.
func (z *zone) listed(now time.Duration, silentSince map[knapweedpulley.EntryID]time.Duration) []knapweedpulley.Member {
	var list []knapweedpulley.Member
	for _, g := range z.gateways {
		since, silent := silentSince[g.self]
		if !silent || now-since < confirmedTime+term.DriftMargin {
			list = append(list, knapweedpulley.Member{Entry: g.self})
		}
	}
	return list
}

// disturb cuts off, freezes or restarts a third of the gateways, in turn.
func (z *zone) disturb(now time.Duration) {
	step := int(now / phase)
	for i, g := range z.gateways {
		if i%3 != step%3 {
			continue
		}
		switch (step / 3) % 3 {
		case 0:
			g.cutUntil = now + 7*time.Second
		case 1:
			g.frozenUntil = now + 7*time.Second
		default:
			g.downUntil = now + 300*time.Millisecond
			g.restart()
		}
	}
}

// run sends requests at a rate for a time, while gateways are disturbed in turn.
func (z *zone) run(duration time.Duration, requestsPerSecond int) {
	silentSince := make(map[knapweedpulley.EntryID]time.Duration)
	history := [][]knapweedpulley.Member{}
	due := 0.0
	for now := time.Duration(0); now < duration; now += tick {
		if now%phase == 0 && now > 0 {
			z.disturb(now)
		}
		if now%(250*time.Millisecond) == 0 {
			history = append(history, z.listed(now, silentSince))
		}
		for _, g := range z.gateways {
			silent := now < max(g.cutUntil, g.frozenUntil, g.downUntil)
			if _, was := silentSince[g.self]; silent && !was {
				silentSince[g.self] = now
			} else if !silent {
				delete(silentSince, g.self)
			}
			z.inform(g, now, history)
		}
		for due += float64(requestsPerSecond) * tick.Seconds(); due >= 1; due-- {
			z.send(z.gateways[z.random.IntN(len(z.gateways))], now)
		}
		time.Sleep(tick)
	}
}

// inform passes the list of gateways and the registrations on to a gateway.
func (z *zone) inform(g *simulatedGateway, now time.Duration, history [][]knapweedpulley.Member) {
	if now < max(g.frozenUntil, g.downUntil) {
		return
	}
	if now%registerPeriod == 0 || len(g.fleet.Endpoints()) == 0 {
		g.fleet.Update(z.endpoints)
	}
	if now%listPeriod == 0 {
		g.fleet.Tick()
	}
	if now < g.cutUntil || now%listPeriod != 0 {
		return
	}
	g.term.Renew(fake.Clock{}.Now().Add(confirmedTime), listPeriod+1250*time.Millisecond)
	if n := len(history) - 1 - int(g.lag/(250*time.Millisecond)); n >= 0 {
		g.fleet.SetGateways(history[n])
	}
}

// send sends a request to one of the endpoints if they take one.
func (z *zone) send(g *simulatedGateway, now time.Duration) {
	if now < max(g.frozenUntil, g.downUntil) {
		return
	}
	r, begun := g.fleet.Begin(requirements(""))
	if !begun {
		z.deferred++
		return
	}
	z.sent[r.ID()] = append(z.sent[r.ID()], now)
	r.End(fleet.Answered)
}

// assertWithinLimit asserts that no endpoint got more requests in any second than it bears, and that at
// least half of the limit was used over the whole time.
func (z *zone) assertWithinLimit(t *testing.T, duration time.Duration) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(z.sent), len(z.endpoints))
	most := 0
	for _, times := range z.sent {
		slices.Sort(times)
		first := 0
		for last := range times {
			for times[last]-times[first] >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
		is.True(float64(len(times)) >= 0.5*warmUpRate*duration.Seconds())
	}
	t.Logf("at most %d requests in a second, %d had to wait", most, z.deferred)
	is.True(most <= allowedPerSecond)
}

// Guards against gateways that together exceed what a cold endpoint bears, while a third of them has an
// old list, is frozen, or is killed and comes back.
func TestZoneOfColdEndpointsGetsNoMoreThanItBears(t *testing.T) {
	const duration = 9 * phase
	for _, gatewayCount := range []int{4, 26, 103} {
		for _, requestsPerSecond := range []int{200, 400} {
			t.Run(fmt.Sprintf("%d gateways, %d requests a second", gatewayCount, requestsPerSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					z := newZone(gatewayCount, 4)
					z.run(duration, requestsPerSecond)
					z.assertWithinLimit(t, duration)
				})
			})
		}
	}
}
