package fleet_test

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// reportLifetime is how long a report is valid in these tests.
const reportLifetime = 1500 * time.Millisecond

func loaded(models ...knapweedpulley.ModelID) []knapweedpulley.LoadedModel {
	list := make([]knapweedpulley.LoadedModel, 0, len(models))
	for _, m := range models {
		list = append(list, knapweedpulley.LoadedModel{Model: m, State: knapweedpulley.StateLoaded})
	}
	return list
}

func registration(id knapweedpulley.EndpointID, zone knapweedpulley.ZoneID, models ...knapweedpulley.ModelID) knapweedpulley.RegisteredEndpoint {
	return knapweedpulley.RegisteredEndpoint{
		ID: id, Service: "llm", Zone: zone, Address: "10.0.0.1:1", Start: 1, Slots: 10, Models: loaded(models...),
	}
}

func requirements(model knapweedpulley.ModelID) fleet.Requirements {
	return fleet.Requirements{Service: "llm", Weights: knapweedpulley.Resident{Model: model}}
}

func assertChoice(t *testing.T, f *fleet.Fleet, n fleet.Requirements, want knapweedpulley.EndpointID) {
	t.Helper()
	is := is.New(t)
	e, found := f.Choose(n)
	is.Equal(found, want != "")
	if found {
		is.Equal(e.ID(), want)
	}
}

// begin begins a request at an endpoint.
func begin(t *testing.T, e *fleet.Endpoint, prompt knapweedpulley.Tokens) *fleet.ActiveRequest {
	t.Helper()
	r, begun := e.BeginRequest(prompt)
	is.New(t).True(begun)
	return r
}

func inBubble(name string, t *testing.T, f func(t *testing.T, f *fleet.Fleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(t, fleet.New(fake.Clock{}, "home")) })
	})
}

func TestChoose(t *testing.T) {
	inBubble("only an endpoint that holds the model is chosen", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "home", "n")})
		assertChoice(t, f, requirements("m"), "a")
		assertChoice(t, f, requirements("n"), "b")
		assertChoice(t, f, requirements("o"), "")
	})
	inBubble("a draining endpoint is not chosen", t, func(t *testing.T, f *fleet.Fleet) {
		leaving := registration("a", "home", "m")
		leaving.Draining = true
		f.Update([]knapweedpulley.RegisteredEndpoint{leaving})
		assertChoice(t, f, requirements("m"), "")
	})
	inBubble("an endpoint is ignored if a later one uses its address", t, func(t *testing.T, f *fleet.Fleet) {
		old, young := registration("a", "home", "m"), registration("b", "home")
		young.Start = 2
		f.Update([]knapweedpulley.RegisteredEndpoint{old, young})
		assertChoice(t, f, requirements("m"), "")
		is.New(t).Equal(len(f.Endpoints()), 1)
		young.Models = loaded("m")
		f.Update([]knapweedpulley.RegisteredEndpoint{young, old})
		assertChoice(t, f, requirements("m"), "b")
		f.Update([]knapweedpulley.RegisteredEndpoint{old})
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("the same zone is preferred unless its endpoint is much busier", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "m")})
		assertChoice(t, f, requirements("m"), "a")
		for range 20 {
			begin(t, f.Endpoints()["a"], 100)
		}
		assertChoice(t, f, requirements("m"), "b")
	})
	inBubble("an endpoint with a broken connection is chosen only if there is no other", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "m")})
		begin(t, f.Endpoints()["a"], 0).End(fleet.Broken)
		assertChoice(t, f, requirements("m"), "b")
		n := requirements("m")
		n.Avoid = knapweedpulley.NewSet[knapweedpulley.EndpointID]("b")
		assertChoice(t, f, n, "a")
	})
	inBubble("an endpoint that has been silent for too long is not chosen until it is heard", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "m")})
		n := requirements("m")
		n.MaxSilence = time.Second
		a := begin(t, f.Endpoints()["a"], 0)
		assertChoice(t, f, n, "a")
		time.Sleep(n.MaxSilence)
		assertChoice(t, f, n, "b")
		assertChoice(t, f, requirements("m"), "a")
		f.Endpoints()["b"].MarkSilent()
		assertChoice(t, f, n, "")
		a.RecordActivity()
		assertChoice(t, f, n, "a")
	})
	inBubble("a failing endpoint is avoided until its requests succeed", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "m")})
		for range 5 {
			begin(t, f.Endpoints()["a"], 0).End(fleet.Failed)
		}
		assertChoice(t, f, requirements("m"), "b")
		for range 50 {
			begin(t, f.Endpoints()["a"], 0).End(fleet.Answered)
		}
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("requests with the same affinity go to the same endpoint", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "home", "m")})
		n := requirements("m")
		n.Affinity, n.Shared = "session-1", 400
		first, _ := f.Choose(n)
		for range 20 {
			assertChoice(t, f, n, first.ID())
		}
	})
}

