package fleet_test

import (
	"maps"
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

// listingTime is how long the keepers of these tests list a gateway.
const listingTime = 4 * time.Second

// settling is the uptime of a keeper that has just started.
const settling = time.Second

// rosterFixture is the roster of gateway "x" with the electors "a", "b", "c" and "d". Two of them renew
// its term, three drop a gateway.
type rosterFixture struct {
	t      *testing.T
	fleet  *fleet.Fleet
	term   *term.Term
	roster *fleet.Roster
}

func withRoster(name string, t *testing.T, test func(f *rosterFixture)) {
	t.Helper()
	inBubble(name, t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{
			engine("a"), engine("b"), engine("c"), engine("d"),
		})
		permission := term.New(fake.Clock{})
		test(&rosterFixture{t: t, fleet: f, term: permission, roster: fleet.NewRoster(fake.Clock{}, "x", permission)})
	})
}

// engine returns the registration of an engine with an address of its own.
func engine(id knapweedpulley.EndpointID) knapweedpulley.RegisteredEndpoint {
	r := registration(id, "home")
	r.Address = "10.0.0." + string(id) + ":1"
	return r
}

// report brings a report of an elector that has just heard from the gateway.
func (f *rosterFixture) report(elector knapweedpulley.EndpointID, uptime time.Duration, gateways ...knapweedpulley.EntryID) {
	r := knapweedpulley.EngineReport{
		Lifetime: reportLifetime, Start: 1, Uptime: uptime, Heard: fake.Clock{}.Now(), Listing: listingTime,
	}
	for _, g := range gateways {
		r.Gateways = append(r.Gateways, knapweedpulley.Member{Entry: g})
	}
	f.fleet.ApplyReport(f.fleet.Endpoints()[elector], r)
}

func (f *rosterFixture) update() ([]knapweedpulley.Member, bool) {
	var electors []*fleet.Endpoint
	for _, e := range f.fleet.Endpoints() {
		electors = append(electors, e)
	}
	return f.roster.Update(electors)
}

func (f *rosterFixture) assertGateways(want ...knapweedpulley.EntryID) {
	f.t.Helper()
	list, _ := f.update()
	var got []knapweedpulley.EntryID
	for _, m := range list {
		got = append(got, m.Entry)
	}
	is.New(f.t).Equal(got, want)
}

// begin makes the roster know the gateways x and y.
func (f *rosterFixture) begin() {
	f.t.Helper()
	for _, e := range []knapweedpulley.EndpointID{"a", "b", "c", "d"} {
		f.report(e, time.Hour, "x", "y")
	}
	f.assertGateways("x", "y")
}

func TestRoster(t *testing.T) {
	withRoster("a gateway that enough keepers list is one", t, func(f *rosterFixture) {
		f.begin()
		f.report("a", time.Hour, "x", "y", "z")
		f.assertGateways("x", "y")
		f.report("b", time.Hour, "x", "y", "z")
		f.assertGateways("x", "y", "z")
	})
	withRoster("no gateways are known from keepers that have just started", t, func(f *rosterFixture) {
		for _, e := range []knapweedpulley.EndpointID{"a", "b", "c"} {
			f.report(e, settling, "x")
		}
		f.assertGateways()
		f.report("a", time.Hour, "x", "y")
		f.report("b", time.Hour, "x", "y")
		f.assertGateways()
		f.report("c", time.Hour, "x", "y")
		f.assertGateways("x", "y")
	})
	withRoster("beside keepers that have just started, more gateways are assumed than are listed", t, func(f *rosterFixture) {
		is := is.New(f.t)
		_, some := f.roster.Assumed()
		is.True(!some)
		f.report("a", settling, "x")
		f.assertGateways()
		n, some := f.roster.Assumed()
		is.True(some && n > 2)
		time.Sleep(time.Minute)
		f.assertGateways()
		_, some = f.roster.Assumed()
		is.True(!some) // The gateway may have been cut off.
	})
	withRoster("no gateway is dropped for keepers that may have listed it before they started", t, func(f *rosterFixture) {
		f.begin()
		for _, e := range []knapweedpulley.EndpointID{"a", "b", "c", "d"} {
			f.report(e, listingTime-time.Second, "x")
		}
		f.assertGateways("x", "y")
	})
	withRoster("a gateway is dropped once too few keepers are left to renew its term", t, func(f *rosterFixture) {
		f.begin()
		f.report("a", time.Hour, "x")
		f.report("b", time.Hour, "x")
		f.assertGateways("x", "y")
		f.report("c", time.Hour, "x")
		f.assertGateways("x")
	})
	withRoster("no gateway is dropped for keepers that have just started, or are silent", t, func(f *rosterFixture) {
		f.begin()
		for _, e := range []knapweedpulley.EndpointID{"a", "b", "c", "d"} {
			f.report(e, settling, "x")
		}
		f.assertGateways("x", "y")
		time.Sleep(time.Hour)
		f.assertGateways("x", "y")
	})
	withRoster("a gateway doesn't drop itself", t, func(f *rosterFixture) {
		f.begin()
		for _, e := range []knapweedpulley.EndpointID{"a", "b", "c", "d"} {
			f.report(e, time.Hour, "y")
		}
		f.assertGateways("x", "y")
	})
}

