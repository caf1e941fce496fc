package placement_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/placement"
)

// enginesPerZone is so large that the two zones of a largeFleet form several cells.
const enginesPerZone = 40

// largeFleet holds the placer of a gateway in zone "home" and the keepers of the engines in the
// zones "home" and "away".
type largeFleet struct {
	*fixture
	registrations []knapweedpulley.RegisteredEndpoint
}

func engineName(zone knapweedpulley.ZoneID, n int) knapweedpulley.EndpointID {
	return knapweedpulley.EndpointID(fmt.Sprintf("%s-%d", zone, n))
}

// inLargeFleet runs a subtest on a fake clock with a fleet of several cells without loaded models.
func inLargeFleet(name string, t *testing.T, test func(f *largeFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &largeFleet{fixture: &fixture{
				t: t, fleet: fleet.New(fake.Clock{}, "home"), keepers: make(map[knapweedpulley.EndpointID]*fakeKeeper),
			}}
			link := make(fakeKeeperLink)
			for z, zone := range []knapweedpulley.ZoneID{"home", "away"} {
				for n := range enginesPerZone {
					id, host := engineName(zone, n), fmt.Sprintf("10.%d.0.%d", z, n+1)
					k := &fakeKeeper{report: knapweedpulley.EngineReport{Lifetime: 1500 * time.Millisecond, Start: 1, Free: 100}}
					f.keepers[id], link[host+":7"] = k, k
					f.registrations = append(f.registrations, knapweedpulley.RegisteredEndpoint{
						ID: id, Service: "llm", Address: host + ":1", Zone: zone, Start: 1,
					})
				}
			}
			demand, closeDemand := placement.NewDemand()
			defer closeDemand()
			f.demand = demand
			p, closePlacer := placement.NewPlacer(placement.Options{
				Fleet: f.fleet, Demand: demand, Clock: fake.Clock{}, Port: 7, Gateways: 1, RemoteLoads: 4,
				Link: link, Log: logbook.New(io.Discard, log.InfoLevel, "test", "test"),
				Self: knapweedpulley.Member{Entry: "front-1", Zone: "home"},
			})
			defer closePlacer()
			f.placer = p
			p.Configure(map[knapweedpulley.ServiceID]knapweedpulley.Service{
				"llm": {ID: "llm", Engine: knapweedpulley.Some(spec())},
			})
			f.fleet.Update(f.registrations)
			time.Sleep(time.Second)
			test(f)
		})
	})
}

// unconnectedKeeper returns an engine of zone "away" to whose keeper the gateway isn't connected.
func (f *largeFleet) unconnectedKeeper() knapweedpulley.EndpointID {
	for n := range enginesPerZone {
		if id := engineName("away", n); !f.keepers[id].connected() {
			return id
		}
	}
	f.t.Fatal("the gateway is connected to all keepers")
	return ""
}

// register changes the registration of an engine.
func (f *largeFleet) register(id knapweedpulley.EndpointID, change func(r *knapweedpulley.RegisteredEndpoint)) {
	for i := range f.registrations {
		if f.registrations[i].ID == id {
			change(&f.registrations[i])
		}
	}
	f.fleet.Update(f.registrations)
}

// loadsOnRequest has a keeper report model m as loaded a second after the first load request.
func (f *largeFleet) loadsOnRequest(id knapweedpulley.EndpointID) {
	k := f.keepers[id]
	k.setReport(func(r *knapweedpulley.EngineReport) { r.Cached = cachedOnDisk("m") })
	go func() {
		for k.requestCount() == 0 {
			select {
			case <-f.t.Context().Done():
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		time.Sleep(time.Second)
		k.setReport(func(r *knapweedpulley.EngineReport) { r.Models = loadedModels("m") })
	}()
}

func assertLoadRequests(t *testing.T, k *fakeKeeper, requested bool) {
	t.Helper()
	is.New(t).Equal(k.requestCount() > 0, requested)
}

func TestEnginesOutsideTheCell(t *testing.T) {
	inLargeFleet("a model whose only copy is on disk outside the cell is loaded there", t, func(f *largeFleet) {
		is := is.New(f.t)
		id := f.unconnectedKeeper()
		f.loadsOnRequest(id)
		f.register(id, func(r *knapweedpulley.RegisteredEndpoint) { r.Cached = cachedOnDisk("m") })
		took, err := f.awaitModel(5 * time.Second)
		is.NoErr(err)
		is.True(took < 2*time.Second)
		assertLoadRequests(f.t, f.keepers[id], true)
	})
	inLargeFleet("a copy on disk in the cell is preferred", t, func(f *largeFleet) {
		id := f.unconnectedKeeper()
		f.register(id, func(r *knapweedpulley.RegisteredEndpoint) { r.Cached = cachedOnDisk("m") })
		f.loadsOnRequest(engineName("home", 3))
		time.Sleep(time.Second)
		_, err := f.awaitModel(5 * time.Second)
		is.New(f.t).NoErr(err)
		assertLoadRequests(f.t, f.keepers[id], false)
	})
	inLargeFleet("another engine is asked when the keeper outside the cell doesn't report", t, func(f *largeFleet) {
		silent := f.unconnectedKeeper()
		f.keepers[silent].silent = true
		f.register(silent, func(r *knapweedpulley.RegisteredEndpoint) { r.Cached = cachedOnDisk("m") })
		var other knapweedpulley.EndpointID
		for n := range enginesPerZone {
			if id := engineName("away", n); id != silent && !f.keepers[id].connected() {
				other = id
			}
		}
		f.loadsOnRequest(other)
		time.AfterFunc(time.Second, func() {
			f.register(other, func(r *knapweedpulley.RegisteredEndpoint) { r.Cached = cachedOnDisk("m") })
		})
		_, err := f.awaitModel(8 * time.Second)
		is.New(f.t).NoErr(err)
		assertLoadRequests(f.t, f.keepers[other], true)
	})
	inLargeFleet("the gateway disconnects from a keeper outside the cell that it no longer uses", t, func(f *largeFleet) {
		is := is.New(f.t)
		id := f.unconnectedKeeper()
		f.loadsOnRequest(id)
		f.register(id, func(r *knapweedpulley.RegisteredEndpoint) { r.Cached = cachedOnDisk("m") })
		_, err := f.awaitModel(5 * time.Second)
		is.NoErr(err)
		is.True(f.keepers[id].connected())
		time.Sleep(10 * time.Second)
		is.True(!f.keepers[id].connected())
	})
	inLargeFleet("a keeper outside the cell learns which requests run at its engine", t, func(f *largeFleet) {
		is := is.New(f.t)
		id := f.unconnectedKeeper()
		f.register(id, func(r *knapweedpulley.RegisteredEndpoint) { r.Models = loadedModels("m") })
		request, _ := f.fleet.Endpoints()[id].BeginRequest(100)
		time.Sleep(20 * time.Second)
		is.True(f.keepers[id].connected())
		request.End(fleet.Answered)
		time.Sleep(10 * time.Second)
		is.True(!f.keepers[id].connected())
	})
	inLargeFleet("no model is loaded from the weight store outside the cell", t, func(f *largeFleet) {
		_, err := f.awaitModel(2 * time.Second)
		assertRefused(f.t, err)
		for n := range enginesPerZone {
			assertLoadRequests(f.t, f.keepers[engineName("away", n)], false)
		}
	})
}