func TestLoadOutOfRangeDoesNotAttractRequests(t *testing.T) {
	loads := []knapweedpulley.EndpointLoad{
		{Running: math.MaxInt, Waiting: math.MaxInt, Slots: 1},
		{Running: math.MaxInt / 2, Slots: 1},
		{Running: 5_000_000_000_000, Slots: math.MinInt},
	}
	for _, l := range loads {
		inBubble("an answer with a large load", t, func(t *testing.T, f *fleet.Fleet) {
			f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "m")})
			f.Endpoints()["a"].Observe(l)
			assertChoice(t, f, requirements("m"), "b")
		})
		inBubble("a report with a large load", t, func(t *testing.T, f *fleet.Fleet) {
			f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "m")})
			f.ApplyReport(f.Endpoints()["a"], knapweedpulley.EngineReport{
				Lifetime: reportLifetime, Start: 1, Models: loaded("m"), Running: l.Running, Waiting: l.Waiting,
			})
			assertChoice(t, f, requirements("m"), "b")
		})
	}
}

func TestLose(t *testing.T) {
	inBubble("an endpoint that refuses connections is excluded until its keeper reports", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "n")})
		f.MarkUnreachable(f.Endpoints()["a"])
		assertChoice(t, f, requirements("m"), "")
		f.ApplyReport(f.Endpoints()["a"], knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Models: loaded("m")})
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("a report on an earlier read doesn't make an endpoint reachable", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "n")})
		f.MarkUnreachable(f.Endpoints()["a"])
		time.Sleep(500 * time.Millisecond)
		r := knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Models: loaded("m"), Age: time.Second}
		f.ApplyReport(f.Endpoints()["a"], r)
		assertChoice(t, f, requirements("m"), "")
		r.Age = 100 * time.Millisecond
		f.ApplyReport(f.Endpoints()["a"], r)
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("an endpoint that refused connections is chosen again after some seconds", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m"), registration("b", "away", "n")})
		f.MarkUnreachable(f.Endpoints()["a"])
		time.Sleep(4 * time.Second)
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("the last endpoint of a service is never excluded", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m")})
		f.MarkUnreachable(f.Endpoints()["a"])
		assertChoice(t, f, requirements("m"), "a")
	})
}