func TestRosterRenewsTheTerm(t *testing.T) {
	assertHeld := func(f *rosterFixture, want bool) {
		f.t.Helper()
		f.update()
		is.New(f.t).Equal(f.term.Held(), want)
	}
	withRoster("it ends before the keepers stop listing the gateway", t, func(f *rosterFixture) {
		f.begin()
		time.Sleep(listingTime - time.Second)
		assertHeld(f, true)
		time.Sleep(time.Second - time.Millisecond)
		assertHeld(f, false)
	})
	withRoster("a single keeper doesn't renew it", t, func(f *rosterFixture) {
		f.begin()
		for range 5 {
			time.Sleep(time.Second)
			f.report("a", time.Hour, "x", "y")
			f.update()
		}
		assertHeld(f, false)
	})
	withRoster("two keepers renew it", t, func(f *rosterFixture) {
		f.begin()
		for range 10 {
			time.Sleep(time.Second)
			f.report("a", time.Hour, "x", "y")
			f.report("b", time.Hour, "x", "y")
			assertHeld(f, true)
		}
	})
	withRoster("an old echo that arrives late doesn't renew it", t, func(f *rosterFixture) {
		f.begin()
		sent := fake.Clock{}.Now()
		time.Sleep(time.Minute)
		for _, e := range []knapweedpulley.EndpointID{"a", "b", "c", "d"} {
			f.fleet.ApplyReport(f.fleet.Endpoints()[e], knapweedpulley.EngineReport{
				Lifetime: reportLifetime, Start: 1, Uptime: time.Hour, Heard: sent, Listing: listingTime,
				Gateways: []knapweedpulley.Member{{Entry: "x"}},
			})
		}
		for range 50 {
			assertHeld(f, false)
			time.Sleep(100 * time.Millisecond)
		}
	})
	t.Run("it doesn't end where there are no keepers any more", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &rosterFixture{t: t, fleet: fleet.New(fake.Clock{}, "home"), term: term.New(fake.Clock{})}
			f.roster = fleet.NewRoster(fake.Clock{}, "x", f.term)
			f.fleet.Update([]knapweedpulley.RegisteredEndpoint{engine("a")})
			f.report("a", time.Hour, "x")
			f.fleet.Update(nil)
			for range 100 {
				time.Sleep(500 * time.Millisecond)
				assertHeld(f, true)
			}
		})
	})
}

func TestListedGateways(t *testing.T) {
	list := func(f *rosterFixture) ([]knapweedpulley.EntryID, bool) {
		gateways, complete := fleet.ListedGateways(fake.Clock{}.Now(), slices.Collect(maps.Values(f.fleet.Endpoints())))
		var ids []knapweedpulley.EntryID
		for _, g := range gateways {
			ids = append(ids, g.Entry)
		}
		slices.Sort(ids)
		return ids, complete
	}
	assertListed := func(f *rosterFixture, wantComplete bool, want ...knapweedpulley.EntryID) {
		f.t.Helper()
		ids, complete := list(f)
		is.New(f.t).Equal(ids, want)
		is.New(f.t).Equal(complete, wantComplete)
	}
	withRoster("gateways are listed before the list is complete", t, func(f *rosterFixture) {
		assertListed(f, false)
		f.report("a", settling, "x", "y")
		assertListed(f, false, "x", "y")
	})
	withRoster("keepers that have just started don't make the list complete", t, func(f *rosterFixture) {
		for _, e := range []knapweedpulley.EndpointID{"a", "b", "c", "d"} {
			f.report(e, settling, "x")
		}
		assertListed(f, false, "x")
	})
	withRoster("the list is complete once most keepers have settled", t, func(f *rosterFixture) {
		f.report("a", time.Minute, "x", "y")
		f.report("b", time.Minute, "x", "z")
		assertListed(f, false, "x", "y", "z")
		f.report("c", time.Minute, "x")
		assertListed(f, true, "x", "y", "z")
	})
}