func TestReports(t *testing.T) {
	inBubble("the age of a report counts from the keeper's read", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home")})
		e := f.Endpoints()["a"]
		f.ApplyReport(e, knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Age: time.Second})
		time.Sleep(400 * time.Millisecond)
		_, age, fresh := e.Report()
		is.Equal(age, 1400*time.Millisecond)
		is.True(fresh)
		time.Sleep(100 * time.Millisecond)
		_, _, fresh = e.Report()
		is.True(!fresh)
	})
	inBubble("own requests sent after the keeper's read don't lower the load of others", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home")})
		e := f.Endpoints()["a"]
		f.ApplyReport(e, knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Running: 4})
		time.Sleep(500 * time.Millisecond)
		for range 3 {
			begin(t, e, 0)
		}
		is.Equal(e.Load(), 7)
		f.ApplyReport(e, knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Running: 4, Age: 510 * time.Millisecond})
		is.Equal(e.Load(), 7)
	})
	inBubble("a fresh report takes precedence over the registration", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m")})
		changed := f.Changed()
		f.ApplyReport(f.Endpoints()["a"], knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Models: loaded("n")})
		<-changed
		assertChoice(t, f, requirements("m"), "")
		assertChoice(t, f, requirements("n"), "a")
	})
	inBubble("a report on an earlier run is ignored", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m")})
		f.ApplyReport(f.Endpoints()["a"], knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 0, Models: loaded("n")})
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("the load includes requests of other gateways while the report is fresh", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m")})
		e := f.Endpoints()["a"]
		request := begin(t, e, 0)
		f.ApplyReport(e, knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Models: loaded("m"), Running: 5})
		is.Equal(e.Load(), 5)
		request.End(fleet.Answered)
		is.Equal(e.Load(), 4)
		time.Sleep(2 * time.Second)
		is.Equal(e.Load(), 0) // The report is too old.
	})
	inBubble("a restarted endpoint keeps nothing of its earlier run", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m")})
		before := f.Endpoints()["a"]
		again := registration("a", "home")
		again.Start = 2
		f.Update([]knapweedpulley.RegisteredEndpoint{again})
		is.New(t).True(f.Endpoints()["a"] != before)
		assertChoice(t, f, requirements("m"), "")
	})
}

func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	again := func(f *fleet.Fleet, start uint64) {
		r := registration("a", "home", "m")
		r.Start = start
		f.Update([]knapweedpulley.RegisteredEndpoint{r})
	}
	mark := func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		again(f, 2)
		is.True(f.MarkLeaving(f.Endpoints()["a"]))
		is.True(!f.MarkLeaving(f.Endpoints()["a"]))
	}
	inBubble("though its registration stays", t, func(t *testing.T, f *fleet.Fleet) {
		mark(t, f)
		assertChoice(t, f, requirements("m"), "")
		again(f, 2)
		assertChoice(t, f, requirements("m"), "")
	})
	inBubble("though its registration lapses and comes back", t, func(t *testing.T, f *fleet.Fleet) {
		mark(t, f)
		f.Update(nil)
		again(f, 2)
		assertChoice(t, f, requirements("m"), "")
		f.Update(nil)
		again(f, 1)
		assertChoice(t, f, requirements("m"), "")
	})
	inBubble("until it registers with a later start", t, func(t *testing.T, f *fleet.Fleet) {
		mark(t, f)
		again(f, 3)
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("but another endpoint at its address does", t, func(t *testing.T, f *fleet.Fleet) {
		mark(t, f)
		other := registration("b", "home", "m")
		other.Start = 3
		f.Update([]knapweedpulley.RegisteredEndpoint{other})
		assertChoice(t, f, requirements("m"), "b")
	})
}

func TestReservedRequestsStayWithinSlots(t *testing.T) {
	inBubble("of many that begin at once", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{registration("a", "home", "m")})
		e := f.Endpoints()["a"]
		var begun atomic.Int32
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() {
				if _, ok := e.TryBeginRequest(1); ok {
					begun.Add(1)
				}
			})
		}
		group.Wait()
		is := is.New(t)
		is.True(begun.Load() <= int32(e.Slots()))
		is.Equal(e.Active(), int(begun.Load()))
	})
	inBubble("and a slot is free again after its request", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		r := registration("a", "home", "m")
		r.Slots = 1
		f.Update([]knapweedpulley.RegisteredEndpoint{r})
		first, ok := f.Endpoints()["a"].TryBeginRequest(1)
		is.True(ok)
		_, ok = first.TryBeginRequest(1)
		is.True(!ok)
		first.End(fleet.Answered)
		_, ok = first.TryBeginRequest(1)
		is.True(ok)
	})
}
